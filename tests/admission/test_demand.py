"""Shedding by demand, during a surge on a call chain whose last service is the bottleneck."""

import functools

import pytest
from script.tools.graph_model import Arrivals, CallKind, GraphModel, surge

from wisteria_admission import HASH_RANKS, RANK_COUNT, AdmissionConfig, DemandConfig, DemandLevel
from wisteria_core import Priority

SURGE_MS = (4_000, 16_000)
KINDS = {
    kind.name: kind
    for kind in (
        CallKind("status", "board", 220, (("registry", 2),), timeout_ms=1_500),
        CallKind("order", "desk", 290, (("index", 1),), Priority.URGENT, 1_800),
        CallKind("dispatch", "crew", 180, (), timeout_ms=500),
        CallKind("registry", "desk", 15, (("index", 1),)),
        CallKind("index", "map", 15, (("roster", 5),)),
        CallKind("roster", "crew", 55),
    )
}
SERVERS = {
    "board": ((54, 0.6), (54, 1.0), (54, 1.4)) * 2,
    "desk": ((76, 1.0),) * 4,
    "map": ((101, 1.0),) * 3,
    "crew": ((42, 0.6), (42, 1.0), (42, 1.4)),
}
USUAL_PER_S = {"status": 135.0, "order": 54.6, "dispatch": 17.4}
WAIT_CONFIG = AdmissionConfig(reserve_share=0.02, sheds_children=False)
DEMAND_CONFIG = AdmissionConfig(reserve_share=0.02, sheds_children=False, demand=DemandConfig())


@functools.lru_cache
def simulate(
    admission: AdmissionConfig, times: float, seed: int = 1, until_ms: float = SURGE_MS[1]
) -> GraphModel:
    model = GraphModel(KINDS, SERVERS, admission, seed)
    rates = [Arrivals(name, surge(per_s, times, *SURGE_MS)) for name, per_s in USUAL_PER_S.items()]
    model.run(rates, until_ms)
    return model


def share_served(model: GraphModel, kind: str, times: float) -> float:
    offered = USUAL_PER_S[kind] * times * (SURGE_MS[1] - SURGE_MS[0]) / 1_000
    return model.count_served(*SURGE_MS, kind) / offered


def test_nothing_is_shed_at_the_usual_load() -> None:
    model = simulate(DEMAND_CONFIG, 1.0)
    assert sum(count for (_, outcome), count in model.counts.items() if outcome == "refused") == 0


@pytest.mark.parametrize("times", [2.0, 3.0])
def test_more_requests_are_served_than_by_the_wait(times: float) -> None:
    by_wait, by_demand = simulate(WAIT_CONFIG, times), simulate(DEMAND_CONFIG, times)
    served = share_served(by_demand, "status", times)
    assert served > 2 * share_served(by_wait, "status", times)
    assert share_served(by_demand, "order", times) > 0.9
    # every kind is served at least a quarter as well as the others
    assert share_served(by_demand, "dispatch", times) > served / 4


def test_the_usual_service_is_back_after_the_surge() -> None:
    model = simulate(DEMAND_CONFIG, 2.0, until_ms=22_000)
    usual = sum(USUAL_PER_S.values()) * 4
    assert model.count_served(18_000, 22_000) > 0.9 * usual


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_goodput_at_twice_the_capacity(seed: int) -> None:
    """Target: 0.9 of the goodput at capacity, in work of the bottleneck service."""
    costs = {"status": 550.0, "order": 275.0, "dispatch": 180.0}

    def measure(times: float) -> float:
        model = simulate(DEMAND_CONFIG, times, seed)
        return sum(model.count_served(*SURGE_MS, kind) * cost for kind, cost in costs.items())

    assert measure(2 * 1.3) >= 0.9 * measure(1.3)


def test_urgent_work_goes_first_and_costly_work_is_cut_deeper() -> None:
    level = DemandLevel(10, DemandConfig(window_ms=1_000, target_utilization=1.0))
    level.update(0, 0, 0, 0, 0, False)
    # 10 slots serve 10,000 ms in 1,000 ms: 4,000 urgent, 6,000 of 12,000 others
    level.note_demand(Priority.URGENT, 0, HASH_RANKS, 4_000)
    level.note_demand(Priority.NORMAL, 0, HASH_RANKS, 9_000)
    level.note_demand(Priority.NORMAL, 0, HASH_RANKS // 4, 3_000)
    level.update(1_000, 0, 0, 0, 0, False)
    admitted_ranks = level.threshold - int(Priority.NORMAL) * 2 * HASH_RANKS
    # all of the cheap kind is admitted, and a third of the costly one
    assert admitted_ranks == pytest.approx(HASH_RANKS / 3, abs=1)


def test_what_an_account_asks_beyond_its_share_is_cut_first() -> None:
    level = DemandLevel(10, DemandConfig(window_ms=1_000, target_utilization=1.0))
    level.update(0, 0, 0, 0, 0, False)
    level.note_demand(Priority.NORMAL, 500, HASH_RANKS, 16_000)
    level.update(1_000, 0, 0, 0, 0, False)
    admitted_ranks = level.threshold - int(Priority.NORMAL) * 2 * HASH_RANKS
    assert admitted_ranks == pytest.approx(HASH_RANKS + HASH_RANKS / 4, abs=1)
    level.update(9_000, 0, 0, 0, 0, False)
    assert level.threshold == RANK_COUNT
