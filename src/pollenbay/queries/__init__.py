"""Everything that only reads: choices made from state, and the operators' questions.

Nothing in this package changes what it is given. Operators' queries are typed values that any
front end can build; `answer` answers them.
"""

from pollenbay.queries.dispatch import answer

__all__ = ["answer"]
