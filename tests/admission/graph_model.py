"""A call graph in simulated time that drives the real gates and the real levels."""

import heapq
import math
from collections import Counter
from collections.abc import Callable
from random import Random

import attrs

from wisteria_admission import (
    AdmissionConfig,
    AdmissionGate,
    AdmissionLevel,
    ChainLevels,
    Dispatch,
    FixedLimiter,
    Queued,
    Refuse,
    Ticket,
    shed_rank,
)
from wisteria_core import Priority, Refusal

TICK_MS = 20
WAY_MS = 1
HASTY_MS = 20


@attrs.frozen
class Kind:
    """One kind of call.

    Parameters
    ----------
    work_ms : float
        Mean of the own work; single calls scatter.
    calls : tuple of (str, int)
        Kinds that it calls one after the other, and how often.
    time_out_ms : int
        Time that a root request has.
    """

    name: str
    service: str
    work_ms: float
    calls: tuple[tuple[str, int], ...] = ()
    priority: Priority = Priority.NORMAL
    time_out_ms: int = 2_000


@attrs.frozen
class Arrivals:
    """Root requests of one kind: calls a second at a moment."""

    kind: str
    per_s: Callable[[float], float]


@attrs.define(eq=False)
class _Server:
    gate: AdmissionGate
    speed: float
    waiting: dict[int, Callable[[Refusal | None], None]] = attrs.field(factory=dict)

    def load(self) -> float:
        return (self.gate.running() + self.gate.queued()) / self.gate.slots


@attrs.define(eq=False)
class _Call:
    """One call on its way; `done` gets whether it succeeded and the levels heard."""

    kind: Kind
    rank: int
    span: int
    represented: int
    priority: Priority
    deadline_ms: float
    is_child: bool
    done: Callable[[bool, tuple[AdmissionLevel, ...]], None]


