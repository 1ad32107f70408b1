"""CBOR encoding of frozen data classes, checked on arrival by pydantic."""

from dataclasses import fields, is_dataclass
from functools import cache
from typing import Any, get_args, get_origin, get_type_hints

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


@cache
def _nested_types(cls: Any) -> dict[str, Any]:
    """Return the fields that hold data classes, with the class of their items."""
    hints = get_type_hints(cls)
    nested = {name: _data_class_in(hints[name]) for name in _field_names(cls)}
    return {name: found for name, found in nested.items() if found is not None}


def _data_class_in(hint: Any) -> Any:
    if isinstance(hint, type) and is_dataclass(hint):
        return hint
    for part in get_args(hint):
        found = _data_class_in(part)
        if found is not None:
            return found
    return None


def _pack(value: Any) -> Any:
    """Return a data class as a list of its fields, and sequences item by item."""
    if is_dataclass(value):
        cls: Any = type(value)
        nested = _nested_types(cls)
        return [
            _pack(getattr(value, name)) if name in nested else getattr(value, name)
            for name in _field_names(cls)
        ]
    if isinstance(value, (tuple, list)):
        return [_pack(item) for item in value]
    return value


def _unpack(cls: Any, items: list[Any]) -> dict[str, Any]:
    """Return the fields of a data class by name, those of nested ones too."""
    names = _field_names(cls)
    body = dict(zip(names, items, strict=False))
    for name, nested in _nested_types(cls).items():
        if body.get(name) is not None:
            body[name] = _unpack_field(nested, body[name], _is_sequence(cls, name))
    return body


def _unpack_field(nested: Any, value: Any, is_sequence: bool) -> Any:
    if is_sequence:
        return [_unpack(nested, item) for item in value]
    return _unpack(nested, value)


@cache
def _is_sequence(cls: Any, name: str) -> bool:
    hint = get_type_hints(cls)[name]
    return get_origin(hint) in (tuple, list)


def encode(value: Any) -> bytes:
    """Return the CBOR form of a registered data class: a list of name and fields.

    Fields are encoded by position, nested data classes too, since the nodes' budget
    for control traffic is 6 KB/s and field names would double a message.
    """
    return cbor2.dumps([_names_by_type[type(value)], _pack(value)])


def decode(data: bytes) -> Any:
    """Return the data class in `data`.

    Raises `CodecError` if the bytes are not CBOR, the name is unknown, or a field
    has the wrong type.
    """
    try:
        name, items = cbor2.loads(data)
        cls = _types_by_name[name]
        return _adapter(cls).validate_python(_unpack(cls, items))
    except (ValueError, TypeError, KeyError, ValidationError, cbor2.CBORError) as error:
        raise CodecError(
            f"cannot decode a message of {len(data)} bytes: {error}",
            remedy="run the same release on all instances",
        ) from error
