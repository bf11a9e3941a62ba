"""Response bodies filled with a marker of their request, so that mix-ups are detected."""

MARKER_HEADER = b"x-marker"
SIZE_HEADER = b"x-size"
DEFAULT_SIZE_BYTES = 200


def make_body(marker: str, size_bytes: int) -> bytes:
    """Return a body of the given size, filled with the marker."""
    line = f"{marker}\n".encode()
    return (line * (size_bytes // len(line) + 1))[:size_bytes]


def is_expected_body(body: bytes, marker: str, size_bytes: int) -> bool:
    """Return whether a body is the complete response to the request with this marker."""
    return body == make_body(marker, size_bytes)
