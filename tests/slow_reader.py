"""A client that leaves its responses unread for a while."""

from socket import SO_RCVBUF, SOL_SOCKET, socket

from harness import ADDRESS
from platform_node import HOST

RECEIVE_BUFFER_BYTES = 32 * 1024
RECEIVE_BYTES = 65536
WITHIN_S = 20.0


class SlowReader:
    """One connection with a small receive buffer; nothing is read before `read_body`."""

    def __init__(self, port: int) -> None:
        self._sock = socket()
        self._sock.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sock.settimeout(WITHIN_S)
        self._sock.connect((ADDRESS, port))
        self._received = b""

    def request(self, target: str, name: str, **headers: str) -> None:
        """Send a request without a body."""
        lines = "".join(f"{header}: {value}\r\n" for header, value in headers.items())
        self._sock.sendall(
            f"GET {target} HTTP/1.1\r\nhost: {HOST}\r\n"
            f"x-pollenbay-request-id: {name}\r\n{lines}\r\n".encode()
        )

    def send_bytes(self, data: bytes) -> None:
        self._sock.sendall(data)

    def read_body(self) -> tuple[int, int]:
        """Return the bytes of the next body that arrive and its stated length.

        A connection that ends early, with a reset or not, leaves the first number smaller.
        """
        received = bytearray(self._received)
        while b"\r\n\r\n" not in received:
            if not self._receive(received):
                return 0, -1
        head, _, body = bytes(received).partition(b"\r\n\r\n")
        lines = head.decode().lower().split("\r\n")
        length = int(dict(line.split(": ", 1) for line in lines[1:])["content-length"])
        received = bytearray(body)
        while len(received) < length and self._receive(received):
            continue
        self._received = bytes(received[length:])
        return min(len(received), length), length

    def close(self) -> None:
        self._sock.close()

    def _receive(self, received: bytearray) -> bool:
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except ConnectionResetError:
            return False
        received += data
        return bool(data)
