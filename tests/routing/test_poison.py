"""Requests that crash backend servers are detected; unrelated requests are not blocked."""

import pytest
from syrupy.assertion import SnapshotAssertion
from tests.routing.poison_fleet import ENTRY_COUNT, POISON, Call, PoisonFleet

from wisteria_core import Refusal, ResultCode, RunState, VmId
from wisteria_routing import MAX_CRASHES, CrashReport, PoisonDetector
from wisteria_routing.const import MAX_SUSPECTS

END_MS = 8_000


def keep_sending(fleet: PoisonFleet, entry: int) -> None:
    """Make a client send the poison request again after each final answer."""

    def send_again(now_ms: int, succeeded: bool) -> None:
        if now_ms < END_MS:
            again = Call(POISON, (entry + now_ms) % len(fleet.entries), on_final=send_again)
            fleet.at(now_ms + 10, lambda later_ms: fleet.send(later_ms, again))

    call = Call(POISON, entry, on_final=send_again)
    fleet.at(1_000, lambda now_ms: fleet.send(now_ms, call))


def add_unrelated_requests(fleet: PoisonFleet) -> None:
    """Send another request every 2 ms; most of them have a new fingerprint."""
    for now_ms in range(0, END_MS, 2):
        name = f"b{now_ms % 40}" if now_ms % 6 == 0 else f"unique-{now_ms}"
        call = Call(name.encode(), now_ms % len(fleet.entries))
        fleet.at(now_ms, lambda at_ms, call=call: fleet.send(at_ms, call))  # type: ignore[misc]


def add_other_crashes(fleet: PoisonFleet) -> None:
    """Crash backend servers nine times for reasons other than the poison request."""
    for number in range(9):
        vm = VmId(f"vm-{number % 6}")
        fleet.at(700 + 800 * number, lambda now_ms, vm=vm: fleet.crash(now_ms, vm))  # type: ignore[misc]


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(
    ("copies", "loss", "bound"),
    [
        (1, 0.0, MAX_CRASHES),
        (3, 0.0, MAX_CRASHES + 2),
        (6, 0.0, MAX_CRASHES + 5),
        (1, 1.0, MAX_CRASHES * ENTRY_COUNT),
        (3, 0.3, MAX_CRASHES * ENTRY_COUNT),
    ],
)
def test_crashes_by_one_request_are_bounded_in_the_fleet(
    seed: int, copies: int, loss: float, bound: int
) -> None:
    """Clients repeat the poison request for 7 s; the bound allows for copies in flight.

    When crash reports are lost, each entry daemon still learns from the failed answers to its
    own calls. Other requests may fail only because all backend servers are down at once.
    """
    fleet = PoisonFleet(seed, loss)
    add_unrelated_requests(fleet)
    add_other_crashes(fleet)
    for copy in range(copies):
        keep_sending(fleet, copy % ENTRY_COUNT)
    fleet.run(END_MS)
    assert fleet.crashes[POISON] <= bound
    assert fleet.final_outcomes[POISON, "POISON_REQUEST"] > 100
    blocked = {item for (item, outcome) in fleet.final_outcomes if outcome == "POISON_REQUEST"}
    assert blocked == {POISON}
    others = {key: n for key, n in fleet.final_outcomes.items() if key[0] != POISON}
    failed = sum(n for (_, outcome), n in others.items() if outcome == "GIVEN_UP")
    assert failed <= 0.005 * sum(others.values())


def test_one_request_that_is_first_crashed_by_others_is_cleared() -> None:
    detector = PoisonDetector("vm-1")
    for number in range(5):
        now_ms = 1_000 * number
        assert detector.start(now_ms, "run", b"read") is None
        report = detector.note_crash(now_ms + 5)
        assert report is not None
        assert detector.is_suspect(now_ms + 5, b"read")
        assert detector.start(now_ms + 10, "again", b"read") is None
        cleared = detector.finish(now_ms + 20, "again", succeeded=True)
        assert cleared is not None
        detector.note_report(now_ms + 30, report)
        assert not detector.is_suspect(now_ms + 30, b"read")


def test_a_proven_request_is_not_suspected_beside_an_unknown_one() -> None:
    detector = PoisonDetector("vm-1")
    detector.start(0, 1, b"proven")
    detector.finish(5, 1, succeeded=True)
    detector.start(10, 2, b"proven")
    detector.start(10, 3, b"unknown")
    report = detector.note_crash(15)
    assert report is not None
    assert report.suspects == (b"unknown",)


def test_suspects_run_apart() -> None:
    detector = PoisonDetector("vm-1")
    shared = CrashReport("vm-2//1", "vm-2", tuple(bytes([n]) for n in range(20)), sole=False)
    detector.note_report(0, shared)
    results = [detector.start(1, n, bytes([n])) for n in range(20)]
    assert sum(result is None for result in results) == detector.config.max_concurrent_suspects
    refused = results[-1]
    assert isinstance(refused, Refusal)
    assert (refused.code, refused.run_state) == (ResultCode.SHED, RunState.NOT_RUN)
    assert detector.start(1, "other", b"not a suspect") is None
    detector.finish(1, 7, succeeded=False)
    assert isinstance(detector.start(1, "copy", bytes([0])), Refusal)
    assert detector.start(1, 7, bytes([7])) is None
    detector.note_crash(2)
    assert detector.start(3, "a", bytes([0])) is None
    assert isinstance(detector.start(3, "b", bytes([1])), Refusal)


def test_memory_is_bounded_and_keeps_blocked_requests() -> None:
    detector = PoisonDetector("vm-1")
    for number in range(2):
        detector.note_report(0, CrashReport(f"vm-2//{number}", "vm-2", (b"bad",), sole=True))
    for number in range(2 * MAX_SUSPECTS):
        name = number.to_bytes(4)
        detector.note_report(1, CrashReport(f"vm-3//{number}", "vm-3", (name,), sole=False))
    assert detector.describe(2) == {"suspects": MAX_SUSPECTS, "convicted": 1, "crashes": 0}
    detector.forget_expired(700_000)
    assert detector.describe(700_000)["suspects"] == 1
    refusal = detector.refuse_blocked(b"bad")
    assert refusal is not None
    assert refusal.code is ResultCode.POISON_REQUEST


def test_reports_may_come_in_any_order() -> None:
    """A detector initialized from a snapshot decides like one that received all messages."""
    old, new = PoisonDetector("vm-1"), PoisonDetector("vm-9")
    old.note_report(0, CrashReport("vm-2//1", "vm-2", (b"x", b"y"), sole=False))
    old.note_report(0, CrashReport("vm-3//1", "vm-3", (b"x",), sole=True))
    for report in reversed(old.snapshot(1)):
        new.note_report(1, report)
    last = CrashReport("vm-4//1", "vm-4", (b"x",), sole=True)
    for detector in (old, new):
        detector.note_report(2, last)
        assert detector.refuse_blocked(b"x") is not None
        assert detector.refuse_blocked(b"y") is None


def test_session(snapshot: SnapshotAssertion) -> None:
    fleet = PoisonFleet(seed=2)
    add_unrelated_requests(fleet)
    keep_sending(fleet, 0)
    fleet.run(2_000)
    assert "\n".join(fleet.log) == snapshot
