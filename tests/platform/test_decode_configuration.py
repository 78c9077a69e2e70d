"""Configurations with any values are refused, or can be used by daemons."""

import json
from collections import Counter
from collections.abc import Iterator
from random import Random
from typing import Any
from urllib.parse import quote

import attrs
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from wisteria_admission import AdmissionGate, ColdStartLimit
from wisteria_config import MAX_BURST_CALLS, MAX_RATE_PER_S, Document
from wisteria_core import FailureDomain, ManualClock, Refusal, VmId
from wisteria_limits import SharedRateLimiter
from wisteria_routing import TrafficSplitter
from wisteria_wire import CallHead, HttpRequest, encode_request
from wisteria_wire.codec import decode_call, encode_call
from wisteriaproxy.control import encode_control
from wisteriaproxy.fleet import FleetView
from wisteriaproxy.mesh.messages import DocumentAsk
from wisteriaproxy.mesh.ranges import COUNT_MAX, TIME_MAX_MS
from wisteriaproxy.mesh.sources import PublishedConfig
from wisteriaproxy.plan import list_parts
from wrdsc.decode import decode_document
from wrdsc.dialects import PlatformCallerDialect

from .odd_values import NUMBER_FIELDS, TEXT_FIELDS, VALUES
from .support import KEY, make_config


@seed(35)
@settings(max_examples=200, deadline=None, database=None)
@given(st.dictionaries(st.sampled_from(sorted(make_config())), VALUES, min_size=1, max_size=2))
def test_a_changed_configuration_is_decoded_or_refused(changes: dict[str, Any]) -> None:
    """Guards against an exception for numbers that are too large or types that don't fit."""
    found = decode_document(json.dumps(make_config() | changes).encode(), 0.1, ["south"])
    if found is not None:
        assert isinstance(encode_control(DocumentAsk(found.document.version)), bytes)


def test_limits_of_a_route_fit_into_the_head_of_a_call() -> None:
    """Guards against a limit that stands for none and fails each call to another VM."""
    config = make_config()
    config["routes"][0] |= {"max_attempts": 10**9, "timeout_s": 1e300}
    found = decode_document(json.dumps(config).encode(), 0.1, ["south"])
    assert found is not None
    route = found.document.routes[0]
    assert (route.retry_allowance, route.deadline_ms) == (COUNT_MAX, TIME_MAX_MS)


NUMBERS = [(table, name) for table, names in NUMBER_FIELDS.items() for name in names]


def change_config(table: str, name: str, value: object) -> bytes:
    """Return a configuration with another value of a field, in each entry of a list."""
    config = make_config()
    for entry in config[table] if isinstance(config[table], list) else [config[table]]:
        entry[name] = value
    return json.dumps(config).encode()


def list_numbers(document: Document) -> Iterator[tuple[str, float]]:
    """Yield the numbers of a document with the names of their fields."""
    parts = (*document.routes, *document.services, *document.accounts, document.limits)
    for part in parts:
        for field in attrs.fields(type(part)):
            value = getattr(part, field.name)
            if isinstance(value, int | float):
                yield field.name, value


@pytest.mark.parametrize(("table", "name"), NUMBERS)
@pytest.mark.parametrize("value", [2**63, 1e20, 1e305, 1.7e308])
def test_a_number_without_bounds_stands_for_the_highest(
    table: str, name: str, value: float
) -> None:
    """Guards against a limit that stands for none and keeps a version from coming into force."""
    found = decode_document(change_config(table, name, value), 0.1, ["south"])
    assert found is not None
    for field, number in list_numbers(found.document):
        assert 0 <= number <= TIME_MAX_MS, field
    for rate in found.rates.values():
        assert rate.rate <= MAX_RATE_PER_S
        assert rate.burst <= MAX_BURST_CALLS


@pytest.mark.parametrize(("table", "name"), NUMBERS)
@pytest.mark.parametrize("value", [-1, -1e308, True, "7", [], {}])
def test_a_number_without_a_meaning_refuses_the_version(
    table: str, name: str, value: object
) -> None:
    """Guards against a version that is in force and closes connections or refuses every call."""
    assert decode_document(change_config(table, name, value), 0.1, ["south"]) is None


@pytest.mark.parametrize(
    ("table", "name"),
    [("routes", "timeout_s"), ("routes", "max_attempts"), ("services", "max_connections")],
)
def test_a_limit_of_0_that_lets_nothing_through_refuses_the_version(table: str, name: str) -> None:
    """Guards against a version in which no call of a route or service can succeed."""
    assert decode_document(change_config(table, name, 0), 0.1, ["south"]) is None
    assert decode_document(change_config(table, name, 1e-9), 0.1, ["south"]) is not None


def split_route(weights: list[object]) -> bytes:
    """Return a configuration whose routes are split with these weights."""
    parts = [{"service": f"s-{number}", "weight": one} for number, one in enumerate(weights)]
    return change_config("routes", "traffic_split", parts)


@pytest.mark.parametrize(
    ("weights", "shares"),
    [
        ([90, 10], [0.9, 0.1]),
        ([1, 0], [1, 0]),
        ([0.5, 0.5], [0.5, 0.5]),
        ([0.75, 0.25, 0], [0.75, 0.25, 0]),
        ([1e308, 1e308], [0.5, 0.5]),
        ([3e20, 1e20], [0.75, 0.25]),
        ([1e308, 1e-300], [1, 0]),
    ],
)
def test_weights_of_any_size_keep_their_proportions(
    weights: list[object], shares: list[float]
) -> None:
    """Guards against weights that are cut to whole numbers, so that each call of a route fails."""
    found = decode_document(split_route(weights), 0.1, ["south"])
    assert found is not None
    parts = list_parts(found.document.routes[0])
    assert [weight > 0 for _, weight in parts] == [weight != 0 for weight in weights]
    splitter = TrafficSplitter()
    chosen = Counter(splitter.choose("yields", parts) for _ in range(1_000))
    assert [chosen[service] / 1_000 for service, _ in parts] == pytest.approx(shares, abs=0.002)


