"""Encoding of results of the administration API as HTTP responses, by the type of the result."""

from functools import singledispatch

from msgspec import Struct
from msgspec.json import encode

from pollenbay.adminendpoint import (
    BadRequestError,
    EndpointError,
    UnknownPathError,
    WrongMethodError,
)
from pollenbay.http1 import HttpRequestError, HttpResponse
from pollenbay.publication import Invalid, NotWritten, Refused, Unsettled
from pollenbay.queries.health import MetricsText, Readiness
from pollenbay.queries.history import HistoryUnknown

JSON_TYPE = (b"content-type", b"application/json")
METRICS_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
AUTHENTICATE_HEADER = (b"www-authenticate", b"Bearer")


class ErrorBody(Struct, frozen=True):
    """Body of an error response."""

    error: str


class Unauthorized(Struct, frozen=True):
    """The request lacks the required token or has a wrong one."""


@singledispatch
def make_response(result: object) -> HttpResponse:
    """Return the HTTP response for a result; status 200 and JSON unless its type is registered."""
    return _json_response(200, result)


@make_response.register
def _(result: MetricsText) -> HttpResponse:
    return HttpResponse(200, [METRICS_TYPE], result.text)


@make_response.register
def _(result: Readiness) -> HttpResponse:
    return _json_response(200 if result.ready else 503, result)


@make_response.register
def _(result: Refused) -> HttpResponse:
    return _json_response(409, result)


@make_response.register
def _(result: Invalid) -> HttpResponse:
    return _json_response(422, result)


@make_response.register
def _(result: NotWritten) -> HttpResponse:
    return _json_response(503, result)


@make_response.register
def _(result: Unsettled) -> HttpResponse:
    return _json_response(504, result)


@make_response.register
def _(result: HistoryUnknown) -> HttpResponse:
    return _problem_response(503, result.message)


@make_response.register
def _(result: Unauthorized) -> HttpResponse:
    response = _problem_response(401, "expected the header authorization: Bearer TOKEN")
    response.headers.append(AUTHENTICATE_HEADER)
    return response


@make_response.register
def _(error: HttpRequestError) -> HttpResponse:
    return _problem_response(error.status, str(error))


@make_response.register
def _(error: EndpointError) -> HttpResponse:
    return _problem_response(500, str(error))


@make_response.register
def _(error: UnknownPathError) -> HttpResponse:
    return _problem_response(404, str(error))


@make_response.register
def _(error: BadRequestError) -> HttpResponse:
    return _problem_response(400, str(error))


@make_response.register
def _(error: WrongMethodError) -> HttpResponse:
    response = _problem_response(405, str(error))
    response.headers.append((b"allow", error.allowed))
    return response


def _problem_response(status: int, message: str) -> HttpResponse:
    return _json_response(status, ErrorBody(message))


def _json_response(status: int, value: object) -> HttpResponse:
    return HttpResponse(status, [JSON_TYPE], encode(value))
