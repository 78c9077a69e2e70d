"""Concurrency limits: bounds for any input, and targets under simulated overload."""

from random import Random

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings
from script.tools.bench_admission import measure
from script.tools.bench_admission_simulation import Order, Scenario, Slowdown

from wisteria_admission import AimdLimiter, GradientLimiter, LimiterConfig, Outcome

SAMPLES = st.lists(
    st.tuples(
        st.integers(0, 300), st.integers(0, 2_000), st.integers(1, 60), st.sampled_from(Outcome)
    ),
    max_size=400,
)


@pytest.mark.parametrize("kind", [AimdLimiter, GradientLimiter])
@given(samples=SAMPLES, ceiling=st.integers(1, 60))
@settings(derandomize=True, deadline=None, max_examples=60)
def test_the_limit_stays_between_floor_and_slots(
    kind: type[AimdLimiter], samples: list[tuple[int, int, int, Outcome]], ceiling: int
) -> None:
    limiter = kind(LimiterConfig(), ceiling)
    now_ms = 0
    for elapsed_ms, latency_ms, running, outcome in samples:
        now_ms += elapsed_ms
        limiter.note(now_ms, latency_ms, running, outcome)
        assert min(LimiterConfig().floor, ceiling) <= limiter.limit() <= ceiling


def feed(limiter: AimdLimiter, start_ms: int, length_ms: int, capacity: int, work_ms: int) -> None:
    """Add the samples of a server that runs `capacity` calls of `work_ms` concurrently."""
    now_ms = start_ms
    while now_ms < start_ms + length_ms:
        running = limiter.limit()
        latency_ms = work_ms * max(capacity, running) // capacity
        for _ in range(running):
            limiter.note(now_ms, latency_ms, running, Outcome.SUCCESS)
        now_ms += latency_ms


def test_a_cold_start_finds_the_capacity() -> None:
    limiter = AimdLimiter(LimiterConfig(), 100)
    feed(limiter, 0, 3_000, capacity=30, work_ms=20)
    assert 24 <= limiter.limit() <= 60


def test_congestion_lowers_the_limit_and_its_end_raises_it() -> None:
    limiter = AimdLimiter(LimiterConfig(), 100)
    feed(limiter, 0, 3_000, capacity=30, work_ms=20)
    feed(limiter, 3_000, 4_000, capacity=10, work_ms=20)
    assert limiter.limit() <= 20
    feed(limiter, 7_000, 3_000, capacity=30, work_ms=20)
    assert limiter.limit() >= 24


def test_longer_calls_do_not_lower_the_limit_for_good() -> None:
    limiter = AimdLimiter(LimiterConfig(), 100)
    feed(limiter, 0, 3_000, capacity=30, work_ms=20)
    feed(limiter, 3_000, 4_000, capacity=30, work_ms=60)
    assert limiter.limit() >= 24


def test_scatter_of_short_calls_does_not_lower_the_limit() -> None:
    """The own time of a service that mostly waits for child calls is a few ms, with scatter."""
    limiter = AimdLimiter(LimiterConfig(), 40)
    random = Random(2)
    for now_ms in range(10_000):
        limiter.note(now_ms, random.choice((0, 1, 1, 2, 6)), limiter.limit(), Outcome.SUCCESS)
        assert now_ms < 2_000 or limiter.limit() == 40


def test_timeouts_lower_the_limit() -> None:
    limiter = AimdLimiter(LimiterConfig(initial=40), 40)
    for now_ms in range(0, 2_000, 10):
        limiter.note(now_ms, 500, 40, Outcome.TIMEOUT)
    assert limiter.limit() < 20


@pytest.mark.parametrize("slowdown", Slowdown)
def test_goodput_urgent_success_and_recovery_at_four_times_the_load(slowdown: Slowdown) -> None:
    """Goodput is summed over three seeds, as a single run of 6 s varies by a few percent."""
    ones, fours = (
        [measure(Scenario("aimd", Order.FAIR, load, slowdown, seed)) for seed in (1, 2, 3)]
        for load in (1, 4)
    )
    goodput = sum(figures.goodput_per_s for figures in fours)
    assert goodput >= 0.9 * sum(figures.goodput_per_s for figures in ones)
    for figures in fours:
        assert figures.urgent_success >= 0.99
        assert figures.worst_account_share >= 0.8
        assert figures.recovery_s is not None
        assert figures.recovery_s <= 2.0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("slowdown", list(Slowdown))
def test_goodput_at_four_times_the_load_in_each_run(slowdown: Slowdown, seed: int) -> None:
    one, four = (
        measure(Scenario("aimd", Order.FAIR, load, slowdown, seed)).goodput_per_s for load in (1, 4)
    )
    assert four >= 0.9 * one
