"""Commands: functions that change state.

Decisions on calls are plain functions on the state passed to them. Operators' commands are typed
values that any front end can build; `execute` runs them.
"""

from pollenbay.commands.dispatch import execute

__all__ = ["execute"]
