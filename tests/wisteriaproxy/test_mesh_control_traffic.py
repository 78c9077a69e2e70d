"""Control traffic over relays: what it costs at each size, and what arrives in spite of faults."""

import pytest

from wisteria_core import VmId
from wisteriaproxy.mesh.const import RELAYS_WANTED
from wisteriaproxy.mesh.messages import PeerNews

from .control_fleet import ACCOUNT, DOMAINS, ControlFleet

SETTLE_MS = 5_000
DRAIN_MS = 3_000
"""Time within which every daemon must know that a backend server drains."""


def settle(size: int) -> ControlFleet:
    fleet = ControlFleet(size)
    fleet.run(SETTLE_MS)
    return fleet


@pytest.mark.parametrize("size", [30, 195])
def test_two_relays_of_each_domain_read_for_all(size: int) -> None:
    fleet = settle(size)
    assert len(fleet.relays()) == RELAYS_WANTED * DOMAINS
    fleet.run(SETTLE_MS)
    assert sum(1 for node in fleet.nodes() if node.is_reading) == RELAYS_WANTED * DOMAINS


def test_messages_of_an_idle_daemon_do_not_grow_with_the_fleet() -> None:
    rates = {}
    for size in (30, 300):
        fleet = settle(size)
        before = fleet.sent.total()
        fleet.run(10_000)
        rates[size] = (fleet.sent.total() - before) / size / 10
    assert rates[300] <= 1.5 * rates[30]
    assert rates[300] <= 5


@pytest.mark.parametrize("size", [30, 195])
def test_a_change_is_known_everywhere_within_a_second(size: int) -> None:
    fleet = settle(size)
    fleet.drain(VmId("10.0.0.7"))
    fleet.run(1_000)
    assert fleet.count_informed(VmId("10.0.0.7")) == size


@pytest.mark.parametrize("fault", ["freeze", "kill", "store"])
def test_a_change_is_known_while_a_relay_of_each_domain_fails(fault: str) -> None:
    fleet = settle(60)
    lost = [vm_id for vm_id in fleet.relays() if fleet.daemons[vm_id].vm.failure_domain == "d1"]
    lost = lost[:1] + [
        next(one for one in fleet.relays() if fleet.daemons[one].vm.failure_domain == f"d{number}")
        for number in (0, 2, 3, 4, 5)
    ]
    for vm_id in lost:
        match fault:
            case "freeze":
                fleet.freeze(vm_id)
            case "kill":
                fleet.kill(vm_id)
            case "store":
                fleet.daemons[vm_id].reaches_store = False
    fleet.drain(VmId("10.0.0.7"))
    fleet.run(1_000)
    frozen = sum(1 for one in fleet.daemons.values() if one.is_frozen)
    assert fleet.count_informed(VmId("10.0.0.7")) >= 60 - frozen


@pytest.mark.parametrize("fault", ["freeze", "kill", "store"])
def test_both_relays_of_a_domain_are_replaced(fault: str) -> None:
    fleet = settle(60)
    lost = [vm_id for vm_id in fleet.relays() if fleet.daemons[vm_id].vm.failure_domain == "d1"]
    for vm_id in lost:
        if fault == "freeze":
            fleet.freeze(vm_id)
        elif fault == "kill":
            fleet.kill(vm_id)
        else:
            fleet.daemons[vm_id].reaches_store = False
    fleet.drain(VmId("10.0.0.7"))
    fleet.run(DRAIN_MS)
    frozen = sum(1 for one in fleet.daemons.values() if one.is_frozen)
    assert fleet.count_informed(VmId("10.0.0.7")) >= 60 - frozen


def test_a_third_of_the_daemons_without_the_store_learn_from_the_others() -> None:
    fleet = settle(60)
    for number, daemon in enumerate(fleet.daemons.values()):
        daemon.reaches_store = number % 3 != 0
    fleet.drain(VmId("10.0.0.7"))
    fleet.run(DRAIN_MS)
    assert fleet.count_informed(VmId("10.0.0.7")) == 60


def test_calls_are_counted_once_by_every_daemon() -> None:
    fleet = settle(60)
    limiters = [node.rate_limiter for node in fleet.nodes()]
    for limiter in limiters:
        limiter.admit(fleet.now_ms, ACCOUNT)
    fleet.run(1_500)
    levels = {round(one.describe(fleet.now_ms)[ACCOUNT]["fleet_level"]) for one in limiters}
    demands = [one.describe(fleet.now_ms)[ACCOUNT]["demand_per_s"] for one in limiters]
    assert len(levels) == 1
    assert max(demands) - min(demands) < 1.0
    assert 0 < min(demands) <= 60


def test_a_silent_daemon_is_reported_and_back_when_it_reports_again() -> None:
    fleet = settle(60)
    silent = next(vm_id for vm_id, one in fleet.daemons.items() if not one.node.is_relay)
    fleet.freeze(silent)
    fleet.run(4_000)
    others = [one.node for vm_id, one in fleet.daemons.items() if vm_id != silent]
    assert all(node.peer_states.is_silent(silent) for node in others)
    fleet.daemons[silent].is_frozen = False
    fleet.run(2_000)
    assert not any(node.peer_states.is_silent(silent) for node in others)


def test_a_relay_that_wakes_after_a_pause_reports_nobody_as_silent() -> None:
    fleet = settle(60)
    relay = fleet.relays()[0]
    fleet.freeze(relay)
    fleet.run(6_000)
    fleet.daemons[relay].is_frozen = False
    fleet.daemons[relay].node.reset(fleet.now_ms)
    seen = []
    for _ in range(10):
        fleet.run(400)
        seen += [
            vm_id
            for node in fleet.nodes()
            for vm_id in fleet.daemons
            if vm_id != relay and node.peer_states.is_silent(vm_id)
        ]
    assert seen == []


def test_a_leaving_daemon_is_known_everywhere_within_a_second() -> None:
    fleet = settle(60)
    leaving = VmId("10.0.0.7")
    fleet.daemons[leaving].node.is_leaving = True
    fleet.run(1_000)
    others = [one.node for vm_id, one in fleet.daemons.items() if vm_id != leaving]
    assert all(node.peer_states.is_leaving(leaving) for node in others)


# guards against daemons of the earlier version, which close a link on which they hear no news
def test_news_that_repeat_are_answered_and_others_are_not() -> None:
    fleet = settle(30)
    sender, target = VmId("10.0.0.7"), VmId("10.0.0.8")
    node = fleet.daemons[target].node
    before = fleet.sent["PeerNews"]
    node.handle(fleet.now_ms, sender, PeerNews(0, leaving=False))
    assert fleet.sent["PeerNews"] == before
    node.handle(fleet.now_ms, sender, PeerNews(0, leaving=False))
    node.handle(fleet.now_ms, sender, PeerNews(0, leaving=False))
    assert fleet.sent["PeerNews"] == before + 2
    node.handle(fleet.now_ms, sender, PeerNews(0, leaving=True))
    assert fleet.sent["PeerNews"] == before + 2
    assert node.peer_states.is_leaving(sender)
