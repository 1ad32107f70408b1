"""CBOR encoding of frozen data classes, checked on arrival by pydantic."""

from collections.abc import Callable
from dataclasses import fields, is_dataclass
from functools import cache
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import cbor2
from pydantic import TypeAdapter, ValidationError

from cardamomrun_base.errors import CardamomrunError

__all__ = ["CodecError", "decode", "encode", "message", "message_name"]

Converter = Callable[[Any], Any]
MessageType = TypeVar("MessageType", bound=type)

# A message may have thousands of invalid fields, and the text goes into one log line.
MAX_DESCRIBED_COUNT = 3

_types_by_name: dict[str, type] = {}
_names_by_type: dict[type, str] = {}


class CodecError(CardamomrunError):
    """Bytes from a peer or a file are not a valid message."""

    kind = "codec"


def message(name: str) -> Callable[[MessageType], MessageType]:
    """Register a frozen data class under a stable name on the wire.

    >>> from dataclasses import dataclass
    >>> @message("doctest-point")
    ... @dataclass(frozen=True)
    ... class Point:
    ...     x: int
    >>> decode(encode(Point(3)))
    Point(x=3)
    """

    def register(cls: MessageType) -> MessageType:
        if _types_by_name.get(name, cls) is not cls:
            raise ValueError(f"message name {name} is used twice")
        _types_by_name[name] = cls
        _names_by_type[cls] = name
        return cls

    return register


def message_name(cls: type) -> str:
    """Return the name on the wire of a registered data class; empty for others."""
    return _names_by_type.get(cls, "")


@cache
def _adapter(cls: Any) -> TypeAdapter:
    return TypeAdapter(cls)


@cache
def _field_names(cls: Any) -> tuple[str, ...]:
    return tuple(field.name for field in fields(cls))


@cache
def _field_converters(cls: Any) -> dict[str, Converter]:
    """Return the converters of those fields of a data class that hold data classes."""
    hints = get_type_hints(cls)
    converters = {name: _converter(hints[name]) for name in _field_names(cls)}
    return {
        name: convert for name, convert in converters.items() if convert is not None
    }


def _converter(hint: Any) -> Converter | None:
    """Return the function that unpacks a value of this type; None if none is needed."""
    if isinstance(hint, type) and is_dataclass(hint):
        return lambda items: _unpack(hint, items)
    converters = [_converter(argument) for argument in get_args(hint)]
    convert = next((item for item in converters if item is not None), None)
    if convert is None:
        return None
    if get_origin(hint) in (tuple, list):
        return lambda items: [convert(item) for item in items]
    if get_origin(hint) is dict:
        return lambda items: {key: convert(item) for key, item in items.items()}
    return lambda item: item if item is None else convert(item)


def _pack(value: Any) -> Any:
    """Return a data class as a list of its field values; containers item by item."""
    if is_dataclass(value):
        cls: Any = type(value)
        nested = _field_converters(cls)
        return [
            _pack(getattr(value, name)) if name in nested else getattr(value, name)
            for name in _field_names(cls)
        ]
    if isinstance(value, (tuple, list)):
        return [_pack(item) for item in value]
    if isinstance(value, dict):
        return {key: _pack(item) for key, item in value.items()}
    return value


def _unpack(cls: Any, items: list[Any]) -> dict[str, Any]:
    """Return the field values of a data class by name, also of nested data classes."""
    body = dict(zip(_field_names(cls), items, strict=False))
    for name, convert in _field_converters(cls).items():
        if name in body:
            body[name] = convert(body[name])
    return body


def encode(value: Any) -> bytes:
    """Return the CBOR form of a registered data class: a list of name and fields.

    Fields are encoded by position, also in nested data classes: a node's budget for
    control traffic is 6 KB/s, and field names would double the size of a message.
    """
    return cbor2.dumps([_names_by_type[type(value)], _pack(value)])


def decode(data: bytes) -> Any:
    """Return the registered data class encoded in `data`.

    Raises `CodecError` if the bytes are not CBOR, the name is unknown, or a field is
    missing or has the wrong type.
    """
    try:
        name, items = cbor2.loads(data)
        cls = _types_by_name[name]
        return _adapter(cls).validate_python(_unpack(cls, items))
    except ValidationError as error:
        # Its own text quotes the values, which may be keys of organisations; without
        # the chain no traceback quotes them either.
        raise CodecError(
            f"cannot decode a message of {len(data)} bytes: {_describe(error)}",
            remedy="run the same release on all instances",
        ) from None
    except (ValueError, TypeError, KeyError, cbor2.CBORError) as error:
        raise CodecError(
            f"cannot decode a message of {len(data)} bytes: {error}",
            remedy="run the same release on all instances",
        ) from error


def _describe(error: ValidationError) -> str:
    """Return the fields that are invalid, without their values."""
    details = error.errors(
        include_url=False, include_context=False, include_input=False
    )
    return "; ".join(
        f"{'.'.join(str(part) for part in detail['loc'])}: {detail['msg']}"
        for detail in details[:MAX_DESCRIBED_COUNT]
    )
