"""Queries on the state of the platform stand-in."""

from functools import singledispatch
from heapq import nsmallest

from pollenbay.ids import RowKey
from pollenbay.table import Rows
from standins.store import AnyMode, Down, Slow, Store


def find_row(store: Store, key: RowKey) -> Rows:
    """Return the row of a key, or no rows if it is absent."""
    row = store.visible_rows.get(key)
    return Rows([] if row is None else [row])


def find_rows(store: Store, prefix: str, after: str, limit: int) -> Rows:
    """Return up to `limit` rows in key order whose key starts with `prefix`, from after `after`."""
    matching = (key for key in store.visible_rows if key.startswith(prefix) and key > after)
    return Rows([store.visible_rows[key] for key in nsmallest(limit, matching)])


def find_object(store: Store, name: str) -> bytes | None:
    """Return the content of an object, or None if it is absent."""
    return store.objects.get(name)


@singledispatch
def is_down(mode: AnyMode) -> bool:
    """Return whether requests end with a closed connection."""
    return False


@is_down.register
def _(mode: Down) -> bool:
    return True


@singledispatch
def response_delay_s(mode: AnyMode) -> float:
    """Return the delay of responses in seconds."""
    return 0.0


@response_delay_s.register
def _(mode: Slow) -> float:
    return mode.delay_s
