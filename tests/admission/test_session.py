"""Golden test: an overload episode with several priorities and accounts."""

import heapq
from random import Random

import attrs
from syrupy.assertion import SnapshotAssertion

from wisteria_admission import (
    Action,
    AdmissionConfig,
    AdmissionGate,
    ChainLevels,
    Dispatch,
    LevelConfig,
    Outcome,
    Queued,
    Refuse,
    Ticket,
    shed_rank,
)
from wisteria_core import Priority, Refusal

ROUTE = "stall-status"
END_MS = 1_500
SURGE = range(400, 900)
SLOW = range(500, 800)
ARRIVALS = (
    ("herd-app", Priority.NORMAL, 30),
    ("dashboard", Priority.BACKGROUND, 40),
    ("surging", Priority.NORMAL, 60),
    ("vet", Priority.URGENT, 70),
)


@attrs.define
class Session:
    """Drives a gate with four slots and records its decisions."""

    lines: list[str] = attrs.Factory(list)
    gate: AdmissionGate = attrs.Factory(
        lambda: AdmissionGate(
            4, "stalls", "vm-1", AdmissionConfig(level=LevelConfig(target_wait_ms=60))
        )
    )
    chain: ChainLevels = attrs.Factory(ChainLevels)
    events: list[tuple[int, int, str, int]] = attrs.Factory(list)
    calls: dict[str, Ticket] = attrs.Factory(dict)
    random: Random = attrs.Factory(lambda: Random(3))

    def run(self) -> str:
        for index, (_, _, period_ms) in enumerate(ARRIVALS):
            self.push(period_ms // 2, "arrive", index)
        self.push(0, "tick", 0)
        while self.events[0][0] < END_MS:
            now_ms, _, kind, number = heapq.heappop(self.events)
            match kind:
                case "arrive":
                    self.arrive(now_ms, number)
                case "tick":
                    self.tick(now_ms)
                case _:
                    self.finish(now_ms, kind, number)
        return "\n".join(self.lines)

    def push(self, at_ms: int, kind: str, number: int) -> None:
        heapq.heappush(self.events, (at_ms, len(self.lines) * 10 + len(self.events), kind, number))

    def write(self, now_ms: int, event: str, call: str, result: str) -> None:
        self.lines.append(f"{now_ms:>5} {event:<8} {call:<12} {result}")

    def arrive(self, now_ms: int, index: int) -> None:
        account, priority, period_ms = ARRIVALS[index]
        faster = 6 if account == "surging" and now_ms in SURGE else 1
        self.push(now_ms + period_ms // faster, "arrive", index)
        call = f"{account}-{now_ms}"
        excess = self.chain.excess_milli(now_ms, account, priority, ROUTE)
        rank = shed_rank(priority, excess, call)
        early = self.chain.should_shed(now_ms, rank, ROUTE, account, priority)
        if early is not None:
            self.write(now_ms, "entry", call, describe(early))
            return
        represented = self.chain.take_represented(now_ms, ROUTE, account, priority)
        ticket = Ticket(
            call, account, 1, priority, rank, now_ms + 300, 20, False, ROUTE, represented
        )
        self.calls[call] = ticket
        offer = self.gate.offer(now_ms, ticket)
        self.write(now_ms, "offer", call, describe(offer.verdict))
        self.apply(now_ms, list(offer.evicted))
        if isinstance(offer.verdict, Dispatch):
            self.start(now_ms, call)
        if isinstance(offer.verdict, Refusal):
            self.note_level(now_ms, ticket)

    def start(self, now_ms: int, call: str) -> None:
        run_ms = self.random.randint(12, 28) * (3 if now_ms in SLOW else 1)
        self.push(now_ms + run_ms, call, run_ms)

    def finish(self, now_ms: int, call: str, run_ms: int) -> None:
        self.write(now_ms, "release", call, f"after {run_ms} ms")
        self.apply(now_ms, self.gate.release(now_ms, call, Outcome.SUCCESS, run_ms))
        self.note_level(now_ms, self.calls[call])

    def note_level(self, now_ms: int, ticket: Ticket) -> None:
        level = self.gate.level(ticket.account, ticket.priority)
        self.chain.note_answer(now_ms, ROUTE, ticket.account, ticket.priority, [level])

    def tick(self, now_ms: int) -> None:
        self.push(now_ms + 20, "tick", 0)
        self.apply(now_ms, self.gate.tick(now_ms))
        if now_ms % 100 == 0:
            state = self.gate.describe()
            text = " ".join(f"{key}={value}" for key, value in state.items())
            self.write(now_ms, "state", "", text)

    def apply(self, now_ms: int, actions: list[Action] | list[Refuse]) -> None:
        for action in actions:
            call = str(action.call_id)
            if isinstance(action, Refuse):
                self.write(now_ms, "refuse", call, describe(action.refusal))
                self.note_level(now_ms, self.calls[call])
            else:
                self.write(now_ms, "start", call, "")
                self.start(now_ms, call)


def describe(verdict: Dispatch | Queued | Refusal) -> str:
    """Return a verdict as text."""
    match verdict:
        case Dispatch():
            return "dispatched"
        case Queued(wait_ms):
            return f"queued, expected wait {wait_ms} ms"
        case Refusal(code, _, run_state, retry_after_ms):
            return f"{code.name}, {run_state.value}, retry after {retry_after_ms} ms"


def test_overload_episode(snapshot: SnapshotAssertion) -> None:
    session = Session().run()
    lines = [" ".join(line.split()) for line in session.splitlines()]
    refused_urgent = [
        line for line in lines if " vet-" in line and ("SHED" in line or "QUEUE_FULL" in line)
    ]
    assert refused_urgent == []
    assert "\n".join(lines) == snapshot
