"""Checks the rate bound over every window under faults.

Guards against tokens that are spent twice when messages are delayed, duplicated or lost, clocks
drift, owners change or crash, and rates change. Injected faults show that the check detects them.
"""

import functools
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

from wisteria_core import FailureDomain, VmId
from wisteria_limits import (
    AccountBudget,
    AccountRate,
    Admitted,
    BorrowReply,
    Decided,
    LimitsConfig,
    Pending,
    Send,
    SliceBucket,
    SliceId,
    SliceOwner,
    Step,
    slices_for,
)

CONFIG = LimitsConfig(lease_ms=100, margin_ms=5, wait_limit_ms=20, reply_timeout_ms=10)
DOMAINS = (FailureDomain("a"), FailureDomain("b"))
RATE = AccountRate("farm", rate=1_000, burst=40)
CHANGED = AccountRate("farm", rate=400, burst=20)
VMS = {VmId(f"{domain}{index}"): domain for domain in DOMAINS for index in range(2)}
A0, A1 = VmId("a0"), VmId("a1")
US_PER_MS = 1_000
SLICES = 2
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=60,
    suppress_health_check=list(HealthCheck),
)


@attrs.define
class Window:
    """Exact check of a rate bound over every window, in micro-calls and microseconds."""

    burst: int
    admitted: int = 0
    allowed: int = 0
    lowest: int = 0
    worst: int = 0

    def advance(self, rate: int, elapsed_us: int) -> None:
        """Advance time while `rate` calls/s are allowed."""
        self.allowed += rate * elapsed_us

    def count(self, calls: int) -> None:
        """Count admissions (negative for refunds) and check all windows that end now."""
        self.lowest = min(self.lowest, self.admitted - self.allowed)
        self.admitted += calls * 1_000_000
        excess = self.admitted - self.allowed - self.lowest - self.burst * 1_000_000
        self.worst = max(self.worst, excess)


@attrs.define
class Message:
    """A message in transit."""

    deliver: Callable[[], None]


