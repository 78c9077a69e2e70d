"""Load shedding along a call chain: shed ranks, reported levels, excess demand."""

from wisteria_admission import RANK_COUNT, AdmissionLevel, ChainLevels, shed_rank
from wisteria_core import Priority, ResultCode

NORMAL = Priority.NORMAL
DEPTH = 11


def report_levels(levels: ChainLevels, now_ms: int, *reports: AdmissionLevel) -> None:
    levels.note_answer(now_ms, "read", "a", NORMAL, reports)


def is_shed(levels: ChainLevels, now_ms: int, rank: int) -> bool:
    return levels.should_shed(now_ms, rank, "read", "a", NORMAL) is not None


def test_ranks_order_by_priority_then_share() -> None:
    names = [f"r{number}" for number in range(500)]
    within = [shed_rank(NORMAL, 0, name) for name in names]
    beyond = [shed_rank(NORMAL, 1_000, name) for name in names]
    assert max(shed_rank(Priority.HIGH, 1_000, name) for name in names) < min(within)
    assert max(within) < min(beyond)
    assert max(beyond) < min(shed_rank(Priority.BACKGROUND, 0, name) for name in names)
    assert max(shed_rank(Priority.BACKGROUND, 1_000, name) for name in names) < RANK_COUNT


def test_the_entry_refuses_what_the_deepest_service_sheds() -> None:
    """Levels are relayed up eleven services, so that no admitted request is shed downstream."""
    daemons = [ChainLevels() for _ in range(DEPTH)]
    answer: tuple[AdmissionLevel, ...] = (AdmissionLevel("s11", "vm11", 1_200),)
    for depth in range(DEPTH - 1, -1, -1):
        daemons[depth].note_answer(0, "read", "a", NORMAL, answer)
        below = {level.service for level in answer}
        relayed = daemons[depth].relay(5, below, f"vm{depth}", "a", NORMAL)
        answer = (AdmissionLevel(f"s{depth}", f"vm{depth}"), *relayed)
    for number in range(400):
        rank = shed_rank(NORMAL, 300, f"r{number}")
        assert is_shed(daemons[0], 5, rank) is (rank >= 1_200)


def test_a_level_fades_and_expires() -> None:
    levels = ChainLevels()
    report_levels(levels, 0, AdmissionLevel("s", "vm", 512))
    assert levels.threshold(200, "read") == 512
    assert 512 < levels.threshold(1_000, "read") < RANK_COUNT
    assert levels.threshold(2_000, "read") == RANK_COUNT
    report_levels(levels, 3_000, AdmissionLevel("s", "vm", 512, age_ms=2_500))
    assert levels.threshold(3_000, "read") == RANK_COUNT


def test_one_odd_reporter_does_not_decide() -> None:
    levels = ChainLevels()
    busy = [AdmissionLevel("s", f"vm{number}", 700) for number in range(3)]
    report_levels(levels, 0, *busy, AdmissionLevel("s", "idle", RANK_COUNT))
    assert levels.threshold(1, "read") == 700
    hot = [AdmissionLevel("t", f"vm{number}") for number in range(3)]
    levels.note_answer(0, "write", "a", NORMAL, [*hot, AdmissionLevel("t", "hot", 0)])
    assert levels.threshold(1, "write") == RANK_COUNT


def test_a_service_that_a_route_seldom_calls_does_not_shed_it() -> None:
    levels = ChainLevels()
    own = AdmissionLevel("s", "vm")
    for now_ms in range(20):
        child = [AdmissionLevel("seldom", "vm9", 0)] if now_ms % 10 == 0 else []
        report_levels(levels, now_ms, own, *child)
    assert not is_shed(levels, 20, RANK_COUNT - 1)


def test_refused_requests_are_represented_by_the_next_call() -> None:
    levels = ChainLevels()
    report_levels(levels, 0, AdmissionLevel("s", "vm", 512))
    for _ in range(7):
        refusal = levels.should_shed(1, 600, "read", "a", NORMAL)
        assert refusal is not None
        assert refusal.code is ResultCode.SHED
        assert refusal.retry_after_ms is not None
    assert levels.take_represented(2, "read", "a", NORMAL) == 8
    assert levels.take_represented(2, "read", "a", NORMAL) == 1
    levels.should_shed(3, 600, "read", "a", NORMAL)
    assert levels.take_represented(60_000, "read", "a", NORMAL) == 1


def test_excess_is_the_largest_of_the_chain_and_expires() -> None:
    levels = ChainLevels()
    report_levels(
        levels, 0, AdmissionLevel("s", "vm", excess_milli=100), AdmissionLevel("t", "v", 900, 600)
    )
    assert levels.excess_milli(10, "a", NORMAL, "read") == 600
    assert levels.excess_milli(10, "b", NORMAL, "read") == 0
    assert levels.excess_milli(2_000, "a", NORMAL, "read") == 0
    levels.forget_expired(2_500)
    assert levels.describe(2_500) == {}
