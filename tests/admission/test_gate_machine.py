"""Stateful test of the admission gate: invariants after any sequence of events."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from wisteria_admission import (
    Action,
    AdmissionConfig,
    AdmissionGate,
    Dispatch,
    Outcome,
    Queued,
    Refuse,
    Ticket,
    shed_rank,
)
from wisteria_core import Priority, Refusal, ResultCode, RunState

SHED_CODES = (ResultCode.SHED, ResultCode.QUEUE_FULL)

MAX_SLOTS = 8


class GateMachine(RuleBasedStateMachine):
    """Offers, releases, cancels and ticks in any order; keeps the state of each call."""

    calls = Bundle("calls")

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.gate = AdmissionGate(slots=6, config=AdmissionConfig(queue_per_slot=1))
        self.tickets: dict[int, Ticket] = {}
        self.waiting: set[int] = set()
        self.running: dict[int, int] = {}

    @rule(
        target=calls,
        account=st.sampled_from("abc"),
        weight=st.integers(1, 4),
        priority=st.sampled_from(Priority),
        slack_ms=st.integers(0, 400),
        cost_ms=st.integers(0, 60),
        is_long=st.booleans(),
    )
    def offer(
        self,
        account: str,
        weight: int,
        priority: Priority,
        slack_ms: int,
        cost_ms: int,
        is_long: bool,
    ) -> int:
        call = len(self.tickets)
        rank = shed_rank(priority, 0, f"r{call}")
        deadline_ms = self.now_ms + slack_ms
        ticket = Ticket(call, account, weight, priority, rank, deadline_ms, cost_ms, is_long, "x")
        self.tickets[call] = ticket
        offer = self.gate.offer(self.now_ms, ticket)
        self.apply(list(offer.evicted))
        match offer.verdict:
            case Dispatch(call_id):
                assert call_id == call
                self.start(call)
            case Queued():
                self.waiting.add(call)
                state = self.gate.describe()
                assert state["queued_long" if is_long else "queued"] <= MAX_SLOTS
            case Refusal() as refusal:
                self.check_refusal(ticket, refusal)
        for eviction in offer.evicted:
            assert isinstance(eviction.call_id, int)
            assert self.tickets[eviction.call_id].priority >= priority
        return call

    @rule(call=calls, outcome=st.sampled_from(Outcome))
    def release(self, call: int, outcome: Outcome) -> None:
        started_ms = self.running.pop(call, None)
        latency_ms = 0 if started_ms is None else self.now_ms - started_ms
        self.apply(self.gate.release(self.now_ms, call, outcome, latency_ms))

    @rule(call=calls)
    def cancel(self, call: int) -> None:
        self.waiting.discard(call)
        self.apply(self.gate.cancel(self.now_ms, call))

    @rule(account=st.sampled_from("abc"))
    def withdraw(self, account: str) -> None:
        self.apply(self.gate.withdraw(self.now_ms, lambda ticket: ticket.account == account))
        assert all(self.tickets[call].account != account for call in self.waiting)

    @rule(slots=st.integers(1, MAX_SLOTS))
    def set_slots(self, slots: int) -> None:
        self.apply(self.gate.set_slots(self.now_ms, slots))

    @rule(elapsed_ms=st.integers(1, 120))
    def tick(self, elapsed_ms: int) -> None:
        self.now_ms += elapsed_ms
        self.apply(self.gate.tick(self.now_ms))
        assert all(self.tickets[call].deadline_at_ms > self.now_ms for call in self.waiting)

    def apply(self, actions: list[Action] | list[Refuse]) -> None:
        for action in actions:
            assert isinstance(action.call_id, int)
            assert action.call_id in self.waiting, "only a queued call may change its state"
            self.waiting.discard(action.call_id)
            if isinstance(action, Dispatch):
                self.start(action.call_id)
            else:
                self.check_refusal(self.tickets[action.call_id], action.refusal)

    def start(self, call: int) -> None:
        assert call not in self.running
        assert self.tickets[call].deadline_at_ms > self.now_ms
        self.running[call] = self.now_ms
        self.check_room(self.tickets[call])

    def check_room(self, ticket: Ticket) -> None:
        """A call starts only within the slots, and an ordinary one outside of the reserve."""
        assert len(self.running) <= self.gate.slots
        if ticket.priority is not Priority.URGENT:
            assert len(self.running) <= self.gate.slots - self.gate.reserve()
        if ticket.long_download:
            running_long = sum(1 for call in self.running if self.tickets[call].long_download)
            assert running_long <= self.gate.long_slots()

    def check_refusal(self, ticket: Ticket, refusal: Refusal) -> None:
        """What never started has not run, and urgent work is shed last."""
        assert refusal.run_state is RunState.NOT_RUN
        if refusal.code in SHED_CODES:
            assert refusal.retry_after_ms is not None
        if ticket.priority is Priority.URGENT and refusal.code in SHED_CODES:
            same_class = [
                self.tickets[call]
                for call in self.waiting
                if self.tickets[call].long_download is ticket.long_download
            ]
            assert all(other.priority is Priority.URGENT for other in same_class)

    @invariant()
    def knows_each_call_once(self) -> None:
        assert self.gate.queued() == len(self.waiting)
        assert self.gate.running() == len(self.running)

    @invariant()
    def leaves_no_slot_idle(self) -> None:
        """An ordinary short call waits only while limit, slots or reserve leave no room."""
        state = self.gate.describe()
        free = self.gate.running() < self.gate.slots - self.gate.reserve()
        if free and state["running"] < state["limit"]:
            assert state["queued"] == 0


GateMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=60
)
TestGateMachine = GateMachine.TestCase
