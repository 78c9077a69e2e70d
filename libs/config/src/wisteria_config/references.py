"""Checks across the parts of a document: unique names, references, rules between fields.

They work on parsed JSON that may still have other faults, so that one run names them all.
"""

from collections.abc import Iterator
from typing import Any, TypeGuard

import attrs

from .const import PUBLIC_ACCOUNT
from .models import DocumentError, Service
from .paths import pattern_shape

Part = tuple[str, dict[str, Any]]


def _parts(plain: dict[str, Any], section: str) -> Iterator[Part]:
    """Yield the place and the content of each object of a section."""
    items = plain.get(section)
    if not isinstance(items, list):
        return
    for index, item in enumerate(items):
        if isinstance(item, dict):
            yield f"$.{section}[{index}]", item


def _names(plain: dict[str, Any], section: str) -> set[str]:
    return {part["name"] for _, part in _parts(plain, section) if _is_text(part.get("name"))}


def _is_text(value: object) -> TypeGuard[str]:
    return isinstance(value, str)


def find_cross_faults(plain: dict[str, Any]) -> Iterator[DocumentError]:
    """Yield each fault that only several values together show."""
    yield from _find_duplicates(plain, "accounts", "name")
    yield from _find_duplicates(plain, "keys", "id")
    yield from _find_duplicates(plain, "keys", "sha256")
    yield from _find_duplicates(plain, "services", "name")
    yield from _find_duplicates(plain, "routes", "id")
    yield from _find_same_patterns(plain)
    accounts = _names(plain, "accounts")
    yield from _find_dangling(plain, "keys", "account", accounts)
    yield from _find_dangling(plain, "routes", "service", _names(plain, "services"))
    yield from _find_dangling_accounts(plain, accounts)
    yield from _find_reserved(plain)
    yield from _find_route_clashes(plain)
    yield from _find_service_clashes(plain)


def _find_duplicates(plain: dict[str, Any], section: str, field: str) -> Iterator[DocumentError]:
    first: dict[str, str] = {}
    for place, part in _parts(plain, section):
        value = part.get(field)
        if not _is_text(value):
            continue
        if value in first:
            yield DocumentError(f"{place}.{field}", f"is the same as {first[value]}.{field}")
        first.setdefault(value, place)


def _find_same_patterns(plain: dict[str, Any]) -> Iterator[DocumentError]:
    first: dict[tuple[str, str], str] = {}
    for place, part in _parts(plain, "routes"):
        method, path = part.get("method"), part.get("path")
        if not _is_text(method) or not _is_text(path):
            continue
        pattern = (method, pattern_shape(path))
        if pattern in first:
            yield DocumentError(f"{place}.path", f"matches the same calls as {first[pattern]}")
        first.setdefault(pattern, place)


def _find_dangling(
    plain: dict[str, Any], section: str, field: str, known: set[str]
) -> Iterator[DocumentError]:
    for place, part in _parts(plain, section):
        value = part.get(field)
        if _is_text(value) and value not in known:
            yield DocumentError(f"{place}.{field}", f"names an unknown {field}, {value!a:.70}")


def _find_dangling_accounts(plain: dict[str, Any], known: set[str]) -> Iterator[DocumentError]:
    for place, part in _parts(plain, "routes"):
        names = part.get("accounts")
        if not isinstance(names, list):
            continue
        for index, name in enumerate(names):
            if _is_text(name) and name not in known:
                problem = f"names an unknown account, {name!a:.70}"
                yield DocumentError(f"{place}.accounts[{index}]", problem)


def _find_reserved(plain: dict[str, Any]) -> Iterator[DocumentError]:
    for place, part in _parts(plain, "accounts"):
        if part.get("name") == PUBLIC_ACCOUNT:
            yield DocumentError(f"{place}.name", f"{PUBLIC_ACCOUNT!r} is reserved for open routes")


def _find_route_clashes(plain: dict[str, Any]) -> Iterator[DocumentError]:
    for place, part in _parts(plain, "routes"):
        if part.get("open") is True and part.get("accounts"):
            yield DocumentError(f"{place}.accounts", "is of no use on an open route")
        if part.get("long_download") is not True:
            continue
        if part.get("method") != "GET" or part.get("repeatable") is not True:
            problem = "needs the method GET and a repeatable route"
            yield DocumentError(f"{place}.long_download", problem)


def _find_service_clashes(plain: dict[str, Any]) -> Iterator[DocumentError]:
    defaults = attrs.fields(Service)
    for place, part in _parts(plain, "services"):
        low = part.get("concurrency_min", defaults.concurrency_min.default)
        high = part.get("concurrency_max", defaults.concurrency_max.default)
        if isinstance(low, int) and isinstance(high, int) and low > high:
            yield DocumentError(f"{place}.concurrency_max", "is under concurrency_min")
