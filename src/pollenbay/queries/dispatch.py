"""Dispatch of operators' queries by their type."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pollenbay.node import Node


@singledispatch
async def answer(query: object, node: Node) -> Any:
    """Answer an operator's query about a node with a typed result.

    :raises TypeError: if no handler is registered for the type of the query.
    """
    raise TypeError(f"unsupported query type: {type(query).__name__}")
