"""Changes to the state of the platform stand-in."""

from functools import singledispatch

from pollenbay.ids import RowKey, RowVersion
from pollenbay.table import Row, Transaction, Write
from standins.store import AnyMode, LoseResponses, StaleReads, Store, Up


def apply_transaction(store: Store, transaction: Transaction) -> RowKey | None:
    """Apply all writes if all checks hold, otherwise none of them.

    :returns: key of the first check that failed, or None.
    """
    for check in transaction.checks:
        if _current_version(store, check.key) != check.version:
            store.counts.conflicts += 1
            return check.key
    for write in transaction.writes:
        _apply_write(store, write)
    store.counts.transactions += 1
    return None


def put_object(store: Store, name: str, content: bytes) -> None:
    """Store an object, replacing one of the same name."""
    store.objects[name] = content
    store.counts.writes += 1


def set_mode(store: Store, mode: AnyMode) -> None:
    """Replace the active fault."""
    store.mode = mode
    store.visible_rows = _visible_rows(mode, store)


@singledispatch
def lose_response(mode: AnyMode, store: Store) -> bool:
    """Return whether to drop the response to an applied write; count it if so."""
    return False


@lose_response.register
def _(mode: LoseResponses, store: Store) -> bool:
    store.counts.lost += 1
    if mode.count is not None:
        mode.count -= 1
        if mode.count <= 0:
            set_mode(store, Up())
    return True


def admit_read(store: Store, now: float) -> bool:
    """Return whether a read is within the rate limit; count it if so.

    :param now: monotonic seconds.
    """
    if not store.read_bucket.take(1, now):
        store.counts.limited += 1
        return False
    store.counts.reads += 1
    return True


def admit_write(store: Store, rows: int, now: float) -> bool:
    """Return whether writing `rows` rows is within the rate limit.

    :param now: monotonic seconds.
    """
    if not store.write_bucket.take(rows, now):
        store.counts.limited += 1
        return False
    return True


def _current_version(store: Store, key: RowKey) -> int:
    row = store.rows.get(key)
    return 0 if row is None else row.version


def _apply_write(store: Store, write: Write) -> None:
    version = store.versions.get(write.key, 0) + 1
    store.versions[write.key] = version
    store.counts.writes += 1
    if write.value is None:
        store.rows.pop(write.key, None)
        return
    store.rows[write.key] = Row(write.key, RowVersion(version), write.value)


@singledispatch
def _visible_rows(mode: AnyMode, store: Store) -> dict[RowKey, Row]:
    return store.rows


@_visible_rows.register
def _(mode: StaleReads, store: Store) -> dict[RowKey, Row]:
    return dict(store.rows)
