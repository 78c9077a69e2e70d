from collections.abc import Callable
from typing import Any

import attrs

from wisteria_config import Document, describe_changes
from wisteria_config.models import (
    Account,
    KeyRecord,
    PublicPolicy,
    RequestLimits,
    Route,
    Service,
    SplitPart,
)
from wisteria_core import Priority

from .conftest import plain_document, sha256_of


def test_describe_changes(build: Callable[..., Document]) -> None:
    plain = plain_document()
    new = build(
        version=2,
        public={"rate_per_s": 10, "burst": 40},
        accounts=[
            {"name": "co-op", "rate_per_s": 60, "burst": 80},
            {"name": "lab", "rate_per_s": 5, "burst": 9},
        ],
        keys=[{"id": "k-1", "sha256": sha256_of("new"), "account": "lab"}],
        services=[*plain["services"][:1], {"name": "orders", "retry_ratio": 0.2}],
        routes=[
            plain["routes"][0] | {"open": True, "repeatable": True, "priority": "background"},
            plain["routes"][1] | {"accounts": ["lab"], "path": "/refills", "deadline_ms": 500},
        ],
    )
    assert describe_changes(build(), new) == (
        "lowers rate of open routes from 20 to 10 calls/s",
        "removes client account vets",
        "adds client account lab: 5 calls/s, burst 9, weight 10",
        "raises rate of client account co-op from 40 to 60 calls/s",
        "withdraws key k-2 of client account vets",
        "moves key k-1 from client account co-op to lab",
        "replaces the secret of key k-1: the former secret is withdrawn",
        "raises retry ratio of service orders from 0.05 to 0.2",
        "changes the calls of route order from POST /orders to POST /refills",
        "lowers deadline of route order from 10000 to 500 ms",
        "lets only lab call route order",
        "opens route yields: it needs no key any more",
        "declares route yields repeatable: it may run more than once",
        "lowers priority of route yields from normal to background",
    )


def test_every_field_has_a_description() -> None:
    """Guards against a new field of the model whose changes would not be reported."""
    samples: list[tuple[str, Any]] = [
        ("public", PublicPolicy(1, 1)),
        ("accounts", Account("a", 1, 1)),
        ("keys", KeyRecord("k", "0" * 64, "a")),
        ("services", Service("s")),
        ("routes", Route("r", "s", "GET", "/")),
        ("limits", RequestLimits()),
    ]
    singles = ("public", "limits")
    document = Document(1, 1, PublicPolicy(1, 1))
    for section, sample in samples:
        for field in attrs.fields(type(sample)):
            value = getattr(sample, field.name)
            other = _OTHERS[field.name] if field.name in _OTHERS else _other(value)
            changed = attrs.evolve(sample, **{field.name: other})
            old: dict[str, Any] = {section: sample if section in singles else (sample,)}
            new: dict[str, Any] = {section: changed if section in singles else (changed,)}
            words = describe_changes(attrs.evolve(document, **old), attrs.evolve(document, **new))
            assert words, f"{section}.{field.name}"


_OTHERS: dict[str, object] = {"priority": Priority.URGENT, "split": (SplitPart("s", 1),)}


def _other(value: object) -> object:
    match value:
        case Priority():
            return Priority.URGENT
        case bool():
            return not value
        case int() | float():
            return value + 1
        case str():
            return value + "x"
    return ("x",)
