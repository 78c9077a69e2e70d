"""Keys never reach a backend server, even if they are not in the Authorization header too."""

from collections.abc import AsyncIterator

import pytest
from script.tools.documents import AccountPlan, RoutePlan

from wisteria_standins.client import Call
from wisteria_standins.fleet import Fleet
from wisteria_standins.fleet_spec import ServiceSpec

from .support import ACCOUNT, constant, make_spec, read_code, sum_runs, wait_served, with_key

pytestmark = pytest.mark.anyio

OTHER = AccountPlan("stranger", "wk_faults_stranger")
KEY = ACCOUNT.key


@pytest.fixture(scope="module")
async def fleet() -> AsyncIterator[Fleet]:
    spec = make_spec(
        (ServiceSpec("front", 2, constant(1.0)),),
        (
            RoutePlan("page", "front", "/page"),
            RoutePlan("write", "front", "/write", "POST"),
            RoutePlan("board", "front", "/board", open=True),
            RoutePlan("note", "front", "/note", "POST", open=True),
        ),
        (ACCOUNT, OTHER),
    )
    async with Fleet(spec) as found:
        await wait_served(found, "/page")
        yield found


KEY_PLACES = {
    "an open route's path": Call("GET", f"/board/{KEY}"),
    "an open route's path, encoded": Call("GET", "/board/wk%5Ffaults%5Fdairy"),
    "an open route's cookie": Call("GET", "/board", (("Cookie", f"k={KEY}; a=b"),)),
    "an open route's body": Call("POST", "/note", body=f'{{"k":"{KEY}"}}'.encode()),
    "another account's key in the body": Call(
        "POST", "/write", with_key(OTHER), f'{{"k":"{KEY}"}}'.encode()
    ),
    "another account's key in the path": Call("GET", f"/page/{KEY}", with_key(OTHER)),
}


@pytest.mark.parametrize("place", list(KEY_PLACES))
async def test_no_backend_server_sees_a_key(fleet: Fleet, place: str) -> None:
    before = await sum_runs(fleet, "leak_count")
    answer = await fleet.async_call("front-1", KEY_PLACES[place])
    assert await sum_runs(fleet, "leak_count") == before
    assert read_code(answer) == "100"
