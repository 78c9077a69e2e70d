"""Load balancing with misleading health reports, failures, restarts and drains."""

from collections import Counter
from collections.abc import Callable
from random import Random

import attrs
import pytest

from wisteria_core import FailureDomain, Refusal, ResultCode, VmId
from wisteria_routing import (
    CallOutcome,
    Candidate,
    ConnectionBudget,
    HealthReport,
    LoadBalancer,
    LoadBalancerConfig,
    ServerLoad,
)

EAST, WEST = FailureDomain("east"), FailureDomain("west")
SERVERS = [VmId(f"vm-{number}") for number in range(6)]
HALF_LOADED = ServerLoad(20, 0, 40)
Reply = Callable[[VmId], tuple[CallOutcome, int, ServerLoad | None]]


def make_balancer(
    seed: int = 1,
    domain_of: Callable[[int], FailureDomain] | None = None,
    explore_share: float = 0.0,
) -> LoadBalancer:
    balancer = LoadBalancer(EAST, Random(seed), LoadBalancerConfig(explore_share=explore_share))
    domains = [domain_of(number) if domain_of else EAST for number in range(len(SERVERS))]
    balancer.update(0, [Candidate(vm, domains[n]) for n, vm in enumerate(SERVERS)])
    return balancer


def run_calls(balancer: LoadBalancer, start_ms: int, count: int, reply: Reply) -> Counter[VmId]:
    """Send one call per millisecond; each is answered before the next is sent."""
    sent: Counter[VmId] = Counter()
    for now_ms in range(start_ms, start_ms + count):
        vm = balancer.choose(now_ms)
        assert not isinstance(vm, Refusal)
        sent[vm] += 1
        balancer.note_sent(now_ms, vm)
        outcome, latency_ms, load = reply(vm)
        balancer.note_answer(now_ms, vm, outcome, latency_ms, load)
    return sent


def answer_ok(vm: VmId) -> tuple[CallOutcome, int, ServerLoad | None]:
    return CallOutcome.SUCCESS, 20, HALF_LOADED


def test_a_black_hole_that_reports_idle_is_found_out() -> None:
    """A server that fails fast and reports itself idle and healthy gets few calls."""
    balancer = make_balancer()
    failing = SERVERS[0]

    def reply(vm: VmId) -> tuple[CallOutcome, int, ServerLoad | None]:
        if vm == failing:
            return CallOutcome.ERROR, 1, ServerLoad(0, 0, 40)
        return answer_ok(vm)

    errors = 0
    for round_number in range(20):
        balancer.note_report(round_number * 500, failing, HealthReport(True, 0.0, 0))
        errors += run_calls(balancer, round_number * 500, 500, reply)[failing]
    assert errors <= 30


def test_an_ejected_server_is_probed_by_one_call_and_returns_slowly() -> None:
    balancer = make_balancer()
    broken = SERVERS[0]
    for _ in range(10):
        balancer.note_sent(0, broken)
        balancer.note_answer(0, broken, CallOutcome.LINK_LOST, 1)

    def fail(vm: VmId) -> tuple[CallOutcome, int, ServerLoad | None]:
        return (CallOutcome.LINK_LOST, 1, None) if vm == broken else answer_ok(vm)

    assert run_calls(balancer, 0, 900, fail)[broken] == 0
    assert run_calls(balancer, 900, 900, fail)[broken] == 1
    assert run_calls(balancer, 1_800, 900, fail)[broken] == 0
    first = run_calls(balancer, 40_000, 600, answer_ok)[broken]
    later = run_calls(balancer, 60_000, 600, answer_ok)[broken]
    assert 0 < first < later / 2


def test_no_more_than_a_share_is_ejected() -> None:
    balancer = make_balancer()
    for number in range(60):
        vm = SERVERS[number % 6]
        outcome = CallOutcome.SUCCESS if vm in SERVERS[:2] else CallOutcome.ERROR
        balancer.note_sent(0, vm)
        balancer.note_answer(0, vm, outcome, 5, HALF_LOADED)
    ejected = [server for server in balancer.describe(1) if server["ejected"]]
    assert len(ejected) == 2


def test_leaving_and_unreachable_servers_get_nothing() -> None:
    balancer = make_balancer()
    run_calls(balancer, 0, 50, answer_ok)
    balancer.update(50, [Candidate(vm, EAST, usable=vm == SERVERS[3]) for vm in SERVERS])
    assert set(run_calls(balancer, 50, 50, answer_ok)) == {SERVERS[3]}
    refusal = balancer.choose(100, frozenset({SERVERS[3]}))
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.NO_BACKEND_SERVER


