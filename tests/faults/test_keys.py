"""Keys never reach a backend server, and forged credentials are refused with a result code."""

from collections.abc import AsyncIterator

import pytest
from script.tools.documents import AccountPlan, RoutePlan

from wisteria_standins.behaviour import Behaviour, ChildCall, Rule, ServiceTime
from wisteria_standins.client import Call
from wisteria_standins.fleet import Fleet
from wisteria_standins.fleet_spec import ServiceSpec

from .support import (
    ACCOUNT,
    KEY_MARKER,
    constant,
    make_spec,
    read_code,
    read_run_state,
    sum_runs,
    wait_served,
    with_key,
)

pytestmark = pytest.mark.anyio

OTHER = AccountPlan("stranger", "wk_faults_stranger")
KEY = ACCOUNT.key
Headers = tuple[tuple[str, str], ...]


@pytest.fixture(scope="module")
async def fleet() -> AsyncIterator[Fleet]:
    front = Rule("/", ServiceTime("constant", 1.0), children=(ChildCall("/deep"),))
    spec = make_spec(
        (
            ServiceSpec("front", 2, Behaviour(key_marker=KEY_MARKER, rules=(front,))),
            ServiceSpec("deep", 2, constant(1.0)),
        ),
        (
            RoutePlan("page", "front", "/page"),
            RoutePlan("write", "front", "/write", "POST"),
            RoutePlan("board", "front", "/board", open=True),
            RoutePlan("deep", "deep", "/deep"),
        ),
        (ACCOUNT, OTHER),
    )
    async with Fleet(spec) as found:
        await wait_served(found, "/page")
        yield found
        assert await sum_runs(found, "leak_count") == 0


KEY_PLACES: dict[str, tuple[Call, frozenset[str]]] = {
    "the usual header": (Call("GET", "/page", with_key()), frozenset({"0"})),
    "the query as well": (Call("GET", f"/page?key={KEY}", with_key()), frozenset({"100"})),
    "the query, encoded": (
        Call("GET", "/page?key=wk%5Ffaults%5Fdairy", with_key()),
        frozenset({"100"}),
    ),
    "the query alone": (Call("GET", f"/page?key={KEY}"), frozenset({"100", "200"})),
    "the path": (Call("GET", f"/page/{KEY}", with_key()), frozenset({"100"})),
    "the body": (
        Call("POST", "/write", with_key(), f'{{"k":"{KEY}"}}'.encode()),
        frozenset({"100"}),
    ),
    "another header": (
        Call("GET", "/page", with_key(ACCOUNT, ("X-Api-Key", KEY))),
        frozenset({"100"}),
    ),
    "a cookie": (
        Call("GET", "/page", with_key(ACCOUNT, ("Cookie", f"k={KEY}"))),
        frozenset({"100"}),
    ),
    "proxy authorization": (
        Call("GET", "/page", with_key(ACCOUNT, ("Proxy-Authorization", f"Bearer {KEY}"))),
        frozenset({"0", "100"}),
    ),
    "the request id": (
        Call("GET", "/page", with_key(ACCOUNT, ("Wisteria-Request-Id", KEY))),
        frozenset({"100"}),
    ),
    "the idempotency key": (
        Call("GET", "/page", with_key(ACCOUNT, ("Idempotency-Key", KEY))),
        frozenset({"100"}),
    ),
    "two keys": (Call("GET", "/page", with_key() + with_key(OTHER)), frozenset({"100"})),
    "an open route": (Call("GET", "/board", with_key()), frozenset({"0"})),
    "an open route's query": (Call("GET", f"/board?key={KEY}"), frozenset({"100"})),
    "an open route's header": (Call("GET", "/board", (("X-Api-Key", KEY),)), frozenset({"100"})),
}


@pytest.mark.parametrize("place", list(KEY_PLACES))
async def test_no_backend_server_sees_a_key(fleet: Fleet, place: str) -> None:
    call, codes = KEY_PLACES[place]
    before = await sum_runs(fleet, "leak_count")
    answer = await fleet.async_call("front-1", call)
    assert await sum_runs(fleet, "leak_count") == before
    assert (read_code(answer) or "0") in codes, answer


FORGED_CREDENTIALS: dict[str, tuple[Headers, str]] = {
    "a call token": ((("Wisteria-Call", "f" * 43),), "107"),
    "a call token beside a key": (with_key(ACCOUNT, ("Wisteria-Call", "f" * 43)), "107"),
    "an empty call token": (with_key(ACCOUNT, ("Wisteria-Call", "")), "107"),
    "an account": ((("Wisteria-Account", ACCOUNT.name),), "200"),
    "a key": ((("Authorization", "Bearer wk_faults_nobody"),), "201"),
    "another scheme": ((("Authorization", f"Basic {KEY}"),), "200"),
}


@pytest.mark.parametrize("what", list(FORGED_CREDENTIALS))
async def test_forged_credentials_get_a_numbered_result(fleet: Fleet, what: str) -> None:
    headers, code = FORGED_CREDENTIALS[what]
    started = await sum_runs(fleet, "started")
    answer = await fleet.async_call("front-2", Call("GET", "/page", headers))
    assert (read_code(answer), read_run_state(answer)) == (code, "not-run")
    assert await sum_runs(fleet, "started") == started


async def test_forged_account_header_does_not_change_the_account(fleet: Fleet) -> None:
    headers = with_key(OTHER, ("Wisteria-Account", ACCOUNT.name), ("Wisteria-Priority", "urgent"))
    before = [(await fleet.async_runs(vm_id))["by_account"] for vm_id in fleet.nodes]
    answer = await fleet.async_call("front-1", Call("GET", "/page", headers))
    after = [(await fleet.async_runs(vm_id))["by_account"] for vm_id in fleet.nodes]
    assert answer.status == 200

    def total(rows: list[dict[str, int]], name: str) -> int:
        return sum(row.get(name, 0) for row in rows)

    assert total(after, ACCOUNT.name) == total(before, ACCOUNT.name)
    assert total(after, OTHER.name) == total(before, OTHER.name) + 2
