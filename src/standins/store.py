"""State of the platform stand-in: rows, objects, active fault and counters."""

from dataclasses import dataclass, field

from msgspec import Struct

from pollenbay.ids import RowKey
from pollenbay.table import Row
from standins.bucket import TokenBucket, make_token_bucket


class Mode(Struct, tag_field="mode"):
    """Base of the faults; `mode` is the tag in JSON."""


class Up(Mode, tag="up"):
    """No fault."""


class Down(Mode, tag="down"):
    """Every request ends with a closed connection and has no effect."""


class Slow(Mode, tag="slow", kw_only=True):
    """Responses are delayed; a write takes effect before the delay.

    :param delay_s: delay in seconds.
    """

    delay_s: float


class LoseResponses(Mode, tag="lose-answers"):
    """A write takes effect and the connection closes without a response.

    :param count: number of responses to drop before the fault ends; None for no limit.
    """

    count: int | None = None


class StaleReads(Mode, tag="stale-reads"):
    """Reads return the rows as of the time when the fault was set."""


AnyMode = Up | Down | Slow | LoseResponses | StaleReads


class Counts(Struct):
    """Counters of the stand-in, so that tests can bound the load on the platform.

    :param reads: read requests served; a scan counts as one.
    :param rows_read: rows returned.
    :param writes: rows written and objects put.
    :param transactions: transactions that took effect.
    :param conflicts: transactions that failed a check.
    :param limited: requests rejected by a rate limit.
    :param lost: responses dropped by `LoseResponses`.
    """

    reads: int = 0
    rows_read: int = 0
    writes: int = 0
    transactions: int = 0
    conflicts: int = 0
    limited: int = 0
    lost: int = 0


@dataclass(slots=True)
class Store:
    """Complete state of the stand-in.

    :param versions: last version of each key, kept when its row is removed.
    :param visible_rows: rows that reads return.
    """

    read_bucket: TokenBucket
    write_bucket: TokenBucket
    rows: dict[RowKey, Row] = field(default_factory=dict)
    visible_rows: dict[RowKey, Row] = field(default_factory=dict)
    versions: dict[RowKey, int] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    mode: AnyMode = field(default_factory=Up)
    counts: Counts = field(default_factory=Counts)


def make_store(
    max_reads_per_s: float | None = None, max_writes_per_s: float | None = None
) -> Store:
    """Return an empty store.

    :param max_reads_per_s: limit on read requests; None for no limit.
    :param max_writes_per_s: limit on rows and objects written; None for no limit.
    """
    store = Store(make_token_bucket(max_reads_per_s), make_token_bucket(max_writes_per_s))
    store.visible_rows = store.rows
    return store
