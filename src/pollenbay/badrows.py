"""Record of table rows that could not be read, written by others or by mistake."""

from hashlib import blake2b
from logging import getLogger

from pollenbay.ids import RowKey, RowVersion

#: Maximum number of rows remembered, so that each is logged only once.
LOGGED_ROWS_MAX = 256
KEY_CHARACTERS_LOGGED = 200
DIGEST_BYTES = 8

LOG = getLogger("pollenbay.table")


class BadRows:
    """Counts rows that could not be read and logs each one once.

    :ivar bad_rows: reads of such rows.
    """

    def __init__(self) -> None:
        self.bad_rows = 0
        self._logged: dict[tuple[str, int], None] = {}

    def record(self, key: RowKey, version: RowVersion, reason: str) -> None:
        """Record a row whose value could not be read."""
        self._record(key, version, reason)

    def record_unreadable(self, data: bytes, reason: str) -> None:
        """Record a row of which not even the key could be read.

        :param data: the row as received.
        """
        digest = blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
        self._record(f"unreadable-{digest}", 0, reason)

    def _record(self, key: str, version: int, reason: str) -> None:
        self.bad_rows += 1
        if (key, version) in self._logged:
            return
        if len(self._logged) >= LOGGED_ROWS_MAX:
            del self._logged[next(iter(self._logged))]
        self._logged[key, version] = None
        fields = {"row": key[:KEY_CHARACTERS_LOGGED], "row_version": version, "error": reason}
        LOG.warning("row unreadable", extra=fields)


def make_bad_rows() -> BadRows:
    """Return an empty record."""
    return BadRows()
