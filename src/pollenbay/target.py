"""The target beside the node: what it last announced, and the connections kept to it."""

from pollenbay.http1 import HttpClient, HttpConnectError, connect_http
from pollenbay.states import TargetState

#: A target that has not announced itself for longer counts as absent.
ANNOUNCEMENT_LEASE_S = 3.0
KEPT_CONNECTIONS = 256


class Target:
    """State of the one target beside this node.

    :param body_limit_bytes: longest answer that is taken.
    """

    def __init__(self, body_limit_bytes: int) -> None:
        self._body_limit_bytes = body_limit_bytes
        self._state = TargetState.ABSENT
        self._address = ""
        self._port = 0
        self._heard_at = 0.0
        self._idle: list[HttpClient] = []

    @property
    def state(self) -> TargetState:
        """Return the state as last heard."""
        return self._state

    @property
    def endpoint(self) -> tuple[str, int]:
        """Return address and port; empty before the first announcement."""
        return self._address, self._port

    @property
    def heard_at(self) -> float:
        """Return monotonic seconds of the last announcement."""
        return self._heard_at

    def update(self, state: TargetState, address: str, port: int, now: float) -> None:
        """Take over an announcement; connections to another endpoint are not used again."""
        if (address, port) != self.endpoint:
            self._idle.clear()
        self._state = state
        self._address = address
        self._port = port
        self._heard_at = now

    def mark_absent(self) -> None:
        """Note that the target has fallen silent."""
        self._state = TargetState.ABSENT

    async def take(self) -> HttpClient:
        """Return a kept connection that looks sound, or open one.

        :raises HttpConnectError: if none can be opened.
        """
        while self._idle:
            client = self._idle.pop()
            if not client.stale:
                return client
            await client.close()
        if not self._port:
            raise HttpConnectError("no target has announced itself")
        return await connect_http(self._address, self._port, self._body_limit_bytes)

    async def give(self, client: HttpClient) -> None:
        """Keep a connection on which an exchange has ended cleanly."""
        same_target = client.sock.getpeername() == self.endpoint
        if same_target and client.reusable and len(self._idle) < KEPT_CONNECTIONS:
            self._idle.append(client)
        else:
            await client.close()


def make_target(body_limit_bytes: int) -> Target:
    """Return a target that has not announced itself."""
    return Target(body_limit_bytes)
