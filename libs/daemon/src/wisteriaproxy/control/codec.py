"""Cap'n Proto encoding of control messages, derived from attrs classes."""

import enum
import typing
from collections.abc import Callable
from importlib import resources
from typing import Any

import attrs
import capnp

from .kinds import KINDS
from .schema import strip_new_type, strip_optional, to_camel_case

_SCHEMA_FILE = resources.files("wisteriaproxy.control") / "control.capnp"
_TRAVERSAL_LIMIT_WORDS = 1_000_000

capnp.remove_import_hook()
_schema: Any = capnp.load(str(_SCHEMA_FILE))

_Convert = Callable[[Any], Any]
_Field = tuple[str, str, str | None, _Convert, _Convert]


class ControlFault(enum.Enum):
    """Why a control message cannot be decoded."""

    KIND = "unknown kind of control message"
    GARBLED = "control message can't be decoded"
    OUT_OF_RANGE = "control message can't be encoded"


def encode_control(message: Any) -> bytes | ControlFault:
    """Return packed Cap'n Proto, or the fault of a message with a value that the schema lacks."""
    cls = type(message)
    struct = getattr(_schema, cls.__name__)
    try:
        return bytes(struct.new_message(**_to_dict(message)).to_bytes_packed())
    except (capnp.KjException, ArithmeticError, ValueError, TypeError):
        return ControlFault.OUT_OF_RANGE


def decode_control(kind: int, payload: bytes) -> Any | ControlFault:
    cls = KINDS.get(kind)
    if cls is None:
        return ControlFault.KIND
    struct = getattr(_schema, cls.__name__)
    try:
        reader = struct.from_bytes_packed(payload, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS)
        return _from_reader(cls, reader)
    except (capnp.KjException, ValueError, TypeError, KeyError):
        return ControlFault.GARBLED


def _to_dict(message: Any) -> dict[str, Any]:
    """Return the fields by Cap'n Proto name."""
    encoded: dict[str, Any] = {}
    for name, wire_name, flag_name, write, _ in _get_fields(type(message)):
        value = getattr(message, name)
        if flag_name is not None:
            encoded[flag_name] = value is not None
        if value is not None:
            encoded[wire_name] = write(value)
    return encoded


def _from_reader(cls: type[Any], reader: Any) -> Any:
    values: dict[str, Any] = {}
    for name, wire_name, flag_name, _, read in _get_fields(cls):
        if flag_name is not None and not getattr(reader, flag_name):
            values[name] = None
            continue
        values[name] = read(getattr(reader, wire_name))
    return cls(**values)


_FIELDS: dict[type[Any], tuple[_Field, ...]] = {}


def _get_fields(cls: type[Any]) -> tuple[_Field, ...]:
    """Return the encoding of each field; cached by class."""
    cached = _FIELDS.get(cls)
    if cached is None:
        attrs.resolve_types(cls)
        cached = tuple(_describe_field(field) for field in attrs.fields(cls))
        _FIELDS[cls] = cached
    return cached


def _describe_field(field: "attrs.Attribute[Any]") -> _Field:
    value_type = strip_optional(field.type)
    wire_name = to_camel_case(field.name)
    flag_name = None
    if value_type is not field.type:
        flag_name = f"has{wire_name[0].upper()}{wire_name[1:]}"
    write, read = _converters(strip_new_type(value_type))
    return field.name, wire_name, flag_name, write, read


def _converters(value_type: Any) -> tuple[_Convert, _Convert]:
    """Return the functions that write and read a value."""
    if typing.get_origin(value_type) is tuple:
        write, read = _converters(strip_new_type(typing.get_args(value_type)[0]))
        return (
            lambda items: [write(item) for item in items],
            lambda items: tuple(read(item) for item in items),
        )
    if attrs.has(value_type):
        return _to_dict, lambda reader: _from_reader(value_type, reader)
    if isinstance(value_type, type) and issubclass(value_type, enum.Enum):
        return (lambda value: value.value), value_type
    if value_type is bytes:
        return bytes, bytes
    return (lambda value: value), (lambda value: value)
