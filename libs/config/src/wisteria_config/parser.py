"""Parse JSON strictly: UTF-8, no duplicate keys, finite numbers, bounded nesting."""

import json
import math
from collections.abc import Iterator
from typing import Any

from .const import MAX_NESTING
from .constraints import show
from .models import DocumentError, DocumentErrors


class _Object(dict[str, Any]):
    """A JSON object that records its duplicate keys."""

    duplicates: tuple[str, ...] = ()


def _build_object(pairs: list[tuple[str, Any]]) -> _Object:
    built = _Object(pairs)
    if len(built) < len(pairs):
        names = [name for name, _ in pairs]
        built.duplicates = tuple(name for name in built if names.count(name) > 1)
    return built


def parse_json(raw: bytes) -> dict[str, Any] | DocumentErrors:
    """Return the JSON object in `raw`, or the errors that prevent parsing it."""
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as error:
        return _refuse(f"is not UTF-8 at byte {error.start}")
    try:
        value = json.loads(text, object_pairs_hook=_build_object)
    except json.JSONDecodeError as error:
        return _refuse(f"is not JSON: {error.msg} at line {error.lineno} column {error.colno}")
    except ValueError:
        return _refuse("is not JSON that can be read: a number has too many digits")
    except RecursionError:
        return _refuse(f"is nested deeper than {MAX_NESTING} levels")
    if not isinstance(value, dict):
        return _refuse("is not a JSON object")
    errors = tuple(_find_errors(value, "$", MAX_NESTING))
    return DocumentErrors(errors) if errors else value


def _refuse(problem: str) -> DocumentErrors:
    return DocumentErrors((DocumentError("$", problem),))


def _find_errors(value: object, place: str, levels_left: int) -> Iterator[DocumentError]:
    """Yield duplicate keys, non-finite numbers and excess nesting anywhere in a parsed value."""
    if levels_left == 0:
        yield DocumentError(place, f"is nested deeper than {MAX_NESTING} levels")
        return
    match value:
        case _Object():
            for name in value.duplicates:
                yield DocumentError(place, f"has the key {show(name)} more than once")
            for name, item in value.items():
                yield from _find_errors(item, f"{place}.{_format_key(name)}", levels_left - 1)
        case list():
            for index, item in enumerate(value):
                yield from _find_errors(item, f"{place}[{index}]", levels_left - 1)
        case float() if not math.isfinite(value):
            yield DocumentError(place, "is not a finite number")


def _format_key(name: str) -> str:
    return name if name.isidentifier() and name.isascii() else show(name)
