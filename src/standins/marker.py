"""Answers that can be told apart: the marker of a request fills the body of its answer."""

MARKER_HEADER = b"x-marker"
SIZE_HEADER = b"x-size"
DEFAULT_SIZE_BYTES = 200


def make_body(marker: str, size_bytes: int) -> bytes:
    """Return a body of the given size, filled with the marker."""
    line = f"{marker}\n".encode()
    return (line * (size_bytes // len(line) + 1))[:size_bytes]


def is_own_answer(body: bytes, marker: str, size_bytes: int) -> bool:
    """Tell whether a body is the whole answer to the request with this marker."""
    return body == make_body(marker, size_bytes)
