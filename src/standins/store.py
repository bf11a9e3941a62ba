"""State of the platform stand-in: rows, objects, the fault in force and what was counted."""

from dataclasses import dataclass, field

from msgspec import Struct

from pollenbay.ids import RowKey
from pollenbay.table import Row
from standins.bucket import Bucket, make_bucket


class Mode(Struct, tag_field="mode"):
    """Base of the faults; `mode` in JSON names one."""


class Up(Mode, tag="up"):
    """No fault."""


class Down(Mode, tag="down"):
    """Every request ends with a closed connection and has no effect."""


class Slow(Mode, tag="slow", kw_only=True):
    """Every answer comes late; a write takes effect before the delay.

    :param delay_s: delay in seconds.
    """

    delay_s: float


class LoseAnswers(Mode, tag="lose-answers"):
    """A write takes effect and the connection closes without an answer.

    :param count: answers to lose before the fault ends; None for no end.
    """

    count: int | None = None


class StaleReads(Mode, tag="stale-reads"):
    """Reads show what was there when the fault was set."""


AnyMode = Up | Down | Slow | LoseAnswers | StaleReads


class Counts(Struct):
    """What the stand-in has done, so that a test can bound the load on it.

    :param reads: read requests answered, each one for a scan too.
    :param rows_read: rows sent in answers.
    :param writes: rows written and objects put.
    :param transactions: transactions that took effect.
    :param conflicts: transactions that failed a check.
    :param limited: requests refused by a cap on the rate.
    :param lost: answers that were lost.
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
    """Everything that the stand-in keeps.

    :param versions: last version of each key, kept when its row is removed.
    :param seen_rows: rows that reads are answered from.
    """

    read_bucket: Bucket
    write_bucket: Bucket
    rows: dict[RowKey, Row] = field(default_factory=dict)
    seen_rows: dict[RowKey, Row] = field(default_factory=dict)
    versions: dict[RowKey, int] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    mode: AnyMode = field(default_factory=Up)
    counts: Counts = field(default_factory=Counts)


def make_store(
    max_reads_per_s: float | None = None, max_writes_per_s: float | None = None
) -> Store:
    """Return an empty store.

    :param max_reads_per_s: cap on read requests; None for no cap.
    :param max_writes_per_s: cap on rows written; None for no cap.
    """
    store = Store(make_bucket(max_reads_per_s), make_bucket(max_writes_per_s))
    store.seen_rows = store.rows
    return store
