"""Operating system signals, received as bytes on a socket."""

from collections.abc import Iterator
from contextlib import contextmanager
from signal import Signals as SignalNumber
from signal import set_wakeup_fd, signal
from socket import socketpair

from curio.io import Socket


class StopSignals:
    """Signals that request the process to stop.

    :param sock: receives one byte for each signal.
    """

    def __init__(self, sock: Socket) -> None:
        self._sock = sock

    async def wait(self) -> SignalNumber:
        """Wait for the next signal and return its number."""
        data = await self._sock.recv(1)
        return SignalNumber(data[0])


@contextmanager
def catch_signals(*numbers: SignalNumber) -> Iterator[StopSignals]:
    """Catch signals for the duration of the block, which must run in the main thread."""
    receiver, sender = socketpair()
    sender.setblocking(False)
    previous_handlers = [signal(number, lambda *_: None) for number in numbers]
    set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
    try:
        yield StopSignals(Socket(receiver))
    finally:
        set_wakeup_fd(-1)
        for number, handler in zip(numbers, previous_handlers, strict=True):
            signal(number, handler)
        receiver.close()
        sender.close()
