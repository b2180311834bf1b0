"""Encoding of messages: JSON for external clients, MessagePack between instances.

Both work on frozen data classes, which are validated when they are decoded::

    >>> text = to_json(Row("a", "1", 3))
    >>> from_json(text, Row)
    Row(key='a', value='1', version=3)
"""

import collections.abc as cabc
import dataclasses
import itertools
import typing as t

import msgspec

T = t.TypeVar("T")

#: Exceptions raised by decoding. The last two come from text that is nested too deeply,
#: and from text with a lone surrogate.
DECODE_ERRORS = (
    msgspec.DecodeError,
    msgspec.ValidationError,
    RecursionError,
    UnicodeError,
)


class DecodeError(ValueError):
    """The data is not a valid message of the expected type; the text says where."""


def to_json(message: t.Any) -> str:
    """Return `message` as JSON text."""
    return msgspec.json.encode(message).decode()


def to_json_without_empty(message: t.Any, names: cabc.Container[str]) -> str:
    """Return a data class as JSON text; named fields are left out if they are empty.

    The text is then the same as that of builds that do not know these fields::

        >>> to_json_without_empty(Row("a", "", 3), {"value"})
        '{"key":"a","version":3}'
    """
    values = {
        field.name: getattr(message, field.name)
        for field in dataclasses.fields(message)
    }
    return to_json(
        {name: value for name, value in values.items() if value or name not in names}
    )


def from_json(text: str | bytes, kind: type[T], strict: bool = True) -> T:
    """Decode `text` as a `kind`, or raise `DecodeError`.

    If not `strict`, numbers may be given as strings.
    """
    try:
        return msgspec.json.decode(text, type=kind, strict=strict)
    except DECODE_ERRORS as exc:
        raise DecodeError(str(exc)) from exc


def to_msgpack(message: t.Any) -> bytes:
    """Return `message` as MessagePack bytes."""
    return msgspec.msgpack.encode(message)


def from_msgpack(data: bytes, kind: type[T]) -> T:
    """Decode `data` as a `kind`, or raise `DecodeError`."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except DECODE_ERRORS as exc:
        raise DecodeError(str(exc)) from exc


def is_nested_deeper(value: t.Any, levels: int) -> bool:
    """Return whether decoded JSON nests lists and objects in more than `levels`::

    >>> is_nested_deeper({"a": [1]}, 1)
    True
    """
    containers = [value] if isinstance(value, dict | list) else []
    for _ in range(levels):
        if not containers:
            return False
        items = (_items(container) for container in containers)
        containers = [
            item
            for item in itertools.chain.from_iterable(items)
            if isinstance(item, dict | list)
        ]
    return bool(containers)


def _items(container: dict[str, t.Any] | list[t.Any]) -> cabc.Iterable[t.Any]:
    return container.values() if isinstance(container, dict) else container
