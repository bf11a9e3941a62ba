"""Client of the administration API, for the command-line tool."""

from ipaddress import AddressValueError, IPv4Address
from pathlib import Path
from typing import Any, TypeVar
from urllib.parse import urlsplit

from curio import TaskTimeout, timeout_after
from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode, encode
from result import Err, Ok, Result

from pollenbay.http1 import HttpConnectError, HttpError, HttpRequest, HttpResponse
from pollenbay.httpclient import connect_http
from pollenbay.reply import Problem

ANSWER_TIMEOUT_S = 30.0
TOKEN_FILE_BYTES_MAX = 4096
STATUS_UNAUTHORIZED = 401
STATUS_SERVER_ERROR = 500

_Answer = TypeVar("_Answer")


class AdminClientError(Exception):
    """Root of the errors of this layer."""


class AdminAddressError(AdminClientError):
    """The URL or the token file is not what is expected."""


class AdminConnectError(AdminClientError):
    """No connection to the node, so nothing was sent."""


class AdminLostError(AdminClientError):
    """The request was sent and its answer was lost or broken."""


class AdminTokenError(AdminClientError):
    """The node does not accept the token."""


class AdminProblemError(AdminClientError):
    """The node could not carry out the request, and says why."""


class AdminRequestError(AdminProblemError):
    """The node does not know what was asked, as one of another version might not."""


class AdminAddress(Struct, frozen=True):
    """Where a node's administration API is, and the token for it.

    :param address: IP number.
    """

    address: str
    port: int
    token: str


class AdminClient:
    """Asks one node, with a new connection for each question."""

    def __init__(self, place: AdminAddress, timeout_s: float) -> None:
        self._place = place
        self._timeout_s = timeout_s

    async def get(self, path: str, kind: type[_Answer]) -> Result[_Answer, AdminClientError]:
        """Ask for what is at a path."""
        return await self._ask(self._request(b"GET", path, b""), kind)

    async def post(
        self, path: str, body: object, kind: type[_Answer]
    ) -> Result[_Answer, AdminClientError]:
        """Send a command to a path."""
        return await self._ask(self._request(b"POST", path, encode(body)), kind)

    async def _ask(self, request: HttpRequest, kind: Any) -> Result[Any, AdminClientError]:
        try:
            response = await timeout_after(self._timeout_s, self._exchange, request)
        except HttpConnectError as error:
            return Err(AdminConnectError(f"no connection to the node: {error}"))
        except TaskTimeout:
            return Err(AdminLostError(f"no answer within {self._timeout_s:g} s"))
        except HttpError as error:
            return Err(AdminLostError(f"the answer was lost: {error}"))
        return _decode_answer(response, kind)

    async def _exchange(self, request: HttpRequest) -> HttpResponse:
        client = await connect_http(self._place.address, self._place.port)
        try:
            return await client.exchange(request)
        finally:
            await client.close()

    def _request(self, method: bytes, path: str, body: bytes) -> HttpRequest:
        headers = [
            (b"host", f"{self._place.address}:{self._place.port}".encode("ascii")),
            (b"authorization", b"Bearer " + self._place.token.encode("utf-8")),
        ]
        return HttpRequest(method, path.encode("ascii"), headers, body)


def make_admin_client(place: AdminAddress, timeout_s: float = ANSWER_TIMEOUT_S) -> AdminClient:
    """Return a client of one node.

    :param timeout_s: seconds after which an answer counts as lost.
    """
    return AdminClient(place, timeout_s)


def read_address(url: str, token_file: Path) -> Result[AdminAddress, AdminAddressError]:
    """Return the address in a URL such as ``http://127.0.0.1:8004`` with the token of a file."""
    try:
        parts = urlsplit(url)
        address, port = str(IPv4Address(parts.hostname or "")), parts.port
    except (AddressValueError, ValueError):
        return Err(AdminAddressError(f"expected http://IP-NUMBER:PORT, got {url!r}"))
    if parts.scheme != "http" or not port or parts.path not in ("", "/"):
        return Err(AdminAddressError(f"expected http://IP-NUMBER:PORT, got {url!r}"))
    return _read_token(token_file).map(lambda token: AdminAddress(address, port, token))


def _read_token(path: Path) -> Result[str, AdminAddressError]:
    try:
        with path.open(encoding="utf-8") as stream:
            token = stream.read(TOKEN_FILE_BYTES_MAX).strip()
    except (OSError, UnicodeDecodeError) as error:
        return Err(AdminAddressError(f"token file {path}: {error}"))
    if not token or any(letter.isspace() or not letter.isprintable() for letter in token):
        return Err(AdminAddressError(f"token file {path}: expected one token on one line"))
    return Ok(token)


def _decode_answer(response: HttpResponse, kind: Any) -> Result[Any, AdminClientError]:
    if response.status == STATUS_UNAUTHORIZED:
        return Err(AdminTokenError("the node does not accept the token"))
    try:
        return Ok(decode(response.body, type=kind))
    except (DecodeError, ValidationError) as error:
        return Err(_problem(response, str(error)))


def _problem(response: HttpResponse, decoding: str) -> AdminClientError:
    try:
        problem = decode(response.body, type=Problem)
    except (DecodeError, ValidationError):
        return AdminLostError(f"status {response.status}, and the answer is not known: {decoding}")
    kind = AdminProblemError if response.status >= STATUS_SERVER_ERROR else AdminRequestError
    return kind(f"status {response.status}: {problem.error}")
