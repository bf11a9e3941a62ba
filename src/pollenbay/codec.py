"""Decoding of bytes from outside into typed values within bounds.

All JSON and MessagePack that a node receives is decoded here. The type states the range of each
field (`pollenbay.ranges`), the interpreter's recursion limit bounds the nesting, also inside fields
that the type does not have, and each function bounds the size.
"""

from typing import Generic, TypeVar

from msgspec import MsgspecError, Raw
from msgspec.json import decode
from msgspec.msgpack import Decoder
from result import Err, Ok, Result

#: Maximum size of a JSON document.
JSON_LIMIT_BYTES = 16 * 1024 * 1024
_Value = TypeVar("_Value")


class CodecError(Exception):
    """The bytes are not a value of the expected type within its bounds."""


class MessageDecoder(Generic[_Value]):
    """Decoder of MessagePack.

    :param value_type: type of the values, which may be a union.
    :param limit_bytes: maximum size of an encoded value.
    """

    def __init__(self, value_type: type[_Value], limit_bytes: int) -> None:
        self._decoder = Decoder(value_type)
        self._limit_bytes = limit_bytes

    def decode(self, data: bytes | memoryview) -> _Value:
        """Return the value that is encoded in `data`.

        :raises CodecError: if it is not a value of the type.
        """
        _require_size(data, self._limit_bytes)
        try:
            return self._decoder.decode(data)
        except (MsgspecError, RecursionError, ValueError, OverflowError) as error:
            raise CodecError(_describe(error)) from error


def make_message_decoder(value_type: type[_Value], limit_bytes: int) -> MessageDecoder[_Value]:
    """Return a decoder of MessagePack."""
    return MessageDecoder(value_type, limit_bytes)


def decode_json(
    data: bytes | Raw, value_type: type[_Value], limit_bytes: int = JSON_LIMIT_BYTES
) -> _Value:
    """Return the value of a JSON document.

    :raises CodecError: if it is not a value of the type.
    """
    _require_size(data, limit_bytes)
    try:
        return decode(data, type=value_type)
    except (MsgspecError, RecursionError, ValueError, OverflowError) as error:
        raise CodecError(_describe(error)) from error


def decode_each(parts: list[Raw], value_type: type[_Value]) -> list[Result[_Value, CodecError]]:
    """Return the value of each JSON document, so that a malformed one spoils no other."""
    results: list[Result[_Value, CodecError]] = []
    for part in parts:
        try:
            results.append(Ok(decode_json(part, value_type)))
        except CodecError as error:
            results.append(Err(error))
    return results


def _require_size(data: bytes | memoryview | Raw, limit_bytes: int) -> None:
    size = len(memoryview(data))
    if size > limit_bytes:
        raise CodecError(f"{size} bytes exceed the limit of {limit_bytes}")


def _describe(error: Exception) -> str:
    return "nested too deeply" if isinstance(error, RecursionError) else str(error)
