"""Requests that were read and whose responses have not been sent completely."""


class Exchanges:
    """Counts the open exchanges of a node."""

    def __init__(self) -> None:
        self._open = 0

    @property
    def open(self) -> int:
        """Return the number of requests that were read and whose response is still due."""
        return self._open

    def begin(self) -> "Exchange":
        """Count a request that was read; the exchange must be ended."""
        self._open += 1
        return Exchange(self)

    def end_one(self) -> None:
        """Count a response that was sent or given up."""
        self._open -= 1


class Exchange:
    """One request that was read, until its response has been sent or is given up."""

    __slots__ = ("_exchanges",)

    def __init__(self, exchanges: Exchanges) -> None:
        self._exchanges: Exchanges | None = exchanges

    def end(self) -> None:
        """End the exchange; further calls have no effect."""
        if self._exchanges is not None:
            self._exchanges.end_one()
            self._exchanges = None


def make_exchanges() -> Exchanges:
    """Return a counter without open exchanges."""
    return Exchanges()
