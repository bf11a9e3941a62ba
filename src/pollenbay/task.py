"""Tasks that leave no reference cycles behind when a wait ends by a cancellation or a time-out.

curio raises the exception in a frame that keeps a reference to it, and keeps it in a task that ends
by it. Either would hold the frames through which it passed, with the bodies of their calls, until
the cycle collector runs, which does not count bytes.
"""

from traceback import walk_tb

from curio import Task
from curio.errors import CancelledError
from curio.traps import _kernel_trap as wait_in_kernel


class AcyclicTask(Task):
    """Task whose frames are freed as soon as an exception has left them."""

    @property
    def exception(self) -> BaseException | None:
        """Return the exception by which the task ended, or None."""
        return super().exception

    @exception.setter
    def exception(self, error: BaseException | None) -> None:
        if isinstance(error, CancelledError):
            error.__traceback__ = None
            error.__context__ = None
        Task.exception.__set__(self, error)

    def send(self, value: object) -> object:
        """Continue with the result of a wait, or with the exception that ended it."""
        if not isinstance(value, BaseException):
            return self._send(value)
        try:
            return self._send(value)
        finally:
            _clear_waits(value)


def _clear_waits(error: BaseException) -> None:
    """Clear the frames of the waits that an exception has ended, which keep references to it."""
    for frame, _ in walk_tb(error.__traceback__):
        if frame.f_code is wait_in_kernel.__code__:
            frame.clear()
