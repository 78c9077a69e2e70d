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
    Outcome,
    Queued,
    Refuse,
    Ticket,
    shed_rank,
)
from wisteria_core import Priority, Refusal

TICK_MS = 20
WAY_MS = 1
HASTY_MS = 20
HASTY_RETRIES = 3
COLD_MS = 3_000
COLD_SLOWNESS = 2.0


@attrs.frozen
class CallKind:
    """One kind of call.

    Parameters
    ----------
    work_ms : float
        Mean of the own work; single calls scatter.
    calls : tuple of (str, int)
        Kinds that it calls one after the other, and how often.
    timeout_ms : int
        Time that a root request has.
    together : bool
        Whether its calls are made all at once.
    """

    name: str
    service: str
    work_ms: float
    calls: tuple[tuple[str, int], ...] = ()
    priority: Priority = Priority.NORMAL
    timeout_ms: int = 2_000
    together: bool = False


@attrs.frozen
class Arrivals:
    """Root requests of one kind: calls a second at a moment.

    Parameters
    ----------
    hasty_part : float
        Part of the clients that comes back at once and several times.
    """

    kind: str
    per_s: Callable[[float], float]
    account: str = "a"
    hasty_part: float = 0.0


@attrs.frozen
class Trouble:
    """What befalls one server for a while.

    Parameters
    ----------
    service, place : str, int
        The server, by its place in the service.
    slowness : float
        Factor on its run times.
    rejects_part : float
        Part of its calls that it rejects unrun, whatever its load.
    is_away : bool
        Whether it takes no calls: it joins at the end of the span.
    """

    service: str
    place: int
    since_ms: float
    until_ms: float
    slowness: float = 1.0
    rejects_part: float = 0.0
    is_away: bool = False


@attrs.define(eq=False)
class _Server:
    gate: AdmissionGate
    speed: float
    troubles: tuple[Trouble, ...] = ()
    waiting: dict[int, Callable[[Refusal | None], None]] = attrs.field(factory=dict)

    def load(self) -> float:
        return (self.gate.running() + self.gate.queued()) / self.gate.slots

    def is_here(self, now_ms: float) -> bool:
        return not any(one.is_away for one in self._present(now_ms))

    def rejects_part(self, now_ms: float) -> float:
        return max((one.rejects_part for one in self._present(now_ms)), default=0.0)

    def slowness(self, now_ms: float) -> float:
        """Return the factor on run times: troubles, and a cold start after one was away."""
        factor = math.prod(one.slowness for one in self._present(now_ms))
        is_cold = any(one.is_away and 0 <= now_ms - one.until_ms < COLD_MS for one in self.troubles)
        return factor * (COLD_SLOWNESS if is_cold else 1.0)

    def _present(self, now_ms: float) -> list[Trouble]:
        return [one for one in self.troubles if one.since_ms <= now_ms < one.until_ms]


