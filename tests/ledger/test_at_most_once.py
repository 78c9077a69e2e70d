"""Property test that each request is sent at most once despite faults, with mutation tests."""

import uuid
from collections import Counter
from collections.abc import Callable

import attrs
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from wisteria_core import Refusal, RunState
from wisteria_ledger import (
    Join,
    Ledger,
    LedgerConfig,
    LedgerSlotId,
    Replay,
    RunEnded,
    RunKey,
    Start,
)

CONFIG = LedgerConfig(
    retention_ms=20_000, max_entries=6, margin_ms=100, wall_error_ms=500, future_tolerance_ms=1_000
)
SLOT = LedgerSlotId("orders", 0)
EPOCH_MS = 1_800_000_000_000
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=60,
    suppress_health_check=list(HealthCheck),
)


def make_uuid7(timestamp_ms: int, number: int) -> str:
    """Return a UUIDv7 with the given timestamp."""
    return str(uuid.UUID(int=(timestamp_ms << 80) | (7 << 76) | (2 << 62) | number))


@attrs.define
class PendingRun:
    """A run that a ledger allowed a VM to start, and whether it has been sent."""

    vm: int
    run_id: int
    run_key: RunKey
    sent: bool = False


class Owners(RuleBasedStateMachine):
    """Two VMs with different clock errors that own one slot in turn."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 1_000
        self.ledgers = [Ledger(CONFIG), Ledger(CONFIG)]
        self.wall_error = [0, 0]
        self.holder = 0
        self.keys: list[RunKey] = []
        self.first_ms: dict[RunKey, int] = {}
        self.running: list[PendingRun] = []
        self.sends: Counter[RunKey] = Counter()
        self.run_ended_messages: list[RunEnded] = []

    @initialize(errors=st.lists(st.sampled_from([-500, 0, 500]), min_size=2, max_size=2))
    def set_up(self, errors: list[int]) -> None:
        self.wall_error = errors
        self.take_over(0, None)

    def wall_ms(self, vm: int) -> int:
        return EPOCH_MS + self.now_ms + self.wall_error[vm]

    def take_over(self, vm: int, payload: bytes | None) -> None:
        self.holder = vm
        self.ledgers[vm].start(self.now_ms, self.wall_ms(vm), SLOT, payload)

    @rule(ms=st.sampled_from([1, 300, 1_000, 2_500, 9_000, 21_000]))
    def pass_time(self, ms: int) -> None:
        self.now_ms += ms

    @rule(skew=st.integers(-30_000, 30_000), opaque=st.booleans())
    def make_key(self, skew: int, opaque: bool) -> None:
        number = len(self.keys)
        key = f"order-{number}"
        if not opaque:
            key = make_uuid7(EPOCH_MS + self.now_ms + skew // 10, number)
        self.keys.append(RunKey("farm", "refill", key))
        self.attempt(number, 0)

    @rule(position=st.integers(0, 50), other_vm=st.sampled_from([0, 0, 0, 1]))
    def attempt(self, position: int, other_vm: int) -> None:
        """Attempt a request, sometimes at a VM that is not the owner."""
        if not self.keys:
            return
        run_key = self.keys[position % len(self.keys)]
        first_ms = self.first_ms.setdefault(run_key, self.now_ms)
        opaque = run_key.key.startswith("order")
        if opaque and self.now_ms - first_ms >= CONFIG.retention_ms:
            return
        vm = (self.holder + other_vm) % 2
        outcome = self.ledgers[vm].begin(self.now_ms, self.wall_ms(vm), SLOT, run_key, b"body")
        match outcome:
            case Start(run_id):
                self.running.append(PendingRun(vm, run_id, run_key))
            case Replay() | Join():
                pass
            case Refusal():
                self.check_refusal(run_key, outcome)

    def check_refusal(self, run_key: RunKey, refusal: Refusal) -> None:
        if refusal.run_state is RunState.RAN:
            assert self.sends[run_key]
        if refusal.code.name == "LEDGER_FULL" and refusal.run_state is RunState.NOT_RUN:
            assert not self.sends[run_key]

    @rule(position=st.integers(0, 20))
    def send(self, position: int) -> None:
        """Send after any delay: the VM may have been suspended since it recorded the run."""
        waiting = [run for run in self.running if not run.sent]
        if not waiting:
            return
        run = waiting[position % len(waiting)]
        if self.ledgers[run.vm].sent(run.run_id):
            run.sent = True
            self.sends[run.run_key] += 1
        else:
            self.running.remove(run)

    @rule(position=st.integers(0, 20), result=st.sampled_from(["finish", "unknown"]))
    def end(self, position: int, result: str) -> None:
        sent = [run for run in self.running if run.sent]
        if not sent:
            return
        run = sent[position % len(sent)]
        self.running.remove(run)
        ledger = self.ledgers[run.vm]
        if result == "unknown":
            ledger.fail_unknown(self.now_ms, run.run_id)
        elif not ledger.finish(self.now_ms, run.run_id, b"done"):
            key = run.run_key
            self.run_ended_messages.append(
                RunEnded("orders", 0, key.account, key.route, key.key, True, b"done", True)
            )

    @rule(position=st.integers(0, 20))
    def abandon_before_send(self, position: int) -> None:
        waiting = [run for run in self.running if not run.sent]
        if waiting:
            run = waiting[position % len(waiting)]
            self.running.remove(run)
            self.ledgers[run.vm].fail_not_run(run.run_id)

    @rule(vm=st.integers(0, 1))
    def deliver_run_ended(self, vm: int) -> None:
        """Deliver every RunEnded message again, also to a VM that is not the owner."""
        for message in self.run_ended_messages:
            self.ledgers[vm].on_run_ended(self.now_ms, message)

    @rule(lost=st.booleans())
    def hand_over(self, lost: bool) -> None:
        payload = self.ledgers[self.holder].release(self.now_ms, SLOT)
        self.take_over(1 - self.holder, None if lost else payload)

    @rule(same=st.booleans())
    def crash(self, same: bool) -> None:
        """Lose the owner, or resume it after a long suspension; the next owner has no state."""
        old = self.holder
        self.ledgers[old].drop_all()
        self.take_over(old if same else 1 - old, None)

    @invariant()
    def assert_at_most_once(self) -> None:
        assert all(count <= 1 for count in self.sends.values())

    @invariant()
    def assert_bounded(self) -> None:
        for ledger in self.ledgers:
            assert ledger.usage()[0] <= CONFIG.max_entries


def test_a_request_is_sent_at_most_once() -> None:
    run_state_machine_as_test(Owners, settings=SETTINGS)


def run_then_lose_owner(owners: Owners, opaque: bool) -> None:
    """Send a key dated ahead of the clock, lose the owner, retry until its run may be forgotten."""
    owners.set_up([0, 0])
    owners.pass_time(21_000)
    owners.make_key(9_000, opaque)
    owners.send(0)
    owners.crash(same=False)
    for _ in range(19):
        owners.attempt(0, 0)
        owners.send(0)
        owners.pass_time(1_000)


def run_young_key(owners: Owners) -> None:
    """Lose the owner right after it sent a key of a caller whose clock is ahead."""
    run_then_lose_owner(owners, opaque=False)


def run_opaque_key(owners: Owners) -> None:
    """Lose the owner right after it sent an opaque key."""
    run_then_lose_owner(owners, opaque=True)


def hand_over_before_send(owners: Owners) -> None:
    """Hand the slot over between the recording of a run and its send."""
    owners.set_up([0, 0])
    owners.pass_time(21_000)
    owners.make_key(0, False)
    owners.hand_over(lost=False)
    owners.attempt(0, 0)
    owners.send(0)
    owners.send(0)


def trust_heirs_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Mutation: a new owner accepts keys timestamped right after its start."""
    monkeypatch.setattr(LedgerConfig, "key_timestamp_margin_ms", 0)


def skip_quarantine(monkeypatch: pytest.MonkeyPatch) -> None:
    """Mutation: a new owner accepts opaque keys without a quarantine."""
    monkeypatch.setattr(Ledger, "_check_opaque", lambda *arguments: None)


def send_without_asking(monkeypatch: pytest.MonkeyPatch) -> None:
    """Mutation: a run is sent although the ledger refuses it."""
    monkeypatch.setattr(Ledger, "sent", lambda self, run_id: True)


@pytest.mark.parametrize(
    ("session", "plant"),
    [
        (run_young_key, trust_heirs_clock),
        (run_opaque_key, skip_quarantine),
        (hand_over_before_send, send_without_asking),
    ],
)
def test_planted_mistakes_are_caught(
    monkeypatch: pytest.MonkeyPatch,
    session: Callable[[Owners], None],
    plant: Callable[[pytest.MonkeyPatch], None],
) -> None:
    sound = Owners()
    session(sound)
    sound.assert_at_most_once()
    assert sum(sound.sends.values()) == 1
    plant(monkeypatch)
    mistaken = Owners()
    session(mistaken)
    with pytest.raises(AssertionError):
        mistaken.assert_at_most_once()
