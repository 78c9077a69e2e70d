"""Simulated call graph that drives the production admission gates and chain levels."""

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
NETWORK_DELAY_MS = 1
AGGRESSIVE_RETRY_MS = 20
AGGRESSIVE_RETRIES = 3
COLD_START_MS = 3_000
COLD_SLOWNESS = 2.0


@attrs.frozen
class CallKind:
    """One kind of call.

    Parameters
    ----------
    work_ms : float
        Mean processing time without child calls; individual calls vary around it.
    calls : tuple of (str, int)
        Kinds of its child calls, and the number of each.
    timeout_ms : int
        Time to the deadline of a root request.
    parallel : bool
        Whether the child calls are made in parallel; otherwise one after the other.
    """

    name: str
    service: str
    work_ms: float
    calls: tuple[tuple[str, int], ...] = ()
    priority: Priority = Priority.NORMAL
    timeout_ms: int = 2_000
    parallel: bool = False


@attrs.frozen
class Arrivals:
    """Root requests of one kind and one account.

    Parameters
    ----------
    rate_per_s : callable
        Rate in requests/s at a simulated time in ms.
    aggressive_fraction : float
        Fraction of the clients that retry after `AGGRESSIVE_RETRY_MS`, up to
        `AGGRESSIVE_RETRIES` times.
    """

    kind: str
    rate_per_s: Callable[[float], float]
    account: str = "a"
    aggressive_fraction: float = 0.0


@attrs.frozen
class ServerFault:
    """A fault of one server during a span of time.

    Parameters
    ----------
    service, index : str, int
        The server, by its index within the service.
    slowness : float
        Factor on its run times.
    rejection_rate : float
        Fraction of its calls that it rejects without running them, regardless of its load.
    is_absent : bool
        Whether the server takes no calls; it joins cold at the end of the span.
    """

    service: str
    index: int
    since_ms: float
    until_ms: float
    slowness: float = 1.0
    rejection_rate: float = 0.0
    is_absent: bool = False


@attrs.define(eq=False)
class _Server:
    gate: AdmissionGate
    speed: float
    faults: tuple[ServerFault, ...] = ()
    waiting: dict[int, Callable[[Refusal | None], None]] = attrs.field(factory=dict)

    def load(self) -> float:
        return (self.gate.running() + self.gate.queued()) / self.gate.slots

    def is_present(self, now_ms: float) -> bool:
        return not any(one.is_absent for one in self._active_faults(now_ms))

    def rejection_rate(self, now_ms: float) -> float:
        return max((one.rejection_rate for one in self._active_faults(now_ms)), default=0.0)

    def slowness(self, now_ms: float) -> float:
        """Return the factor on run times from active faults and a cold start after an absence."""
        factor = math.prod(one.slowness for one in self._active_faults(now_ms))
        is_cold = any(
            one.is_absent and 0 <= now_ms - one.until_ms < COLD_START_MS for one in self.faults
        )
        return factor * (COLD_SLOWNESS if is_cold else 1.0)

    def _active_faults(self, now_ms: float) -> list[ServerFault]:
        return [one for one in self.faults if one.since_ms <= now_ms < one.until_ms]