@attrs.define(eq=False)
class _Call:
    """One call on its way; `done` gets whether it succeeded and the levels heard."""

    kind: CallKind
    account: str
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
    limit_part : float
        Part of the slots below which each gate keeps, 1 for all.
    knee : float
        Part of the slots from which a server runs slower by `knee_slowness`.
    served_at : list
        Moment, kind and account of each root request that was answered in time.
    wasted_ms : float
        Run time spent on calls of requests that were not answered in time.
    """

    kinds: dict[str, CallKind]
    servers: dict[str, tuple[tuple[int, float], ...]]
    admission: AdmissionConfig
    seed: int = 1
    retries: int = 1
    troubles: tuple[Trouble, ...] = ()
    limit_part: float = 1.0
    knee: float = 1.0
    knee_slowness: float = 1.0
    now_ms: float = 0.0
    counts: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    by_account: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    served_at: list[tuple[float, str]] = attrs.field(factory=list)
    wasted_ms: float = 0.0
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
                        slots,
                        service,
                        f"{service}{n}",
                        self.admission,
                        FixedLimiter(slots, self.limit_part),
                    ),
                    speed,
                    tuple(one for one in self.troubles if (one.service, one.place) == (service, n)),
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
            is_hasty = arrivals.hasty_part and self._random.random() < arrivals.hasty_part
            retries = HASTY_RETRIES if is_hasty else self.retries
            deadline_ms = self.now_ms + kind.timeout_ms
            self.by_account[arrivals.account, "asked"] += 1
            self._request(kind, arrivals.account, deadline_ms, retries, bool(is_hasty))
        gap_ms = self._random.expovariate(max(per_s, 1.0) / 1_000)
        self._after(gap_ms, lambda: self._arrive(arrivals))

    def _request(
        self, kind: CallKind, account: str, deadline_ms: float, retries: int, is_hasty: bool = False
    ) -> None:
        now = int(self.now_ms)
        levels = self._levels
        excess = levels.excess_milli(now, account, kind.priority, kind.name)
        span = levels.rank_span(now, kind.name)
        rank = shed_rank(kind.priority, excess, str(self._random.random()), span)
        refusal = levels.should_shed(now, rank, kind.name, account, kind.priority)
        if refusal is not None:
            self.counts[kind.name, "refused"] += 1
            left_ms = deadline_ms - self.now_ms
            if retries and left_ms > 0:
                advised_ms = HASTY_MS if is_hasty else refusal.retry_after_ms or HASTY_MS
                self._after(
                    min(advised_ms, left_ms / 3),
                    lambda: self._request(kind, account, deadline_ms, retries - 1, is_hasty),
                )
            return
        represented = levels.take_represented(now, kind.name, account, kind.priority)

        def done(succeeded: bool, found: tuple[AdmissionLevel, ...]) -> None:
            levels.note_answer(int(self.now_ms), kind.name, account, kind.priority, found)
            in_time = succeeded and self.now_ms <= deadline_ms
            self.counts[kind.name, "served" if in_time else "failed"] += 1
            if in_time:
                self.by_account[account, "served"] += 1
                self.served_at.append((self.now_ms, kind.name))
            else:
                self.wasted_ms += sum(level.work_ms for level in found)

        call = _Call(
            kind, account, rank, span, represented, kind.priority, deadline_ms, False, done
        )
        self._after(WAY_MS, lambda: self._send(call))

    def _send(self, call: _Call) -> None:
        servers = [one for one in self._fleet[call.kind.service] if one.is_here(self.now_ms)]
        server = min(self._random.sample(servers, min(2, len(servers))), key=_Server.load)
        rejects_part = server.rejects_part(self.now_ms)
        if rejects_part and self._random.random() < rejects_part:
            self._end(server, None, call, False, ())
            return
        self._seq += 1
        ticket = Ticket(
            call_id=self._seq,
            account=call.account,
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
        work_ms *= server.slowness(self.now_ms)
        if server.gate.running() >= self.knee * server.gate.slots:
            work_ms *= self.knee_slowness
        children = [name for name, times in call.kind.calls for _ in range(times)]
        heard: dict[tuple[str, str], AdmissionLevel] = {}
        running = 0
        is_over = False

        def go_on(succeeded: bool, found: tuple[AdmissionLevel, ...]) -> None:
            nonlocal running
            running -= 1
            for level in found:
                known = heard.get((level.service, level.vm_id))
                work = level.work_ms + (known.work_ms if known else 0)
                heard[level.service, level.vm_id] = attrs.evolve(level, work_ms=work)
            if not succeeded or self.now_ms > call.deadline_ms:
                finish(False)
            elif children:
                call_next()
                while children and call.kind.together:
                    call_next()
            elif not running:
                finish(True)

        def call_next() -> None:
            nonlocal running
            running += 1
            kind = self.kinds[children.pop()]
            child = attrs.evolve(call, kind=kind, is_child=True, done=go_on)
            self._after(WAY_MS, lambda: self._send(child))

        def finish(succeeded: bool) -> None:
            nonlocal is_over
            if is_over:
                return
            is_over = True
            held_ms = max(1, int(self.now_ms - started_ms))
            self._end(server, (ticket, held_ms), call, succeeded, tuple(heard.values()))

        left_ms = call.deadline_ms - self.now_ms
        if work_ms > left_ms:
            self._after(max(0.0, left_ms), lambda: finish(False))
        else:
            running = 1
            self._after(work_ms, lambda: go_on(True, ()))

    def _end(
        self,
        server: _Server,
        held: tuple[Ticket, int] | None,
        call: _Call,
        succeeded: bool,
        below: tuple[AdmissionLevel, ...],
    ) -> None:
        own = server.gate.level(call.account, call.priority)
        if held is not None:
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
