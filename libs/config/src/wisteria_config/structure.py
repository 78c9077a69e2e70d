"""Convert parsed JSON to attrs classes and back, reporting errors with their JSON paths."""

from collections.abc import Callable, Iterator
from types import GenericAlias
from typing import Any, TypeVar, get_args, get_origin

import attrs
import cattrs
from cattrs import (
    AttributeValidationNote,
    ClassValidationError,
    IterableValidationError,
    IterableValidationNote,
)
from cattrs.errors import ForbiddenExtraKeysError
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from wisteria_core import Priority

from .constraints import ConstraintError, get_description, show
from .models import (
    Account,
    Document,
    DocumentError,
    DocumentErrors,
    KeyRecord,
    PublicPolicy,
    RequestLimits,
    Route,
    Service,
    SplitPart,
)

T = TypeVar("T")

Hook = Callable[[Any, Any], Any]


def _read_object(structure: Hook) -> Hook:
    """Wrap the structure hook of an attrs class so that it accepts only JSON objects."""

    def read(value: object, kind: Any) -> Any:
        if not isinstance(value, dict):
            raise ConstraintError(f"{show(value)} is not an object")
        return structure(value, kind)

    return read


def _read_list(converter: cattrs.Converter) -> Hook:
    """Return a hook for a tuple of attrs classes that accepts only JSON lists."""

    def read(value: object, kind: Any) -> Any:
        if not isinstance(value, list):
            raise ConstraintError(f"{show(value)} is not a list")
        items: Any = GenericAlias(list, get_args(kind)[:1])
        return tuple(converter.structure(value, items))

    return read


def _field_hook(converter: cattrs.Converter, field: "attrs.Attribute[Any]") -> Hook:
    constraint = get_description(field).constraint
    if constraint is not None:
        return lambda value, _kind: constraint.convert(value)
    if get_origin(field.type) is tuple:
        return _read_list(converter)
    return lambda value, kind: converter.structure(value, kind)


_CONVERTER = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
_CONVERTER.register_unstructure_hook(Priority, lambda priority: priority.name.lower())


def register_class(part: type[Any]) -> None:
    """Register the conversion hooks of an attrs class whose fields have descriptions."""
    hooks: dict[str, Any] = {
        field.name: override(struct_hook=_field_hook(_CONVERTER, field))
        for field in attrs.fields(part)
    }
    structure = make_dict_structure_fn(
        part,
        _CONVERTER,
        _cattrs_forbid_extra_keys=True,
        _cattrs_detailed_validation=True,
        **hooks,
    )
    _CONVERTER.register_structure_hook(part, _read_object(structure))
    unstructure_part = make_dict_unstructure_fn(part, _CONVERTER, _cattrs_omit_if_default=True)
    _CONVERTER.register_unstructure_hook(part, unstructure_part)


for _part in (
    Account,
    PublicPolicy,
    KeyRecord,
    Service,
    SplitPart,
    Route,
    RequestLimits,
    Document,
):
    register_class(_part)


def structure_object(plain: dict[str, Any], part: type[T]) -> T | DocumentErrors:
    """Return the object, or all errors of its fields."""
    try:
        return _CONVERTER.structure(plain, part)
    except (ClassValidationError, IterableValidationError) as group:
        return DocumentErrors(tuple(_flatten_errors(group, "$")))


def unstructure(part: object) -> dict[str, Any]:
    """Return plain data, without default values."""
    plain: dict[str, Any] = _CONVERTER.unstructure(part)
    return plain


def _flatten_errors(error: BaseException, place: str) -> Iterator[DocumentError]:
    match error:
        case ClassValidationError():
            noted, rest = error.group_exceptions()
            for fault, note in noted:
                yield from _flatten_errors(fault, _join(place, note))
            for fault in rest:
                yield from _flatten_errors(fault, place)
        case IterableValidationError():
            items, rest = error.group_exceptions()
            for fault, item in items:
                yield from _flatten_errors(fault, _join(place, item))
            for fault in rest:
                yield from _flatten_errors(fault, place)
        case ForbiddenExtraKeysError():
            for name in sorted(error.extra_fields):
                yield DocumentError(place, f"has the unknown field {show(name)}")
        case KeyError():
            yield DocumentError(place, "is missing")
        case _:
            yield DocumentError(place, str(error))


def _join(place: str, note: AttributeValidationNote | IterableValidationNote) -> str:
    if isinstance(note, AttributeValidationNote):
        return f"{place}.{note.name}"
    return f"{place}[{note.index}]"
