"""Checks across the fields of a document: unique names, references, rules between fields.

They accept parsed JSON that may have other errors, so that one validation reports them all, and
documents that result from a delta.
"""

import functools
from collections.abc import Callable, Iterator
from typing import Any, TypeGuard

import attrs

from .const import PUBLIC_ACCOUNT
from .models import Document, DocumentError, Service
from .paths import pattern_shape

Source = dict[str, Any] | Document
FieldReader = Callable[[str], Any]
ObjectReader = tuple[str, FieldReader]


def _iter_objects(source: Source, section: str) -> Iterator[ObjectReader]:
    """Yield the JSON path of each object of a section and a function that reads its fields."""
    if isinstance(source, Document):
        for index, part in enumerate(getattr(source, section)):
            yield f"$.{section}[{index}]", functools.partial(getattr, part)
        return
    items = source.get(section)
    if not isinstance(items, list):
        return
    for index, item in enumerate(items):
        if isinstance(item, dict):
            yield f"$.{section}[{index}]", item.get


def _names(source: Source, section: str) -> set[str]:
    names = (read("name") for _, read in _iter_objects(source, section))
    return {name for name in names if _is_text(name)}


def _is_text(value: object) -> TypeGuard[str]:
    return isinstance(value, str)


def _find_missing_domains(source: Source) -> Iterator[DocumentError]:
    if not any(True for _ in _iter_objects(source, "failure_domains")):
        yield DocumentError("$.failure_domains", "names no failure domain; at least one is needed")


def find_cross_field_errors(source: Source) -> Iterator[DocumentError]:
    """Yield the errors that involve more than one value."""
    yield from _find_missing_domains(source)
    yield from _find_duplicates(source, "failure_domains", "name")
    yield from _find_duplicates(source, "accounts", "name")
    yield from _find_duplicates(source, "keys", "id")
    yield from _find_duplicates(source, "keys", "sha256")
    yield from _find_duplicates(source, "services", "name")
    yield from _find_duplicates(source, "routes", "id")
    yield from _find_duplicate_patterns(source)
    accounts = _names(source, "accounts")
    yield from _find_dangling(source, "keys", "account", accounts)
    yield from _find_dangling(source, "routes", "service", _names(source, "services"))
    yield from _find_dangling_accounts(source, accounts)
    yield from _find_split_errors(source, _names(source, "services"))
    yield from _find_reserved_names(source)
    yield from _find_route_conflicts(source)
    yield from _find_service_conflicts(source)


def _find_duplicates(source: Source, section: str, field: str) -> Iterator[DocumentError]:
    first: dict[str, str] = {}
    for place, read in _iter_objects(source, section):
        value = read(field)
        if not _is_text(value):
            continue
        if value in first:
            yield DocumentError(f"{place}.{field}", f"is the same as {first[value]}.{field}")
        first.setdefault(value, place)


def _find_duplicate_patterns(source: Source) -> Iterator[DocumentError]:
    first: dict[tuple[str, str, str], str] = {}
    for place, read in _iter_objects(source, "routes"):
        method, path, host = read("method"), read("path"), read("host") or ""
        if not _is_text(method) or not _is_text(path) or not _is_text(host):
            continue
        pattern = (host.lower(), method, pattern_shape(path))
        if pattern in first:
            yield DocumentError(f"{place}.path", f"matches the same calls as {first[pattern]}")
        first.setdefault(pattern, place)


def _find_dangling(
    source: Source, section: str, field: str, known: set[str]
) -> Iterator[DocumentError]:
    for place, read in _iter_objects(source, section):
        value = read(field)
        if _is_text(value) and value not in known:
            yield DocumentError(f"{place}.{field}", f"names an unknown {field}, {value!a:.70}")


def _find_dangling_accounts(source: Source, known: set[str]) -> Iterator[DocumentError]:
    for place, read in _iter_objects(source, "routes"):
        names = read("accounts")
        if not isinstance(names, list | tuple):
            continue
        for index, name in enumerate(names):
            if _is_text(name) and name not in known:
                problem = f"names an unknown account, {name!a:.70}"
                yield DocumentError(f"{place}.accounts[{index}]", problem)


def _find_split_errors(source: Source, services: set[str]) -> Iterator[DocumentError]:
    for place, read in _iter_objects(source, "routes"):
        parts = read("split")
        if not isinstance(parts, list | tuple) or not parts:
            continue
        total = 0
        for index, part in enumerate(parts):
            name = part.get("service") if isinstance(part, dict) else getattr(part, "service", None)
            weight = part.get("weight") if isinstance(part, dict) else getattr(part, "weight", 0)
            total += weight if isinstance(weight, int) else 0
            if _is_text(name) and name not in services:
                problem = f"names an unknown service, {name!a:.70}"
                yield DocumentError(f"{place}.split[{index}].service", problem)
        if total <= 0:
            yield DocumentError(f"{place}.split", "gives no service a weight above 0")


def _find_reserved_names(source: Source) -> Iterator[DocumentError]:
    for place, read in _iter_objects(source, "accounts"):
        if read("name") == PUBLIC_ACCOUNT:
            yield DocumentError(f"{place}.name", f"{PUBLIC_ACCOUNT!r} is reserved for open routes")


def _find_route_conflicts(source: Source) -> Iterator[DocumentError]:
    for place, read in _iter_objects(source, "routes"):
        if read("open") is True and read("accounts"):
            yield DocumentError(f"{place}.accounts", "is not allowed on an open route")
        if read("long_download") is not True:
            continue
        if read("method") != "GET" or read("repeatable") is not True:
            problem = "needs the method GET and a repeatable route"
            yield DocumentError(f"{place}.long_download", problem)


def _find_service_conflicts(source: Source) -> Iterator[DocumentError]:
    defaults = attrs.fields(Service)
    for place, read in _iter_objects(source, "services"):
        low = read("concurrency_min") or defaults.concurrency_min.default
        high = read("concurrency_max") or defaults.concurrency_max.default
        if isinstance(low, int) and isinstance(high, int) and low > high:
            yield DocumentError(f"{place}.concurrency_max", "is less than concurrency_min")