def test_load_on_answers_moves_calls_and_old_load_fades() -> None:
    balancer = make_balancer()
    busy = set(SERVERS[:3])

    def reply(vm: VmId) -> tuple[CallOutcome, int, ServerLoad | None]:
        load = ServerLoad(40, 40, 40) if vm in busy else ServerLoad(4, 0, 40)
        return CallOutcome.SUCCESS, 20, load

    sent = run_calls(balancer, 0, 600, reply)
    assert sum(sent[vm] for vm in busy) < 200
    loads = {str(server["vm"]): server["load"] for server in balancer.describe(10_000)}
    assert all(load == loads["vm-5"] for load in loads.values())


def test_own_calls_in_flight_count_without_any_answer() -> None:
    balancer = make_balancer()
    sent: Counter[VmId] = Counter()
    for now_ms in range(60):
        vm = balancer.choose(now_ms)
        assert not isinstance(vm, Refusal)
        balancer.note_sent(now_ms, vm)
        sent[vm] += 1
    assert max(sent.values()) - min(sent[vm] for vm in SERVERS) <= 4


def test_calls_stay_in_their_domain_until_it_is_loaded() -> None:
    balancer = make_balancer(domain_of=lambda number: EAST if number < 3 else WEST)
    assert set(run_calls(balancer, 0, 300, answer_ok)) <= set(SERVERS[:3])

    def reply(vm: VmId) -> tuple[CallOutcome, int, ServerLoad | None]:
        load = ServerLoad(40, 30, 40) if vm in SERVERS[:3] else ServerLoad(4, 0, 40)
        return CallOutcome.SUCCESS, 20, load

    run_calls(balancer, 300, 100, reply)
    sent = run_calls(balancer, 400, 300, reply)
    assert sum(sent[vm] for vm in SERVERS[3:]) > 200


def test_a_slow_server_nearby_is_passed_over_until_it_is_fast_again() -> None:
    """The only server of the local failure domain is five times slower than the remote ones."""
    balancer = make_balancer(
        domain_of=lambda number: EAST if number == 0 else WEST, explore_share=0.03
    )
    slow = SERVERS[0]

    def reply(vm: VmId) -> tuple[CallOutcome, int, ServerLoad | None]:
        return CallOutcome.SUCCESS, 150 if vm == slow else 30, ServerLoad(8, 0, 40)

    run_calls(balancer, 0, 3_000, reply)
    assert run_calls(balancer, 3_000, 300, reply)[slow] < 100
    after = run_calls(balancer, 40_000, 600, lambda vm: (*answer_ok(vm)[:2], ServerLoad(8, 0, 40)))
    assert after[slow] > 500


@pytest.mark.parametrize(("time_ms", "stays"), [(1_200, False), (3_000, True)])
def test_a_slow_server_nearby_gets_no_call_that_it_may_not_finish(
    time_ms: int, stays: bool
) -> None:
    """A run takes 900 ms at the local server, about twice as long as at a remote one."""
    balancer = make_balancer(
        domain_of=lambda number: EAST if number == 0 else WEST, explore_share=0.01
    )
    sent: Counter[VmId] = Counter()
    for now_ms in range(0, 20_000, 10):
        vm = balancer.choose(now_ms, frozenset(), "status", time_ms)
        assert not isinstance(vm, Refusal)
        balancer.note_sent(now_ms, vm)
        sent[vm] += 1
        latency_ms = 900 if vm == SERVERS[0] else 470
        load = ServerLoad(12, 0, 40)
        balancer.note_answer(now_ms, vm, CallOutcome.SUCCESS, latency_ms, load, "status")
    assert sent[SERVERS[0]] > 1_900 if stays else sent[SERVERS[0]] < 600


# guards against failing calls at a server nearby until enough have failed to eject it
@pytest.mark.parametrize("failing_share", [0.3, 1.0])
def test_a_failing_server_nearby_is_passed_over_from_its_first_failure(
    failing_share: float,
) -> None:
    balancer = make_balancer(domain_of=lambda number: EAST if number == 0 else WEST)
    random = Random(1)

    def answer(vm: VmId) -> tuple[CallOutcome, int, ServerLoad | None]:
        fails = vm == SERVERS[0] and random.random() < failing_share
        return (CallOutcome.ERROR if fails else CallOutcome.SUCCESS), 20, HALF_LOADED

    assert run_calls(balancer, 1_000, 1_000, answer)[SERVERS[0]] <= 0.05 * 1_000


