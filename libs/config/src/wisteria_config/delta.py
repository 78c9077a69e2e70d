"""Deltas between two documents, sent to peers in place of the whole document."""

import json
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import attrs

from . import const
from .constraints import IntegerRange, Names, about
from .models import (
    NAME,
    Account,
    Document,
    DocumentErrors,
    DomainRecord,
    KeyRecord,
    PublicPolicy,
    RequestLimits,
    Route,
    Service,
)
from .parser import parse_json
from .references import find_cross_field_errors
from .structure import register_class, structure_object, unstructure

T = TypeVar("T")

SECTIONS: dict[str, Callable[[Any], str]] = {
    "failure_domains": lambda domain: domain.name,
    "accounts": lambda account: account.name,
    "keys": lambda key: key.id,
    "services": lambda service: service.name,
    "routes": lambda route: route.id,
}


@attrs.frozen
class Upserts:
    """Objects that a delta adds or replaces."""

    failure_domains: tuple[DomainRecord, ...] = attrs.field(
        default=(), metadata=about("Failure domains.")
    )
    accounts: tuple[Account, ...] = attrs.field(default=(), metadata=about("Client accounts."))
    keys: tuple[KeyRecord, ...] = attrs.field(default=(), metadata=about("Keys of accounts."))
    services: tuple[Service, ...] = attrs.field(default=(), metadata=about("Services."))
    routes: tuple[Route, ...] = attrs.field(default=(), metadata=about("Route policies."))


@attrs.frozen
class Deletions:
    """Names of objects that a delta removes."""

    failure_domains: tuple[str, ...] = attrs.field(
        default=(), metadata=about("Names.", Names(NAME))
    )
    accounts: tuple[str, ...] = attrs.field(default=(), metadata=about("Names.", Names(NAME)))
    keys: tuple[str, ...] = attrs.field(default=(), metadata=about("Names.", Names(NAME)))
    services: tuple[str, ...] = attrs.field(default=(), metadata=about("Names.", Names(NAME)))
    routes: tuple[str, ...] = attrs.field(default=(), metadata=about("Names.", Names(NAME)))


@attrs.frozen
class Delta:
    """The changes that turn one document into a later one.

    The public policy and the limits are always included: they are small, and "unchanged" then
    needs no representation of its own.
    """

    version: int = attrs.field(
        metadata=about("Version of the resulting document.", IntegerRange(1, const.MAX_VERSION))
    )
    public: PublicPolicy = attrs.field(metadata=about("Account for open routes."))
    upserts: Upserts = attrs.field(default=Upserts(), metadata=about("Added or replaced."))
    deletions: Deletions = attrs.field(default=Deletions(), metadata=about("Removed."))
    limits: RequestLimits = attrs.field(
        default=RequestLimits(), metadata=about("Bounds on requests of callers.")
    )


for _part in (Upserts, Deletions, Delta):
    register_class(_part)


def compute_delta(old: Document, new: Document) -> Delta:
    upserts: dict[str, Any] = {}
    deletions: dict[str, Any] = {}
    for section, name in SECTIONS.items():
        before = _by_name(getattr(old, section), name)
        after = _by_name(getattr(new, section), name)
        upserts[section] = tuple(part for key, part in after.items() if before.get(key) != part)
        deletions[section] = tuple(sorted(before.keys() - after.keys()))
    return Delta(new.version, new.public, Upserts(**upserts), Deletions(**deletions), new.limits)


def merge_deltas(first: Delta, second: Delta) -> Delta:
    """Return the delta with the effect of `first`, then `second`."""
    upserts: dict[str, Any] = {}
    deletions: dict[str, Any] = {}
    for section, name in SECTIONS.items():
        added = _by_name(getattr(second.upserts, section), name)
        removed = set(getattr(second.deletions, section))
        earlier = _by_name(getattr(first.upserts, section), name)
        kept = {key: part for key, part in earlier.items() if key not in removed}
        gone = set(getattr(first.deletions, section)) - added.keys()
        upserts[section] = tuple((kept | added).values())
        deletions[section] = tuple(sorted(gone | removed))
    return Delta(
        second.version, second.public, Upserts(**upserts), Deletions(**deletions), second.limits
    )


def apply_delta(document: Document, delta: Delta) -> Document | DocumentErrors:
    """Return the resulting document, or the errors of the checks across its fields.

    Objects that the delta leaves unchanged were validated before and are shared with `document`.
    """
    sections: dict[str, Any] = {}
    for section, name in SECTIONS.items():
        parts = _by_name(getattr(document, section), name)
        for key in getattr(delta.deletions, section):
            parts.pop(key, None)
        parts |= _by_name(getattr(delta.upserts, section), name)
        sections[section] = tuple(parts[key] for key in sorted(parts))
    result = attrs.evolve(
        document, version=delta.version, public=delta.public, limits=delta.limits, **sections
    )
    errors = tuple(find_cross_field_errors(result))
    return DocumentErrors(errors) if errors else result


def encode_delta(delta: Delta) -> bytes:
    """Return compact JSON."""
    return json.dumps(unstructure(delta), separators=(",", ":"), ensure_ascii=False).encode()


def decode_delta(raw: bytes) -> Delta | DocumentErrors:
    """Return the delta in `raw`, validated field by field like a document, or its errors."""
    plain = parse_json(raw)
    if isinstance(plain, DocumentErrors):
        return plain
    return structure_object(plain, Delta)


def _by_name(parts: Iterable[T], name: Callable[[T], str]) -> dict[str, T]:
    return {name(part): part for part in parts}
