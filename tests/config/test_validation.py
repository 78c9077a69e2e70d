import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wisteria_config import (
    Document,
    DocumentErrors,
    PublicPolicy,
    Route,
    VersionOrder,
    VersionStamp,
    canonical_bytes,
    compare_versions,
    validate_document,
)
from wisteria_config.reference import render_reference

from .conftest import Plain, accept, encode, plain_document, sha256_of

ROOT = Path(__file__).parents[2]

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["name", "id", "accounts", "path"]), inner, max_size=3),
    max_leaves=8,
)


def places(raw: bytes) -> dict[str, str]:
    outcome = validate_document(raw)
    assert isinstance(outcome, DocumentErrors)
    return {error.place: error.problem for error in outcome.errors}


def test_reports_every_error_with_its_path() -> None:
    plain = plain_document(
        accounts=[
            {"name": "a", "rate_per_s": 0, "burst": True, "colour": "red"},
            {"name": "a", "burst": "9"},
            {"name": "public", "rate_per_s": 1, "burst": 1},
            7,
        ],
        keys=[{"id": "k", "sha256": "AB", "account": "nobody"}],
        services=[{"name": "s", "concurrency_min": 9, "concurrency_max": 8, "retry_ratio": 2}],
        routes=[
            {"id": "r", "service": "t", "method": "get", "path": "/a/../b", "accounts": ["b"]},
            {"id": "q", "service": "s", "method": "POST", "path": "/{x}", "long_download": True},
            {"id": "p", "service": "s", "method": "POST", "path": "/{y}", "priority": "top"},
            {"id": "o", "service": "s", "method": "GET", "path": "/", "open": True}
            | {"accounts": ["a"], "deadline_ms": 1.5},
        ],
    )
    assert sorted(places(encode(plain))) == [
        "$.accounts[0]",
        "$.accounts[0].burst",
        "$.accounts[0].rate_per_s",
        "$.accounts[1].burst",
        "$.accounts[1].name",
        "$.accounts[1].rate_per_s",
        "$.accounts[2].name",
        "$.accounts[3]",
        "$.keys[0].account",
        "$.keys[0].sha256",
        "$.routes[0].accounts[0]",
        "$.routes[0].method",
        "$.routes[0].path",
        "$.routes[0].service",
        "$.routes[1].long_download",
        "$.routes[2].path",
        "$.routes[2].priority",
        "$.routes[3].accounts",
        "$.routes[3].deadline_ms",
        "$.services[0].concurrency_max",
        "$.services[0].retry_ratio",
    ]


@pytest.mark.parametrize(
    ("raw", "place", "problem"),
    [
        (b"\xff\xfe", "$", "not UTF-8"),
        (b"{", "$", "not JSON"),
        (b"[]", "$", "not a JSON object"),
        (b"[" * 100_000, "$", "nested deeper"),
        (b'{"version": ' + b"9" * 5_000 + b"}", "$", "too many digits"),
        (b'{"schema": 1, "schema": 1}', "$", "'schema' more than once"),
        (b'{"accounts": [{"name": 1, "name": 2}]}', "$.accounts[0]", "more than once"),
        (b'{"accounts": [{"burst": 1e999}]}', "$.accounts[0].burst", "not a finite"),
        (b'{"version": NaN}', "$.version", "not a finite"),
        (b'{"schema": 2}', "$.schema", "is not 1"),
        (b'{"schema": true}', "$.schema", "is not 1"),
        (b" " * 1_000_001, "$", "1000001 bytes"),
    ],
)
def test_refuses_what_is_not_a_document(raw: bytes, place: str, problem: str) -> None:
    assert problem in places(raw)[place]


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.sampled_from(["accounts", "keys", "services", "routes", "public", "version"]), JSON_VALUES
)
def test_any_value_in_any_section_gives_a_value_back(section: str, value: Any) -> None:
    outcome = validate_document(encode(plain_document() | {section: value}))
    assert isinstance(outcome, Document | DocumentErrors)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.binary(max_size=60))
def test_any_bytes_give_a_value_back(raw: bytes) -> None:
    assert isinstance(validate_document(raw), DocumentErrors)


def test_canonical_form_ignores_order_and_defaults_and_is_stable() -> None:
    plain = plain_document()
    turned: Plain = {name: plain[name] for name in reversed(plain)}
    turned["accounts"] = [
        account | {"weight": account.get("weight", 10)} for account in plain["accounts"]
    ]
    turned["keys"] = plain["keys"][::-1]
    document = accept(plain)
    assert accept(turned) == document
    assert accept(json.loads(canonical_bytes(document))) == document
    assert canonical_bytes(accept(turned)) == canonical_bytes(document)


def test_finds_keys_by_what_the_caller_presents(build: Callable[..., Document]) -> None:
    document = build()
    record = document.find_key("one")
    assert record is not None
    assert record.account == "co-op"
    assert document.find_key(sha256_of("one")) is None
    assert document.find_key("") is None
    assert document.find_key("one\ud800") is None
    assert document.holds_key("k-1", sha256_of("one"))
    assert not document.holds_key("k-2", sha256_of("one"))


def test_version_rule() -> None:
    held = VersionStamp(5, b"a")
    assert compare_versions(held, None) is VersionOrder.NEWER
    assert compare_versions(VersionStamp(6, b"b"), held) is VersionOrder.NEWER
    assert compare_versions(VersionStamp(5, b"a"), held) is VersionOrder.SAME
    assert compare_versions(VersionStamp(5, b"b"), held) is VersionOrder.CONFLICT
    assert compare_versions(VersionStamp(4, b"a"), held) is VersionOrder.OLDER


def test_reference_is_up_to_date() -> None:
    page = (ROOT / "docs" / "CONFIGURATION.md").read_text()
    assert page == render_reference(), "run python -m wisteria_config.reference"


def test_document_needs_distinct_failure_domains() -> None:
    """VMs divide rates equally only if the document lists the failure domains."""
    for domains in ([], [{"name": "north"}, {"name": "north"}]):
        found = places(encode(plain_document(failure_domains=domains)))
        assert [place.split("[")[0] for place in found] == ["$.failure_domains"]


def test_routes_with_a_host_take_precedence() -> None:
    document = Document(
        1,
        1,
        PublicPolicy(1, 1),
        routes=(
            Route("any", "s", "GET", "/a"),
            Route("one", "s", "ANY", "/a", host="One.example"),
        ),
    )
    found = [
        document.match_route("GET", "/a/b", "one.EXAMPLE"),
        document.match_route("POST", "/a/b", "one.example"),
        document.match_route("GET", "/a/b", "two.example"),
        document.match_route("POST", "/a/b", "two.example"),
    ]
    assert [route.id if route else None for route in found] == ["one", "one", "any", None]


def test_split_needs_known_services_and_a_positive_weight() -> None:
    plain = plain_document()
    plain["routes"][0]["split"] = [{"service": "nobody", "weight": 0}]
    errors = validate_document(json.dumps(plain).encode())
    assert isinstance(errors, DocumentErrors)
    assert {error.place for error in errors.errors} == {
        "$.routes[0].split",
        "$.routes[0].split[0].service",
    }
