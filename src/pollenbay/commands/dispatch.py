"""Dispatch of operators' commands by their type."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pollenbay.node import Node


@singledispatch
async def execute(command: object, node: Node) -> Any:
    """Run an operator's command on a node and return its typed result.

    :raises TypeError: if no handler is registered for the type of the command.
    """
    raise TypeError(f"unsupported command type: {type(command).__name__}")
