"""Client of the administration API, used by the command-line tool."""

from ipaddress import AddressValueError, IPv4Address
from pathlib import Path
from typing import Any, TypeVar
from urllib.parse import urlsplit

from curio import TaskTimeout, timeout_after
from msgspec import Struct
from msgspec.json import encode
from result import Err, Ok, Result

from pollenbay.adminresponse import ErrorBody
from pollenbay.codec import CodecError, decode_json
from pollenbay.http1 import HttpConnectError, HttpError, HttpRequest, HttpResponse
from pollenbay.httpclient import connect_http

RESPONSE_TIMEOUT_S = 30.0
TOKEN_FILE_BYTES_MAX = 4096
STATUS_UNAUTHORIZED = 401
STATUS_SERVER_ERROR = 500

_Response = TypeVar("_Response")


class AdminClientError(Exception):
    """Base class of the errors of this module."""


class AdminAddressError(AdminClientError):
    """The URL or the token file is invalid."""


class AdminConnectError(AdminClientError):
    """The node could not be connected to, so nothing was sent."""


class AdminResponseLostError(AdminClientError):
    """The request was sent, but no valid response was received; it may have been executed."""


class AdminTokenError(AdminClientError):
    """The node rejected the token."""


class AdminStatusError(AdminClientError):
    """The node reported that it could not execute the request (status 500 or above)."""


class AdminRejectedError(AdminStatusError):
    """The node rejected the request (status below 500), for example since its version differs."""


class AdminAddress(Struct, frozen=True):
    """Address and bearer token of a node's administration API.

    :param address: IP address.
    """

    address: str
    port: int
    token: str


class AdminClient:
    """Client of one node; opens a new connection for each request."""

    def __init__(self, address: AdminAddress, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s

    async def get(
        self, path: str, response_type: type[_Response]
    ) -> Result[_Response, AdminClientError]:
        """Send a GET request and decode the response as JSON."""
        return await self._send(self._make_request(b"GET", path, b""), response_type)

    async def post(
        self, path: str, body: object, response_type: type[_Response]
    ) -> Result[_Response, AdminClientError]:
        """Send a value as JSON in a POST request and decode the response."""
        return await self._send(self._make_request(b"POST", path, encode(body)), response_type)

    async def _send(
        self, request: HttpRequest, response_type: Any
    ) -> Result[Any, AdminClientError]:
        try:
            response = await timeout_after(self._timeout_s, self._exchange, request)
        except HttpConnectError as error:
            return Err(AdminConnectError(f"no connection to the node: {error}"))
        except TaskTimeout:
            return Err(AdminResponseLostError(f"no answer within {self._timeout_s:g} s"))
        except HttpError as error:
            return Err(AdminResponseLostError(f"the answer was lost: {error}"))
        return _decode_response(response, response_type)

    async def _exchange(self, request: HttpRequest) -> HttpResponse:
        client = await connect_http(self._address.address, self._address.port)
        try:
            return await client.exchange(request)
        finally:
            await client.close()

    def _make_request(self, method: bytes, path: str, body: bytes) -> HttpRequest:
        headers = [
            (b"host", f"{self._address.address}:{self._address.port}".encode("ascii")),
            (b"authorization", b"Bearer " + self._address.token.encode("utf-8")),
        ]
        return HttpRequest(method, path.encode("ascii"), headers, body)


def make_admin_client(address: AdminAddress, timeout_s: float = RESPONSE_TIMEOUT_S) -> AdminClient:
    """Return a client of one node.

    :param timeout_s: seconds after which a response counts as lost.
    """
    return AdminClient(address, timeout_s)


def read_address(url: str, token_file: Path) -> Result[AdminAddress, AdminAddressError]:
    """Return the address from a URL such as ``http://127.0.0.1:8004`` and the token from a file."""
    try:
        url_parts = urlsplit(url)
        address, port = str(IPv4Address(url_parts.hostname or "")), url_parts.port
    except (AddressValueError, ValueError):
        return Err(AdminAddressError(f"expected http://IP-NUMBER:PORT, got {url!r}"))
    if url_parts.scheme != "http" or not port or url_parts.path not in ("", "/"):
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


def _decode_response(response: HttpResponse, response_type: Any) -> Result[Any, AdminClientError]:
    if response.status == STATUS_UNAUTHORIZED:
        return Err(AdminTokenError("the node does not accept the token"))
    try:
        return Ok(decode_json(response.body, response_type))
    except CodecError as error:
        return Err(_make_error(response, str(error)))


def _make_error(response: HttpResponse, decode_error: str) -> AdminClientError:
    try:
        problem = decode_json(response.body, ErrorBody)
    except CodecError:
        return AdminResponseLostError(
            f"status {response.status}, and the answer is not known: {decode_error}"
        )
    error_type = AdminStatusError if response.status >= STATUS_SERVER_ERROR else AdminRejectedError
    return error_type(f"status {response.status}: {problem.error}")
