"""Status and metrics of running daemons, as read by operators."""

import json

import anyio
import pytest
from script.tools.documents import AccountPlan, RoutePlan, make_document
from typer.testing import CliRunner

from wisteria_standins import Behaviour, Call, Fleet, FleetSpec, Rule, ServiceSpec, ServiceTime
from wisteriactl import app as wisteriactl
from wisteriaproxy.metrics import FAMILIES, LINK_FAULTS, LOOP_GAPS, RETRIES

KEY = "diagnostics-test-key"
SLOTS_TIMEOUT_S = 15.0
STATUS_KEYS = {
    *("version", "digest", "age_ms", "ready", "vm", "incarnation", "service", "failure_domain"),
    *("peers", "slots", "limits", "queues", "rates", "loans", "poison", "chain_levels"),
    *("longest_loop_gap_ms", "control"),
}


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def make_spec() -> FleetSpec:
    fast_backend = Behaviour(slots=10, rules=(Rule(service=ServiceTime("constant", 0.0)),))
    document = make_document(
        7, (AccountPlan("herd", KEY),), (RoutePlan("items", "store", "/items"),)
    )
    services = (ServiceSpec("edge", 1, fast_backend), ServiceSpec("store", 1, fast_backend))
    return FleetSpec(services, document, domains=("north", "south"), log_level="warning")


async def wait_for_slots(fleet: Fleet, vm_id: str) -> list[dict[str, object]]:
    with anyio.fail_after(SLOTS_TIMEOUT_S):
        while True:
            slots: list[dict[str, object]] = (await fleet.async_status(vm_id))["slots"]
            if slots:
                return slots
            await anyio.sleep(0.2)


@pytest.mark.anyio
async def test_operators_see_calls_slots_peers_and_bytes() -> None:
    call = Call("GET", "/items/1", (("Authorization", f"Bearer {KEY}"),))
    async with Fleet(make_spec()) as fleet:
        slots = await wait_for_slots(fleet, "edge-1")
        assert (await fleet.async_call("edge-1", call)).status == 200
        status = await fleet.async_status("edge-1")
        port = fleet.nodes["edge-1"].operator_port
        metrics = (await fleet.async_get(port, "/metrics")).body.decode()
        store = (await fleet.async_get(fleet.nodes["store-1"].operator_port, "/metrics")).body
        invoke = CliRunner().invoke
        address = f"127.0.0.1:{port}"
        printed = await anyio.to_thread.run_sync(invoke, wisteriactl, ["status", address])
        audit = await anyio.to_thread.run_sync(invoke, wisteriactl, ["audit", address])

    assert set(status) >= STATUS_KEYS
    assert (status["version"], status["ready"]) == (7, True)
    assert {"name", "term"} == set(slots[0])
    assert all(str(slot["name"]).endswith(("@north", "@edge", "@store")) for slot in slots)
    (peer,) = status["peers"]
    assert (peer["vm"], peer["status"], peer["connected"]) == ("store-1", "linked", True)
    assert "herd" in status["rates"]
    assert status["control"]["sent_bytes"] > 0
    assert KEY not in json.dumps(status)

    unused_families = {RETRIES, LINK_FAULTS, LOOP_GAPS}
    # a family without any series renders only its HELP and TYPE lines
    for family in FAMILIES:
        if family not in unused_families:
            assert f"# TYPE {family.full_name} " in metrics
    for line in (
        'wisteriaproxy_peers{status="linked"} 1',
        "wisteriaproxy_ready 1",
        "wisteriaproxy_config_version 7",
        'direction="sent",kind="VersionAnnounce"',
        'wisteriaproxy_platform_reads_total{outcome="read",resource="vms"}',
    ):
        assert line in metrics, line
    assert b'wisteriaproxy_backend_calls_total{outcome="success"} 1' in store

    assert printed.exit_code == 0
    assert str(slots[0]["name"]) in printed.output
    assert audit.exit_code == 0
    assert "acquired" in audit.output
