"""Encoding of messages: JSON towards the outside, MessagePack between instances.

Both work on frozen data classes, which are checked while they are decoded::

    >>> text = to_json(Row("a", "1", 3))
    >>> from_json(text, Row)
    Row(key='a', value='1', version=3)
"""

import typing as t

import msgspec

T = t.TypeVar("T")

#: What decoding fails with. Text that is nested too deep, or holds half of a character
#: that takes two, ends in the last two.
DECODE_ERRORS = (
    msgspec.DecodeError,
    msgspec.ValidationError,
    RecursionError,
    UnicodeError,
)


class DecodeError(ValueError):
    """The bytes are not the message that was expected; the text says where."""


def to_json(message: t.Any) -> str:
    """Return `message` as JSON text."""
    return msgspec.json.encode(message).decode()


def from_json(text: str | bytes, kind: type[T], strict: bool = True) -> T:
    """Return the `kind` that `text` holds, or raise `DecodeError`.

    If not `strict`, numbers may come as text.
    """
    try:
        return msgspec.json.decode(text, type=kind, strict=strict)
    except DECODE_ERRORS as exc:
        raise DecodeError(str(exc)) from exc


def to_msgpack(message: t.Any) -> bytes:
    """Return `message` as MessagePack bytes."""
    return msgspec.msgpack.encode(message)


def from_msgpack(data: bytes, kind: type[T]) -> T:
    """Return the `kind` that `data` holds, or raise `DecodeError`."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except DECODE_ERRORS as exc:
        raise DecodeError(str(exc)) from exc