class Fleet(RuleBasedStateMachine):
    """Entry daemons and slice owners with drifting clocks and an unreliable network."""

    wait_out = True
    refund_of_run_calls = False

    def __init__(self) -> None:
        super().__init__()
        self.now_us = 0
        self.rates = [RATE, CHANGED]
        self.window = Window(RATE.burst)
        self.drift: dict[VmId, int] = {}
        self.messages: list[Message] = []
        self.owners: dict[VmId, SliceOwner] = {}
        self.budgets: dict[VmId, AccountBudget] = {}
        self.holder: dict[SliceId, VmId] = {}
        self.admitted: list[tuple[VmId, Admitted]] = []
        self.refund_due_us: dict[int, int] = {}

    @initialize(drifts=st.lists(st.sampled_from([-500, 0, 500]), min_size=4, max_size=4))
    def start(self, drifts: list[int]) -> None:
        for vm, drift in zip(VMS, drifts, strict=True):
            self.drift[vm] = drift
            self.owners[vm] = SliceOwner(CONFIG)
            self.budgets[vm] = AccountBudget(vm, VMS[vm], 1, CONFIG)
        self.configure(list(VMS), RATE)
        for slice_id in slices_for(RATE, DOMAINS, SLICES):
            self.hold(VmId(f"{slice_id.domain}{slice_id.index}"), slice_id, None)
        self.pass_time(100)

    def now_ms(self, vm: VmId) -> int:
        return self.now_us * (1_000_000 + self.drift[vm]) // 1_000_000 // US_PER_MS

    def configure(self, vms: list[VmId], rate: AccountRate) -> None:
        for vm in vms:
            now_ms = self.now_ms(vm)
            self.owners[vm].configure(now_ms, slices_for(rate, DOMAINS, SLICES))
            self.budgets[vm].configure(now_ms, [rate], DOMAINS, SLICES)
            self.budgets[vm].set_owners(self.holder)

    def hold(self, vm: VmId, slice_id: SliceId, payload: bytes | None) -> None:
        self.owners[vm].start(self.now_ms(vm), slice_id, payload)
        self.holder[slice_id] = vm
        for budget in self.budgets.values():
            budget.set_owners(self.holder)

    def take(self, vm: VmId, step: Step) -> None:
        for send in step.sends:
            self.messages.append(Message(functools.partial(self.lend, vm, send)))
        for item in step.decided:
            self.count(vm, item.outcome)

    def lend(self, vm: VmId, send: Send) -> None:
        owner = send.vm_id
        reply = self.owners[owner].answer(self.now_ms(owner), send.request)
        self.messages.append(Message(lambda: self.credit(vm, owner, reply)))

    def credit(self, vm: VmId, owner: VmId, reply: BorrowReply) -> None:
        for item in self.budgets[vm].on_reply(self.now_ms(vm), owner, reply):
            self.count(vm, item.outcome)

    def count(self, vm: VmId, outcome: object) -> None:
        if isinstance(outcome, Admitted):
            self.window.count(1)
            self.admitted.append((vm, outcome))

    @rule(ms=st.sampled_from([1, 3, 15, 40, 90, 130]))
    def pass_time(self, ms: int) -> None:
        rate = max(rate.rate for rate in self.rates)
        self.window.advance(rate, ms * US_PER_MS + 37)
        self.now_us += ms * US_PER_MS + 37
        self.admitted.clear()

    @rule(vm=st.sampled_from(list(VMS)), calls=st.integers(1, 45))
    def arrive(self, vm: VmId, calls: int) -> None:
        for _ in range(calls):
            self.count(vm, self.budgets[vm].admit(self.now_ms(vm), RATE.account))
        self.tick(vm)

    @rule(vm=st.sampled_from(list(VMS)), calls=st.sampled_from([20, 40]))
    def arrive_and_cancel(self, vm: VmId, calls: int) -> None:
        """Cancel waiting calls before their loans arrive, so that the loans stay unspent."""
        outcomes = [self.budgets[vm].admit(self.now_ms(vm), RATE.account) for _ in range(calls)]
        self.tick(vm)
        for outcome in outcomes:
            self.count(vm, outcome)
            if isinstance(outcome, Pending):
                self.budgets[vm].cancel(RATE.account, outcome.waiter_id)

    @rule(vm=st.sampled_from(list(VMS)))
    def tick(self, vm: VmId) -> None:
        self.take(vm, self.budgets[vm].tick(self.now_ms(vm)))

    @rule()
    def deliver_all(self) -> None:
        while self.messages:
            self.messages.pop(0).deliver()

    @rule(position=st.integers(0, 10), fate=st.sampled_from(["late", "doubled", "lost"]))
    def deliver_one(self, position: int, fate: str) -> None:
        if not self.messages:
            return
        message = self.messages[position % len(self.messages)]
        if fate != "doubled":
            self.messages.remove(message)
        if fate != "lost":
            message.deliver()

    @rule(calls=st.integers(1, 30))
    def refund(self, calls: int) -> None:
        """Refund the tokens of recent calls that did not run."""
        for vm, admitted in self.admitted[-calls:]:
            regained = self.budgets[vm].refund(self.now_ms(vm), admitted)
            if regained and not self.refund_of_run_calls:
                self.window.count(-1)

    @rule(slice_index=st.integers(0, 3))
    def hand_over(self, slice_index: int) -> None:
        slice_id = sorted(self.holder, key=lambda item: item.name)[slice_index]
        holder = self.holder[slice_id]
        successor = self.other(holder)
        payload = self.owners[holder].release(self.now_ms(holder), slice_id)
        self.hold(successor, slice_id, payload)

    @rule(slice_index=st.integers(0, 3))
    def crash(self, slice_index: int) -> None:
        """Crash an owner; its successor starts when all loans have expired on its own clock."""
        slice_id = sorted(self.holder, key=lambda item: item.name)[slice_index]
        holder = self.holder[slice_id]
        successor = self.other(holder)
        self.owners[holder].drop_all()
        start_ms = self.now_ms(successor)
        if self.wait_out:
            while self.now_ms(successor) - start_ms < CONFIG.wait_out_ms:
                self.pass_time(1)
        for lost, vm in list(self.holder.items()):
            if vm == holder:
                self.hold(successor, lost, None)

    @rule(vm=st.sampled_from(list(VMS)))
    def wake_up(self, vm: VmId) -> None:
        self.budgets[vm].drop_all()

    @rule(first=st.booleans(), pause_ms=st.sampled_from([0, 3, 40]))
    def change_rate(self, first: bool, pause_ms: int) -> None:
        """Apply another rate to two VMs first, and to the others after a pause."""
        new = RATE if first else CHANGED
        names = list(VMS)
        self.rates = [RATE, CHANGED]
        self.configure(names[:2], new)
        self.pass_time(pause_ms)
        self.configure(names[2:], new)
        self.pass_time(CONFIG.owner_lease_ms + 2)
        self.rates = [new]
        self.assert_bound()
        self.window = Window(new.burst)

    def other(self, vm: VmId) -> VmId:
        return next(name for name in VMS if VMS[name] == VMS[vm] and name != vm)

    @invariant()
    def assert_bound(self) -> None:
        assert self.window.worst <= 0