@attrs.define(eq=False)
class GraphModel:
    """Services, kinds of call and clients.

    Parameters
    ----------
    servers : dict
        Slots and speed of each server of a service.
    admission : AdmissionConfig
        Parameters of every gate.
    retries : int
        Times that a client comes back after a refusal.
    """

    kinds: dict[str, Kind]
    servers: dict[str, tuple[tuple[int, float], ...]]
    admission: AdmissionConfig
    seed: int = 1
    retries: int = 1
    now_ms: float = 0.0
    counts: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    served_at: list[tuple[float, str]] = attrs.field(factory=list)
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _seq: int = 0
    _random: Random = attrs.field(init=False)
    _levels: ChainLevels = attrs.field(factory=ChainLevels)
    _fleet: dict[str, list[_Server]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._random = Random(self.seed)
        self._fleet = {
            service: [
                _Server(
                    AdmissionGate(
                        slots, service, f"{service}{n}", self.admission, FixedLimiter(slots)
                    ),
                    speed,
                )
                for n, (slots, speed) in enumerate(servers)
            ]
            for service, servers in self.servers.items()
        }

    def run(self, arrivals: list[Arrivals], until_ms: float) -> None:
        """Play until a moment."""
        for one in arrivals:
            self._arrive(one)
        self._tick()
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, act = heapq.heappop(self._events)
            act()

    def count_served(self, since_ms: float, until_ms: float, kind: str | None = None) -> int:
        """Return the root requests answered in time within a span."""
        return sum(
            1
            for at_ms, name in self.served_at
            if since_ms <= at_ms < until_ms and kind in (None, name)
        )

    def _after(self, delay_ms: float, act: Callable[[], None]) -> None:
        self._seq += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._seq, act))

    def _tick(self) -> None:
        for servers in self._fleet.values():
            for server in servers:
                self._apply(server, server.gate.tick(int(self.now_ms)))
        self._after(TICK_MS, self._tick)

    def _arrive(self, arrivals: Arrivals) -> None:
        per_s = arrivals.per_s(self.now_ms)
        if per_s > 0:
            kind = self.kinds[arrivals.kind]
            self._request(kind, self.now_ms + kind.time_out_ms, self.retries)
        gap_ms = self._random.expovariate(max(per_s, 1.0) / 1_000)
        self._after(gap_ms, lambda: self._arrive(arrivals))

    def _request(self, kind: Kind, deadline_ms: float, retries: int) -> None:
        now = int(self.now_ms)
        levels, account = self._levels, "a"
        excess = levels.excess_milli(now, account, kind.priority, kind.name)
        span = levels.rank_span(now, kind.name)
        rank = shed_rank(kind.priority, excess, str(self._random.random()), span)
        refusal = levels.should_shed(now, rank, kind.name, account, kind.priority)
        if refusal is not None:
            self._come_back(kind, deadline_ms, retries, refusal)
            return
        represented = levels.take_represented(now, kind.name, account, kind.priority)

        def done(succeeded: bool, found: tuple[AdmissionLevel, ...]) -> None:
            levels.note_answer(int(self.now_ms), kind.name, account, kind.priority, found)
            in_time = succeeded and self.now_ms <= deadline_ms
            self.counts[kind.name, "served" if in_time else "failed"] += 1
            if in_time:
                self.served_at.append((self.now_ms, kind.name))

        call = _Call(
            kind, rank, span, represented, kind.priority, deadline_ms, is_child=False, done=done
        )
        self._after(WAY_MS, lambda: self._send(call))

    def _come_back(self, kind: Kind, deadline_ms: float, retries: int, refusal: Refusal) -> None:
        self.counts[kind.name, "refused"] += 1
        left_ms = deadline_ms - self.now_ms
        if retries and left_ms > 0:
            pause_ms = min(refusal.retry_after_ms or HASTY_MS, left_ms / 3)
            self._after(pause_ms, lambda: self._request(kind, deadline_ms, retries - 1))

    def _send(self, call: _Call) -> None:
        servers = self._fleet[call.kind.service]
        server = min(self._random.sample(servers, min(2, len(servers))), key=_Server.load)
        self._seq += 1
        ticket = Ticket(
            call_id=self._seq,
            account="a",
            weight=1,
            priority=call.priority,
            rank=call.rank,
            deadline_at_ms=int(call.deadline_ms),
            route=call.kind.name,
            represented=call.represented,
            is_child=call.is_child,
            rank_span=call.span,
        )
        offer = server.gate.offer(int(self.now_ms), ticket)
        self._apply(server, list(offer.evicted))
        match offer.verdict:
            case Dispatch():
                self._start(server, ticket, call)
            case Queued():
                server.waiting[self._seq] = lambda refusal: self._leave_queue(
                    server, ticket, call, refusal
                )
            case _:
                self._end(server, None, call, False, ())

    def _apply(self, server: _Server, actions: "list[Dispatch | Refuse] | list[Refuse]") -> None:
        for action in actions:
            act = server.waiting.pop(action.call_id, None)  # type: ignore[call-overload]
            if act is not None:
                act(action.refusal if isinstance(action, Refuse) else None)

    def _leave_queue(
        self, server: _Server, ticket: Ticket, call: _Call, refusal: Refusal | None
    ) -> None:
        if refusal is not None:
            self._end(server, None, call, False, ())
        else:
            self._start(server, ticket, call)

    def _start(self, server: _Server, ticket: Ticket, call: _Call) -> None:
        started_ms = self.now_ms
        work_ms = call.kind.work_ms * self._random.lognormvariate(-0.125, 0.5) / server.speed
        children = [name for name, times in call.kind.calls for _ in range(times)]
        heard: dict[tuple[str, str], AdmissionLevel] = {}

        def go_on(succeeded: bool, found: tuple[AdmissionLevel, ...]) -> None:
            for level in found:
                known = heard.get((level.service, level.vm_id))
                work = level.work_ms + (known.work_ms if known else 0)
                heard[level.service, level.vm_id] = attrs.evolve(level, work_ms=work)
            if not succeeded or self.now_ms > call.deadline_ms:
                finish(False)
            elif children:
                kind = self.kinds[children.pop()]
                child = attrs.evolve(call, kind=kind, is_child=True, done=go_on)
                self._after(WAY_MS, lambda: self._send(child))
            else:
                finish(True)

        def finish(succeeded: bool) -> None:
            held_ms = max(1, int(self.now_ms - started_ms))
            self._end(server, (ticket, held_ms), call, succeeded, tuple(heard.values()))

        left_ms = call.deadline_ms - self.now_ms
        if work_ms > left_ms:
            self._after(max(0.0, left_ms), lambda: finish(False))
        else:
            self._after(work_ms, lambda: go_on(True, ()))

    def _end(
        self,
        server: _Server,
        held: tuple[Ticket, int] | None,
        call: _Call,
        succeeded: bool,
        below: tuple[AdmissionLevel, ...],
    ) -> None:
        own = server.gate.level("a", call.priority)
        if held is not None:
            from wisteria_admission import Outcome

            ticket, held_ms = held
            own = attrs.evolve(own, work_ms=held_ms)
            outcome = Outcome.SUCCESS if succeeded else Outcome.TIMEOUT
            actions = server.gate.release(int(self.now_ms), ticket.call_id, outcome, held_ms)
            self._apply(server, actions)
        self._after(WAY_MS, lambda: call.done(succeeded, (own, *below)))


def surge(usual: float, times: float, since_ms: float, until_ms: float) -> Callable[[float], float]:
    """Return a rate that is multiplied during a span."""
    return lambda now_ms: usual * (times if since_ms <= now_ms < until_ms else 1.0)


def scale(per_s: float) -> Callable[[float], float]:
    """Return a constant rate."""
    return lambda _now_ms: per_s


def percent(part: float, whole: float) -> int:
    """Return a share in whole percent, rounded down."""
    return math.floor(100 * part / whole) if whole else 0
