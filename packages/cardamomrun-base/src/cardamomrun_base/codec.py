"""CBOR encoding of frozen data classes, checked on arrival by pydantic."""

from dataclasses import fields
from functools import cache
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from cardamomrun_base.errors import CardamomrunError

__all__ = ["CodecError", "decode", "encode", "message"]

_types_by_name: dict[str, type] = {}
_names_by_type: dict[type, str] = {}


class CodecError(CardamomrunError):
    """Bytes from a peer or a file are not a known message."""

    kind = "codec"


def message(name: str):
    """Register a frozen data class under a stable name on the wire.

    >>> from dataclasses import dataclass
    >>> @message("doctest-point")
    ... @dataclass(frozen=True)
    ... class Point:
    ...     x: int
    >>> decode(encode(Point(3)))
    Point(x=3)
    """

    def register(cls: type) -> type:
        if _types_by_name.get(name, cls) is not cls:
            raise ValueError(f"message name {name} is used twice")
        _types_by_name[name] = cls
        _names_by_type[cls] = name
        return cls

    return register


@cache
def _adapter(cls: Any) -> TypeAdapter:
    return TypeAdapter(cls)


@cache
def _field_names(cls: Any) -> tuple[str, ...]:
    return tuple(field.name for field in fields(cls))


def encode(value: Any) -> bytes:
    """Return the CBOR form of a registered data class: a list of name and fields.

    Fields are encoded by position, since the nodes' budget for control traffic is
    6 KB/s and field names would double a message.
    """
    cls: Any = type(value)
    body = _adapter(cls).dump_python(value)
    items = [body[name] for name in _field_names(cls)]
    return cbor2.dumps([_names_by_type[cls], items])


def decode(data: bytes) -> Any:
    """Return the data class in `data`.

    Raises `CodecError` if the bytes are not CBOR, the name is unknown, or a field
    has the wrong type.
    """
    try:
        name, items = cbor2.loads(data)
        cls: Any = _types_by_name[name]
        body = dict(zip(_field_names(cls), items, strict=False))
        return _adapter(cls).validate_python(body)
    except (ValueError, TypeError, KeyError, ValidationError, cbor2.CBORError) as error:
        raise CodecError(
            f"cannot decode a message of {len(data)} bytes: {error}",
            remedy="run the same release on all instances",
        ) from error