def test_every_window_keeps_to_the_bound() -> None:
    run_state_machine_as_test(Fleet, settings=SETTINGS)


def begin() -> Fleet:
    """Return a fleet with full buckets and clocks without drift."""
    fleet = Fleet()
    fleet.start([0, 0, 0, 0])
    return fleet


def hoard_and_wait(fleet: Fleet) -> None:
    """Lend the whole burst to one VM, wait for a refill, then spend at two VMs at once."""
    fleet.arrive_and_cancel(A0, 40)
    fleet.deliver_all()
    fleet.pass_time(40)
    spend_at_two(fleet)


def refund_and_spend(fleet: Fleet) -> None:
    """Spend the burst, refund most of it, spend again."""
    fleet.arrive(A0, 40)
    fleet.deliver_all()
    fleet.refund(30)
    fleet.arrive(A0, 30)


def replies_late(fleet: Fleet) -> None:
    """Deliver replies just before the loans expire, then spend at two VMs after a refill."""
    fleet.arrive_and_cancel(A0, 40)
    for _ in range(len(fleet.messages)):
        fleet.deliver_one(0, "late")
    fleet.pass_time(90)
    fleet.deliver_all()
    fleet.pass_time(40)
    fleet.pass_time(15)
    spend_at_two(fleet)


def crash_all(fleet: Fleet) -> None:
    """Crash all owners while the whole burst is lent."""
    fleet.arrive_and_cancel(A0, 40)
    fleet.deliver_all()
    for slice_index in range(4):
        fleet.crash(slice_index)
    fleet.pass_time(40)
    spend_at_two(fleet)


def spend_at_two(fleet: Fleet) -> None:
    """Offer a whole burst at each of two VMs."""
    fleet.arrive(A1, 40)
    fleet.deliver_all()
    fleet.arrive(A0, 40)


def leave_loans_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a fault: loans do not count against the burst."""
    burst = SliceBucket._max_level_micro
    monkeypatch.setattr(
        SliceBucket,
        "_max_level_micro",
        lambda self: burst(self) + self.outstanding_milli * US_PER_MS,
    )


def expire_from_receipt(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a fault: the borrower starts the lease of a loan at the reply."""
    credit = AccountBudget.on_reply

    def from_receipt(
        self: AccountBudget, now_ms: int, vm: VmId, reply: BorrowReply
    ) -> tuple[Decided, ...]:
        pending = self._pending_requests.get(reply.request_id)
        if pending is not None:
            pending.sent_ms = now_ms
        return credit(self, now_ms, vm, reply)

    monkeypatch.setattr(AccountBudget, "on_reply", from_receipt)


def skip_wait_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a fault: a successor lends before the old loans have expired."""
    monkeypatch.setattr(Fleet, "wait_out", False)


def refund_run_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a fault: calls that ran are refunded."""
    monkeypatch.setattr(Fleet, "refund_of_run_calls", True)


@pytest.mark.parametrize(
    ("session", "plant"),
    [
        (hoard_and_wait, leave_loans_out),
        (replies_late, expire_from_receipt),
        (crash_all, skip_wait_out),
        (refund_and_spend, refund_run_calls),
    ],
)
def test_planted_mistakes_are_caught(
    monkeypatch: pytest.MonkeyPatch,
    session: Callable[[Fleet], None],
    plant: Callable[[pytest.MonkeyPatch], None],
) -> None:
    sound = begin()
    session(sound)
    sound.assert_bound()
    plant(monkeypatch)
    mistaken = begin()
    session(mistaken)
    with pytest.raises(AssertionError):
        mistaken.assert_bound()
