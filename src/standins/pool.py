"""Pool of persistent HTTP connections to a server."""

from pollenbay.http1 import HttpRequest, HttpResponse
from pollenbay.httpclient import HttpClient, connect_http
from pollenbay.stream import peer_has_closed


class Pool:
    """Connection pool without an upper limit.

    :param address: IP address of the server.
    """

    def __init__(self, address: str, port: int) -> None:
        self._address = address
        self._port = port
        self._host = f"{address}:{port}".encode("ascii")
        self._idle: list[HttpClient] = []

    @property
    def host(self) -> bytes:
        """Return the value of the host header."""
        return self._host

    async def exchange(self, request: HttpRequest) -> HttpResponse:
        """Send a request and return the response, on an idle connection if there is one.

        :raises pollenbay.http1.HttpError: if connecting or the exchange fails.
        """
        client = await self._acquire()
        try:
            response = await client.exchange(request)
        except BaseException:
            await client.close()
            raise
        if client.reusable:
            self._idle.append(client)
        else:
            await client.close()
        return response

    async def _acquire(self) -> HttpClient:
        while self._idle:
            client = self._idle.pop()
            if not peer_has_closed(client.sock):
                return client
            await client.close()
        return await connect_http(self._address, self._port)


def make_pool(address: str, port: int) -> Pool:
    """Return an empty pool."""
    return Pool(address, port)