@pytest.mark.parametrize("weights", [[0, 0], [-1, 2], [True, 1], ["1", 1], [None, 1], [[], 1]])
def test_weights_that_choose_nothing_refuse_the_version(weights: list[object]) -> None:
    """Guards against a version in force in which each call of a route fails."""
    assert decode_document(split_route(weights), 0.1, ["south"]) is None


@pytest.mark.parametrize(("table", "name"), TEXT_FIELDS)
@pytest.mark.parametrize("value", [7, True, None, ["x"], {"x": 1}])
def test_a_text_of_another_type_refuses_the_version(table: str, name: str, value: object) -> None:
    """Guards against a version in force with which every call ends with an internal error."""
    assert decode_document(change_config(table, name, value), 0.1, ["south"]) is None


@pytest.mark.parametrize("value", [1, "false", []])
def test_a_public_route_says_so_by_a_truth_value(value: object) -> None:
    """Guards against a route that needs no key because a text or number stands for false."""
    assert decode_document(change_config("routes", "public", value), 0.1, ["south"]) is None


@pytest.mark.parametrize("name", ["a\r\nx-admin: 1", "a\n", "\x00", "a\x7f"])
def test_a_tenant_adds_no_header(name: str) -> None:
    """Guards against a name that ends its header and begins another one at the server."""
    assert decode_document(change_config("tenants", "name", name), 0.1, ["south"]) is None


def test_keys_are_a_list() -> None:
    """Guards against a text taken for a list, each letter of which would be a key."""
    assert decode_document(change_config("tenants", "api_keys", "abc"), 0.1, ["south"]) is None


def use_document(found: PublishedConfig) -> None:
    """Do with a configuration what daemons do with it when it is in force."""
    document = found.document
    fleet = FleetView(
        FailureDomain("south"), Random(1), ManualClock(), lambda _: True, lambda _: True, 50
    )
    fleet.apply_document(document)
    limiter = SharedRateLimiter(VmId("10.0.0.1"))
    limiter.apply_rates(0, found.rates)
    dialect = PlatformCallerDialect(lambda: "yield", lambda: False, lambda _: None)
    splitter = TrafficSplitter()
    for route in document.routes:
        assert route.split == () or splitter.choose(route.id, list_parts(route))
        # as the client would send it
        path = quote(route.path, safe="/%")
        request = make_request(path, route.host.encode("ascii", "ignore").decode())
        dialect.find_route(document, request)
        caller = dialect.identify(document, route, request)
        if isinstance(caller, Refusal):
            continue
        headers = dialect.make_request_headers(request, caller)
        head = CallHead(
            request_id="a1",
            route_id=route.id,
            service=route.service,
            method="GET",
            target=path,
            headers=headers,
            account=caller.account,
            key_id=caller.key_id,
            key_digest=caller.key_digest,
            priority=document.resolve_priority(caller.account, route),
            rank=0,
            remaining_ms=route.deadline_ms,
            allowance=route.retry_allowance,
            idempotency_key="",
            config_version=document.version,
        )
        assert isinstance(decode_call(encode_call(head)), CallHead)
        encode_request("GET", head.target, head.headers, b"")
        limiter.admit(1, caller.account)
    for service in document.services:
        encode_request("GET", service.health_path or "/", (), b"")
        gate = AdmissionGate(2)
        gate.cold_start.set_limit(
            0, ColdStartLimit(service.cold_rate_per_s or 1.0, 1.0, service.cold_start_ms)
        )
        gate.tick(50)


def make_request(target: str, host: str) -> HttpRequest:
    """Return a request of a client with the key of the configuration."""
    headers = (
        ("host", host),
        ("authorization", f"Bearer {KEY}"),
        ("wisteriaproxy-attempt-id", "a1"),
    )
    return HttpRequest("GET", target, headers, b"", True, exchange=None)  # type: ignore[arg-type]


FIELDS = [
    *((table, name) for table, names in NUMBER_FIELDS.items() for name in names),
    *TEXT_FIELDS,
    ("routes", "public"),
    ("routes", "traffic_split"),
    ("services", "health_path"),
    ("tenants", "api_keys"),
]


@seed(38)
@settings(max_examples=600, deadline=None, database=None)
@given(st.dictionaries(st.sampled_from(FIELDS), VALUES, min_size=1, max_size=3))
def test_a_configuration_is_refused_or_can_be_used(
    changes: dict[tuple[str, str], object],
) -> None:
    """Guards against a value that is accepted and fails where it is used."""
    config = make_config()
    for (table, name), value in changes.items():
        for entry in config[table] if table != "limits" else [config[table]]:
            entry[name] = value
    found = decode_document(json.dumps(config).encode(), 0.1, ["south"])
    if found is not None:
        use_document(found)


@pytest.mark.parametrize("value", [0, None])
@pytest.mark.parametrize("name", NUMBER_FIELDS["limits"])
def test_a_limit_that_is_not_stated_has_its_default(name: str, value: object) -> None:
    """Guards against a limit of 0 where the operators state none."""
    found = decode_document(change_config("limits", name, value), 0.1, ["south"])
    assert found is not None
    config = make_config()
    del config["limits"][name]
    without = decode_document(json.dumps(config).encode(), 0.1, ["south"])
    assert without is not None
    assert found.document.limits == without.document.limits