@attrs.define(eq=False)
class _Call:
    """A call in flight; `done` receives whether it succeeded and the admission levels."""

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
    """Simulation of services, kinds of call and clients.

    Parameters
    ----------
    servers : dict
        Slots and speed of each server, by service.
    admission : AdmissionConfig
        Configuration of every gate.
    retries : int
        Retries of a client after refusals.
    limit_fraction : float
        Fraction of the slots below which each gate keeps its limit; 1 sets no such bound.
    knee : float
        Fraction of busy slots from which run times are multiplied by `knee_slowness`.
    served_at : list
        Time and kind of each root request that was answered in time.
    wasted_ms : float
        Run time spent on calls of requests that were not answered in time.
    """

    kinds: dict[str, CallKind]
    servers: dict[str, tuple[tuple[int, float], ...]]
    admission: AdmissionConfig
    seed: int = 1
    retries: int = 1
    faults: tuple[ServerFault, ...] = ()
    limit_fraction: float = 1.0
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
                        FixedLimiter(slots, self.limit_fraction),
                    ),
                    speed,
                    tuple(one for one in self.faults if (one.service, one.index) == (service, n)),
                )
                for n, (slots, speed) in enumerate(servers)
            ]
            for service, servers in self.servers.items()
        }

    def run(self, arrivals: list[Arrivals], until_ms: float) -> None:
        for one in arrivals:
            self._arrive(one)
        self._tick()
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self._events)
            callback()

    def count_served(self, since_ms: float, until_ms: float, kind: str | None = None) -> int:
        """Return the root requests answered in time within a span."""
        return sum(
            1
            for at_ms, name in self.served_at
            if since_ms <= at_ms < until_ms and kind in (None, name)
        )

    def _after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self._seq += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._seq, callback))

    def _tick(self) -> None:
        for servers in self._fleet.values():
            for server in servers:
                self._apply(server, server.gate.tick(int(self.now_ms)))
        self._after(TICK_MS, self._tick)

    def _arrive(self, arrivals: Arrivals) -> None:
        rate_per_s = arrivals.rate_per_s(self.now_ms)
        if rate_per_s > 0:
            kind = self.kinds[arrivals.kind]
            is_aggressive = (
                arrivals.aggressive_fraction
                and self._random.random() < arrivals.aggressive_fraction
            )
            retries = AGGRESSIVE_RETRIES if is_aggressive else self.retries
            deadline_ms = self.now_ms + kind.timeout_ms
            self.by_account[arrivals.account, "asked"] += 1
            self._request(kind, arrivals.account, deadline_ms, retries, bool(is_aggressive))
        gap_ms = self._random.expovariate(max(rate_per_s, 1.0) / 1_000)
        self._after(gap_ms, lambda: self._arrive(arrivals))

    def _request(
        self,
        kind: CallKind,
        account: str,
        deadline_ms: float,
        retries: int,
        is_aggressive: bool = False,
    ) -> None:
        now = int(self.now_ms)
        levels = self._levels
        excess = levels.excess_milli(now, account, kind.priority, kind.name)
        span = levels.rank_span(now, kind.name)
        rank = shed_rank(kind.priority, excess, str(self._random.random()), span)
        refusal = levels.should_shed(now, rank, kind.name, account, kind.priority)
        if refusal is not None:
            self.counts[kind.name, "refused"] += 1
            remaining_ms = deadline_ms - self.now_ms
            if retries and remaining_ms > 0:
                retry_delay_ms = (
                    AGGRESSIVE_RETRY_MS
                    if is_aggressive
                    else refusal.retry_after_ms or AGGRESSIVE_RETRY_MS
                )
                self._after(
                    min(retry_delay_ms, remaining_ms / 3),
                    lambda: self._request(kind, account, deadline_ms, retries - 1, is_aggressive),
                )
            return
        represented = levels.take_represented(now, kind.name, account, kind.priority)

        def done(succeeded: bool, received_levels: tuple[AdmissionLevel, ...]) -> None:
            levels.note_answer(int(self.now_ms), kind.name, account, kind.priority, received_levels)
            in_time = succeeded and self.now_ms <= deadline_ms
            self.counts[kind.name, "served" if in_time else "failed"] += 1
            if in_time:
                self.by_account[account, "served"] += 1
                self.served_at.append((self.now_ms, kind.name))
            else:
                self.wasted_ms += sum(level.work_ms for level in received_levels)

        call = _Call(
            kind, account, rank, span, represented, kind.priority, deadline_ms, False, done
        )
        self._after(NETWORK_DELAY_MS, lambda: self._send(call))

    def _send(self, call: _Call) -> None:
        servers = [one for one in self._fleet[call.kind.service] if one.is_present(self.now_ms)]
        server = min(self._random.sample(servers, min(2, len(servers))), key=_Server.load)
        rejection_rate = server.rejection_rate(self.now_ms)
        if rejection_rate and self._random.random() < rejection_rate:
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
            callback = server.waiting.pop(action.call_id, None)  # type: ignore[call-overload]
            if callback is not None:
                callback(action.refusal if isinstance(action, Refuse) else None)

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
        levels_by_server: dict[tuple[str, str], AdmissionLevel] = {}
        running = 0
        is_finished = False

        def proceed(succeeded: bool, received_levels: tuple[AdmissionLevel, ...]) -> None:
            nonlocal running
            running -= 1
            for level in received_levels:
                known = levels_by_server.get((level.service, level.vm_id))
                work = level.work_ms + (known.work_ms if known else 0)
                levels_by_server[level.service, level.vm_id] = attrs.evolve(level, work_ms=work)
            if not succeeded or self.now_ms > call.deadline_ms:
                finish(False)
            elif children:
                send_next_child()
                while children and call.kind.parallel:
                    send_next_child()
            elif not running:
                finish(True)

        def send_next_child() -> None:
            nonlocal running
            running += 1
            kind = self.kinds[children.pop()]
            child = attrs.evolve(call, kind=kind, is_child=True, done=proceed)
            self._after(NETWORK_DELAY_MS, lambda: self._send(child))

        def finish(succeeded: bool) -> None:
            nonlocal is_finished
            if is_finished:
                return
            is_finished = True
            held_ms = max(1, int(self.now_ms - started_ms))
            self._end(server, (ticket, held_ms), call, succeeded, tuple(levels_by_server.values()))

        remaining_ms = call.deadline_ms - self.now_ms
        if work_ms > remaining_ms:
            self._after(max(0.0, remaining_ms), lambda: finish(False))
        else:
            running = 1
            self._after(work_ms, lambda: proceed(True, ()))

    def _end(
        self,
        server: _Server,
        admitted: tuple[Ticket, int] | None,
        call: _Call,
        succeeded: bool,
        child_levels: tuple[AdmissionLevel, ...],
    ) -> None:
        own = server.gate.level(call.account, call.priority)
        if admitted is not None:
            ticket, held_ms = admitted
            own = attrs.evolve(own, work_ms=held_ms)
            outcome = Outcome.SUCCESS if succeeded else Outcome.TIMEOUT
            actions = server.gate.release(int(self.now_ms), ticket.call_id, outcome, held_ms)
            self._apply(server, actions)
        self._after(NETWORK_DELAY_MS, lambda: call.done(succeeded, (own, *child_levels)))


def surge(usual: float, times: float, since_ms: float, until_ms: float) -> Callable[[float], float]:
    """Return the usual rate, multiplied by `times` during a span."""
    return lambda now_ms: usual * (times if since_ms <= now_ms < until_ms else 1.0)


def constant_rate(rate_per_s: float) -> Callable[[float], float]:
    return lambda _now_ms: rate_per_s


def percent(part: float, whole: float) -> int:
    """Round down to whole percent."""
    return math.floor(100 * part / whole) if whole else 0
