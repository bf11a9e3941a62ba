"""Queries: functions that only read state.

Nothing in this package changes the state passed to it. Operators' queries are typed values that
any front end can build; `answer` runs them.
"""

from pollenbay.queries.dispatch import answer

__all__ = ["answer"]