# guards against calls of a daemon that sees few, each of which fails, at the only server nearby
def test_a_server_nearby_gets_no_call_for_a_while_after_a_failure() -> None:
    balancer = make_balancer(domain_of=lambda number: EAST if number == 0 else WEST)
    sent: list[VmId] = []
    for now_ms in range(0, 2_000, 250):
        vm = balancer.choose(now_ms)
        assert not isinstance(vm, Refusal)
        sent.append(vm)
        balancer.note_sent(now_ms, vm)
        outcome = CallOutcome.ERROR if vm == SERVERS[0] else CallOutcome.SUCCESS
        balancer.note_answer(now_ms + 20, vm, outcome, 20, HALF_LOADED)
    assert sent[0] == SERVERS[0]
    assert SERVERS[0] not in sent[1:]


def test_calls_stay_in_their_domain_when_all_servers_fail_alike() -> None:
    balancer = make_balancer(domain_of=lambda number: EAST if number < 2 else WEST)
    random = Random(1)

    def answer(vm: VmId) -> tuple[CallOutcome, int, ServerLoad | None]:
        fails = random.random() < 0.1
        return (CallOutcome.ERROR if fails else CallOutcome.SUCCESS), 20, None

    run_calls(balancer, 0, 1_000, answer)
    sent = run_calls(balancer, 1_000, 2_000, answer)
    assert sent[SERVERS[0]] + sent[SERVERS[1]] >= 0.5 * 2_000


def test_a_server_that_gets_the_long_calls_does_not_count_as_slow() -> None:
    balancer = make_balancer(domain_of=lambda number: EAST if number == 0 else WEST)
    random = Random(5)
    for now_ms in range(0, 4_000, 2):
        vm = random.choice(SERVERS)
        is_long = vm == SERVERS[0] and random.random() < 0.8
        balancer.note_sent(now_ms, vm)
        latency_ms = round((300 if is_long else 30) * random.uniform(0.7, 1.3))
        kind = "long" if is_long else "short"
        balancer.note_answer(now_ms, vm, CallOutcome.SUCCESS, latency_ms, HALF_LOADED, kind)
    assert balancer.choose(4_000) == SERVERS[0]


def test_a_new_server_starts_slowly_and_a_new_connection_counts() -> None:
    balancer = make_balancer()
    fresh = VmId("fresh")
    candidates = [Candidate(vm, EAST) for vm in SERVERS]
    balancer.update(1_000, [*candidates, Candidate(fresh, EAST)])
    early = run_calls(balancer, 1_000, 500, answer_ok)[fresh]
    late = run_calls(balancer, 8_000, 500, answer_ok)[fresh]
    assert early < late
    unconnected = [attrs.evolve(item, connected=item.vm_id != SERVERS[0]) for item in candidates]
    balancer.update(9_000, unconnected)
    sent = run_calls(balancer, 9_000, 500, answer_ok)
    assert sent[SERVERS[0]] < 500 // len(SERVERS) // 2


def test_an_evacuated_server_gets_nothing_and_returns_slowly() -> None:
    balancer = make_balancer()
    candidates = [Candidate(vm, EAST, evacuated=vm == SERVERS[0]) for vm in SERVERS]
    balancer.update(1_000, candidates)
    assert run_calls(balancer, 1_000, 500, answer_ok)[SERVERS[0]] == 0
    assert balancer.count_usable() == len(SERVERS) - 1
    balancer.update(2_000, [Candidate(vm, EAST) for vm in SERVERS])
    early = run_calls(balancer, 2_000, 500, answer_ok)[SERVERS[0]]
    late = run_calls(balancer, 9_000, 500, answer_ok)[SERVERS[0]]
    assert 0 < early < late


def test_a_server_that_has_restarted_starts_slowly() -> None:
    balancer = make_balancer()
    candidates = [Candidate(vm, EAST, instance="i-1") for vm in SERVERS]
    balancer.update(1_000, candidates)
    balancer.update(2_000, [attrs.evolve(candidates[0], instance="i-2"), *candidates[1:]])
    early = run_calls(balancer, 2_000, 500, answer_ok)[SERVERS[0]]
    late = run_calls(balancer, 9_000, 500, answer_ok)[SERVERS[0]]
    assert 0 < early < late


def test_calls_at_one_server_are_bounded() -> None:
    balancer = LoadBalancer(EAST, Random(1), LoadBalancerConfig(max_in_flight=2))
    balancer.update(0, [Candidate(SERVERS[0], EAST)])
    for _ in range(2):
        balancer.note_sent(0, SERVERS[0])
    assert isinstance(balancer.choose(0), Refusal)


def test_connections_are_bounded_and_opened_few_at_once() -> None:
    budget = ConnectionBudget(limit=5, max_opening=2)
    assert not budget.try_reuse()
    assert [budget.try_open() for _ in range(3)] == [True, True, False]
    budget.note_opened(succeeded=True)
    budget.note_opened(succeeded=False)
    assert budget.try_reuse()
    assert [budget.try_open() for _ in range(2)] == [True, True]
    budget.note_released(reusable=True)
    assert budget.try_reuse()
