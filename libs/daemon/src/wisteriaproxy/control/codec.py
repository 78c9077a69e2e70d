"""Cap'n Proto encoding of the control messages, derived from their attrs classes."""

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
    """Why a control message can't be read."""

    KIND = "unknown kind of control message"
    GARBLED = "control message can't be decoded"


def encode_control(message: Any) -> bytes:
    """Return the Cap'n Proto bytes of a control message."""
    cls = type(message)
    struct = getattr(_schema, cls.__name__)
    return bytes(struct.new_message(**_to_plain(message)).to_bytes_packed())


def decode_control(kind: int, payload: bytes) -> Any | ControlFault:
    """Return the control message in `payload`, or the fault that keeps it from being read."""
    cls = KINDS.get(kind)
    if cls is None:
        return ControlFault.KIND
    struct = getattr(_schema, cls.__name__)
    try:
        reader = struct.from_bytes_packed(payload, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS)
        return _from_reader(cls, reader)
    except (capnp.KjException, ValueError, TypeError, KeyError):
        return ControlFault.GARBLED


def _to_plain(message: Any) -> dict[str, Any]:
    """Return the fields of an attrs object under their Cap'n Proto names."""
    plain: dict[str, Any] = {}
    for name, wire_name, flag_name, write, _ in _fields_of(type(message)):
        value = getattr(message, name)
        if flag_name is not None:
            plain[flag_name] = value is not None
        if value is not None:
            plain[wire_name] = write(value)
    return plain


def _from_reader(cls: type[Any], reader: Any) -> Any:
    values: dict[str, Any] = {}
    for name, wire_name, flag_name, _, read in _fields_of(cls):
        if flag_name is not None and not getattr(reader, flag_name):
            values[name] = None
            continue
        values[name] = read(getattr(reader, wire_name))
    return cls(**values)


_FIELDS: dict[type[Any], tuple[_Field, ...]] = {}


def _fields_of(cls: type[Any]) -> tuple[_Field, ...]:
    """Return how each field of a class is written and read; worked out once."""
    known = _FIELDS.get(cls)
    if known is None:
        attrs.resolve_types(cls)
        known = tuple(_describe_field(field) for field in attrs.fields(cls))
        _FIELDS[cls] = known
    return known


def _describe_field(field: "attrs.Attribute[Any]") -> _Field:
    wanted = strip_optional(field.type)
    wire_name = to_camel_case(field.name)
    flag_name = None
    if wanted is not field.type:
        flag_name = f"has{wire_name[0].upper()}{wire_name[1:]}"
    write, read = _converters(strip_new_type(wanted))
    return field.name, wire_name, flag_name, write, read


def _converters(wanted: Any) -> tuple[_Convert, _Convert]:
    """Return the functions that write and read a value of one type."""
    if typing.get_origin(wanted) is tuple:
        write, read = _converters(strip_new_type(typing.get_args(wanted)[0]))
        return (
            lambda items: [write(one) for one in items],
            lambda items: tuple(read(one) for one in items),
        )
    if attrs.has(wanted):
        return _to_plain, lambda reader: _from_reader(wanted, reader)
    if isinstance(wanted, type) and issubclass(wanted, enum.Enum):
        return (lambda value: value.value), wanted
    if wanted is bytes:
        return bytes, bytes
    return (lambda value: value), (lambda value: value)
