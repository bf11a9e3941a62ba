"""The entry to the operators' commands, by the type of the command."""

from functools import singledispatch
from typing import Any

from pollenbay.node import Node


@singledispatch
async def execute(command: object, node: Node) -> Any:
    """Run an operator's command on a node and return its typed result.

    :raises TypeError: if no handler is registered for the type of the command.
    """
    raise TypeError(f"not a command: {type(command).__name__}")
