"""Retry account of one call: the tokens that bound the retries of a whole call chain.

Retry tokens are only moved, never created: some are delegated with each nested call, unspent ones
return with its response, and those delegated with a lost response stay lost. The number of attempts
beyond the first ones is therefore bounded by the allowance granted at the entry, whatever the call
graph.
"""


class RetryAccount:
    """Retry tokens that one call may still spend, for itself or for its nested calls.

    :param tokens: tokens granted at the entry or delegated by the parent call.
    :param deadline: monotonic seconds after which no retry is started.
    :param free_attempts: attempts after a refusal that cost no token.
    """

    def __init__(self, tokens: int, deadline: float, free_attempts: int = 0) -> None:
        self._remaining = max(tokens, 0)
        self._free_attempts = free_attempts
        self._deadline = deadline
        self._delegated = 0

    @property
    def remaining(self) -> int:
        """Return the tokens held now; the response carries them back."""
        return self._remaining

    @property
    def delegated(self) -> int:
        """Return the tokens delegated to nested calls, including those lost with them."""
        return self._delegated

    @property
    def deadline(self) -> float:
        """Return the monotonic seconds after which no retry is started."""
        return self._deadline

    def spend(self) -> bool:
        """Spend one token and return whether there was one."""
        if not self._remaining:
            return False
        self._remaining -= 1
        return True

    def spend_free_attempt(self) -> bool:
        """Spend one free attempt after a refusal and return whether there was one."""
        if not self._free_attempts:
            return False
        self._free_attempts -= 1
        return True

    def delegate(self, tokens: int) -> None:
        """Delegate tokens to a nested call."""
        self._remaining -= tokens
        self._delegated += tokens

    def withdraw_all(self) -> int:
        """Remove and return the remaining tokens, which go back with the response."""
        remaining, self._remaining = self._remaining, 0
        return remaining

    def reclaim(self, tokens: int) -> None:
        """Reclaim tokens from a nested call."""
        self._remaining += tokens
        self._delegated -= tokens


def make_retry_account(tokens: int, deadline: float, free_attempts: int = 0) -> RetryAccount:
    """Return the retry account of one call.

    A call that a target makes without the context of the call it serves gets 0 tokens.

    :param free_attempts: attempts after a refusal that cost no token.
    """
    return RetryAccount(tokens, deadline, free_attempts)
