"""Everything that changes state: decisions on calls, and the operators' commands.

Decisions are plain functions on the state that they are given. Operators' commands are typed
values that any front end can build; `execute` runs them.
"""

from pollenbay.commands.dispatch import execute

__all__ = ["execute"]
