"""The allowance of retries that a request carries through its whole chain of calls.

Retries are tokens that are moved, never made: a part goes down with each sub-call, what was not
spent comes back with its answer, and what went with a lost answer stays lost. Attempts beyond
the first ones are therefore bounded by what was granted at the entry, whatever the call graph.
"""


class Account:
    """Retries that one call may still spend, itself or below it.

    :param retries: what was granted at the entry, or handed out by the call above.
    :param deadline: monotonic seconds after which no retry is begun.
    :param refusals: attempts after a refusal that cost no retry.
    """

    def __init__(self, retries: int, deadline: float, refusals: int = 0) -> None:
        self._left = max(retries, 0)
        self._refusals = refusals
        self._deadline = deadline
        self._handed_out = 0

    @property
    def left(self) -> int:
        """Return the retries that are here now; the answer carries them back."""
        return self._left

    @property
    def handed_out(self) -> int:
        """Return the retries that are with sub-calls, or lost with them."""
        return self._handed_out

    @property
    def deadline(self) -> float:
        """Return monotonic seconds after which no retry is begun."""
        return self._deadline

    def spend(self) -> bool:
        """Use up one retry, if there is one."""
        if not self._left:
            return False
        self._left -= 1
        return True

    def spend_refusal(self) -> bool:
        """Use up one attempt that follows a refusal, if there is one."""
        if not self._refusals:
            return False
        self._refusals -= 1
        return True

    def move_out(self, retries: int) -> None:
        """Move retries to a sub-call."""
        self._left -= retries
        self._handed_out += retries

    def take_all(self) -> int:
        """Take out the retries that are left, which go back with the answer."""
        left, self._left = self._left, 0
        return left

    def move_back(self, retries: int) -> None:
        """Move retries back from a sub-call."""
        self._left += retries
        self._handed_out -= retries


def make_account(retries: int, deadline: float, refusals: int = 0) -> Account:
    """Return the account of one call.

    A call that a target made without the context of the call it serves gets 0 retries.

    :param refusals: attempts after a refusal that cost no retry.
    """
    return Account(retries, deadline, refusals)
