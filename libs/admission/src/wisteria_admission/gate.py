"""Admission gate of one serving daemon: limit, queue, deadlines, shedding."""

import math
from collections.abc import Callable, Hashable, Iterable

import attrs

from wisteria_core import Priority, Refusal, ResultCode

from .config import AdmissionConfig
from .const import HASH_RANKS, RANK_COUNT
from .demand import DemandLevel, Level
from .estimates import RunTimes
from .levels import LevelController
from .limiters import AimdLimiter, Limiter
from .models import Action, AdmissionLevel, Dispatch, Offer, Outcome, Queued, Refuse, Ticket
from .queues import FairQueue
from .shares import ShareTracker

MIN_RETRY_AFTER_MS = 50


@attrs.define
class _Lane:
    """One class of work: its queue and the calls that run."""

    queue: FairQueue
    running: dict[Hashable, Ticket] = attrs.Factory(dict)


@attrs.define
class AdmissionGate:
    """Decides which calls run on one backend server, which wait, and which are refused.

    Parameters
    ----------
    slots : int
        Calls that the backend server can run at once.
    service, vm_id : str
        Names stated in `level`.
    config : AdmissionConfig
        Parameters.
    limiter : Limiter, optional
        Concurrency limit of short calls; an AIMD limiter by default.
    """

    slots: int
    service: str = ""
    vm_id: str = ""
    config: AdmissionConfig = attrs.field(factory=AdmissionConfig)
    limiter: Limiter = attrs.field(
        default=attrs.Factory(lambda self: AimdLimiter(self.config.limiter), takes_self=True)
    )
    _short: _Lane = attrs.field(init=False)
    _long: _Lane = attrs.field(init=False)
    _times: RunTimes = attrs.field(init=False, factory=RunTimes)
    _shares: ShareTracker = attrs.field(init=False, factory=ShareTracker)
    _level: Level = attrs.field(init=False)
    _long_served_last: bool = attrs.field(init=False, default=False)

    def __attrs_post_init__(self) -> None:
        self._short = _Lane(FairQueue(self.config.newest_first))
        self._long = _Lane(FairQueue())
        demand = self.config.demand
        if demand is None:
            self._level = LevelController(self.config.level)
        else:
            self._level = DemandLevel(self.slots, demand)
        self._set_ceiling()

    def offer(self, now_ms: int, ticket: Ticket) -> Offer:
        """Decide on a call that has just arrived.

        Raises
        ------
        ValueError
            If a call of the same id is queued or running.
        """
        if self._lane_of(ticket.call_id) is not None:
            raise ValueError(f"call {ticket.call_id!r} is already known")
        if ticket.deadline_at_ms <= now_ms:
            return Offer(Refusal(ResultCode.DEADLINE_PASSED, "the deadline has passed"))
        lane = self._long if ticket.long_download else self._short
        self._count_arrival(now_ms, ticket)
        if self._may_start(lane, ticket.priority) and not self._has_waiting_before(lane, ticket):
            return Offer(self._start_or_refuse(now_ms, lane, ticket))
        return self._enqueue(now_ms, lane, ticket)

    def release(
        self,
        now_ms: int,
        call_id: Hashable,
        outcome: Outcome,
        latency_ms: int,
        child_ms: int = 0,
    ) -> list[Action]:
        """Take in the end of a dispatched call and start queued ones in its place.

        Parameters
        ----------
        now_ms : int
            Present time.
        call_id : Hashable
            A call that was dispatched; unknown ids are ignored.
        outcome : Outcome
            How it ended; a call that was cancelled after its deadline counts as timed out.
        latency_ms : int
            Time from dispatch to the end, in milliseconds.
        child_ms : int
            Part of it in which the call waited for child calls, in milliseconds. It says
            nothing of this backend server's load, so the limit does not learn from it.

        Returns
        -------
        list of Dispatch or Refuse
            What happens to queued calls.
        """
        lane = self._lane_of(call_id)
        if lane is None or call_id not in lane.running:
            return []
        ticket = lane.running[call_id]
        if outcome is Outcome.CANCELLED and now_ms >= ticket.deadline_at_ms:
            outcome = Outcome.TIMEOUT
        if lane is self._short:
            self.limiter.note(now_ms, max(0, latency_ms - child_ms), len(lane.running), outcome)
        del lane.running[call_id]
        if outcome in (Outcome.SUCCESS, Outcome.TIMEOUT) and lane is self._short:
            self._times.note(now_ms, ticket.route, latency_ms)
        return self._advance(now_ms)

    def cancel(self, now_ms: int, call_id: Hashable) -> list[Action]:
        """Forget a queued call whose caller is gone; a running one ends by `release`."""
        for lane in (self._short, self._long):
            lane.queue.remove(call_id)
        return self._advance(now_ms)

    def withdraw(self, now_ms: int, matches: Callable[[Ticket], bool]) -> list[Action]:
        """Refuse the queued calls for which `matches` holds: their key no longer stands."""
        refusal = Refusal(ResultCode.KEY_WITHDRAWN, "the key has been withdrawn")
        return [*self._drop_matching(matches, refusal), *self._advance(now_ms)]

    def drain(self, now_ms: int) -> list[Action]:
        """Refuse everything that is queued, for a planned stop."""
        refusal = Refusal(
            ResultCode.STOPPING, "this daemon is stopping", retry_after_ms=MIN_RETRY_AFTER_MS
        )
        return self._drop_matching(lambda _: True, refusal)

    def tick(self, now_ms: int) -> list[Action]:
        """Refuse queued calls that can no longer finish in time; adjust level and shares.

        Call it every few tens of milliseconds, also while nothing else happens.
        """
        refused: list[Action] = []
        for lane in (self._short, self._long):
            refused += self._refuse_late(now_ms, lane)
        self._adjust(now_ms)
        return [*refused, *self._advance(now_ms)]

    def set_slots(self, now_ms: int, slots: int) -> list[Action]:
        """Change the number of slots; running calls keep theirs."""
        self.slots = max(1, slots)
        self._set_ceiling()
        return self._advance(now_ms)

    def _set_ceiling(self) -> None:
        self.limiter.set_ceiling(self.slots)
        if isinstance(self._level, DemandLevel):
            self._level.slots = self.limiter.limit()

    def level(self, account: str, priority: Priority, work_ms: int = 0) -> AdmissionLevel:
        """Return the message to put on an answer to a call of `account` at `priority`.

        Parameters
        ----------
        work_ms : int
            Time for which the call has held its slot, in milliseconds.
        """
        return AdmissionLevel(
            self.service,
            self.vm_id,
            self._level.threshold,
            self._shares.excess_milli(account, priority),
            work_ms=work_ms,
        )

    def is_contended(self) -> bool:
        """Return whether calls wait or are being shed."""
        return self.queued() > 0 or self._level.threshold < RANK_COUNT

    def queued(self) -> int:
        """Return the number of calls that wait."""
        return len(self._short.queue) + len(self._long.queue)

    def running(self) -> int:
        """Return the number of calls that run."""
        return len(self._short.running) + len(self._long.running)

    def reserve(self) -> int:
        """Return the slots that only urgent calls may take."""
        if self.slots < 2:
            return 0
        return max(1, int(self.slots * self.config.reserve_share))

    def long_slots(self) -> int:
        """Return the slots that long downloads may take together."""
        return min(max(1, self.slots - 1), max(1, int(self.slots * self.config.long_share)))

    def describe(self) -> dict[str, int]:
        """Return the state for the operators' port."""
        return {
            "slots": self.slots,
            "limit": self.limiter.limit(),
            "running": len(self._short.running),
            "running_long": len(self._long.running),
            "queued": len(self._short.queue),
            "queued_long": len(self._long.queue),
            "threshold": self._level.threshold,
        }

    # starting

    def _may_start(self, lane: _Lane, priority: Priority) -> bool:
        spare = self.reserve() if priority is Priority.URGENT else 0
        if self.running() >= self.slots - self.reserve() + spare:
            return False
        if lane is self._long:
            return len(lane.running) < self.long_slots()
        limit = self.limiter.limit()
        return len(lane.running) < limit + min(spare, (limit + 1) // 2)

    def _start_or_refuse(self, now_ms: int, lane: _Lane, ticket: Ticket) -> Dispatch | Refusal:
        run_ms = self._run_ms(now_ms, ticket)
        if now_ms + run_ms * self.config.recheck_wait_factor >= ticket.deadline_at_ms:
            return self._unreachable(now_ms, ticket)
        lane.running[ticket.call_id] = ticket
        lane.queue.charge(ticket, math.ceil(run_ms))
        if lane is self._short:
            self._shares.note_served(ticket.priority, run_ms)
        return Dispatch(ticket.call_id)

    def _advance(self, now_ms: int) -> list[Action]:
        """Start queued calls while slots are free, the two classes in turn."""
        actions: list[Action] = []
        while (lane := self._next_lane()) is not None:
            ticket = lane.queue.pop(urgent_only=not self._may_start(lane, Priority.NORMAL))
            if ticket is None:
                break
            self._long_served_last = lane is self._long
            verdict = self._start_or_refuse(now_ms, lane, ticket)
            if isinstance(verdict, Refusal):
                actions.append(Refuse(ticket.call_id, verdict))
            else:
                actions.append(verdict)
        return actions

    def _next_lane(self) -> _Lane | None:
        lanes = (self._short, self._long) if self._long_served_last else (self._long, self._short)
        return next((lane for lane in lanes if self._can_serve(lane)), None)

    def _can_serve(self, lane: _Lane) -> bool:
        if lane.queue.size_of(Priority.URGENT) and self._may_start(lane, Priority.URGENT):
            return True
        return len(lane.queue) > 0 and self._may_start(lane, Priority.NORMAL)

    @staticmethod
    def _has_waiting_before(lane: _Lane, ticket: Ticket) -> bool:
        return any(lane.queue.size_of(p) for p in Priority if p <= ticket.priority)

    # queueing

    def _enqueue(self, now_ms: int, lane: _Lane, ticket: Ticket) -> Offer:
        is_sheddable = self.config.sheds_children or not ticket.is_child
        if lane is self._short and is_sheddable and not self._level.admits(ticket.rank):
            return Offer(self._refusal(now_ms, ticket, ResultCode.SHED, "load is being shed"))
        wait_ms = self._wait_ms(now_ms, lane, lane.queue.ahead_of(ticket) + 1)
        if now_ms + wait_ms + self._run_ms(now_ms, ticket) >= ticket.deadline_at_ms:
            return Offer(self._unreachable(now_ms, ticket))
        evicted: tuple[Refuse, ...] = ()
        if len(lane.queue) >= self.slots * self.config.queue_per_slot:
            victim = lane.queue.evict_for(ticket)
            if victim is None:
                return Offer(
                    self._refusal(now_ms, ticket, ResultCode.QUEUE_FULL, "the queue is full")
                )
            refusal = self._refusal(
                now_ms, victim, ResultCode.SHED, "work of higher rank took its place"
            )
            evicted = (Refuse(victim.call_id, refusal),)
        lane.queue.push(ticket)
        return Offer(Queued(math.ceil(wait_ms)), evicted)

    def _refuse_late(self, now_ms: int, lane: _Lane) -> list[Action]:
        factor = self.config.recheck_wait_factor
        late = [
            ticket
            for ticket, ahead in lane.queue.positions()
            if ticket.deadline_at_ms
            <= now_ms + factor * (self._wait_ms(now_ms, lane, ahead) + self._run_ms(now_ms, ticket))
        ]
        return self._drop(late, lambda ticket: self._unreachable(now_ms, ticket))

    def _drop_matching(self, matches: Callable[[Ticket], bool], refusal: Refusal) -> list[Action]:
        found = [*self._short.queue.find(matches), *self._long.queue.find(matches)]
        return self._drop(found, lambda _: refusal)

    def _drop(
        self, tickets: Iterable[Ticket], refusal_of: Callable[[Ticket], Refusal]
    ) -> list[Action]:
        actions: list[Action] = []
        for ticket in tickets:
            lane = self._long if ticket.long_download else self._short
            lane.queue.remove(ticket.call_id)
            actions.append(Refuse(ticket.call_id, refusal_of(ticket)))
        return actions

    # estimating

    def _count_arrival(self, now_ms: int, ticket: Ticket) -> None:
        if ticket.long_download:
            return
        demand_ms = self._run_ms(now_ms, ticket) * max(1, ticket.represented)
        self._shares.note_demand(ticket.account, ticket.priority, ticket.weight, demand_ms)
        self._level.note_arrival(ticket.rank)
        excess_milli = self._shares.excess_milli(ticket.account, ticket.priority)
        self._level.note_demand(ticket.priority, excess_milli, ticket.rank_span, demand_ms)

    def _adjust(self, now_ms: int) -> None:
        queue = self._short.queue
        wait_ms = self._wait_ms(now_ms, self._short, len(queue))
        urgent_ms = self._wait_ms(now_ms, self._short, queue.size_of(Priority.URGENT))
        idle = not queue and self._may_start(self._short, Priority.NORMAL)
        full_ms = self._wait_ms(now_ms, self._short, self.slots * self.config.queue_per_slot)
        run_ms = self._times.overall_ms(now_ms)
        self._level.update(now_ms, run_ms, full_ms, wait_ms, urgent_ms, idle)
        self._shares.update(now_ms, len(queue) > 0 or self._level.threshold < RANK_COUNT)

    def _run_ms(self, now_ms: int, ticket: Ticket) -> float:
        if ticket.long_download:
            return float(ticket.cost_ms)
        return self._times.run_ms(now_ms, ticket.route, ticket.cost_ms)

    def _wait_ms(self, now_ms: int, lane: _Lane, ahead: int) -> float:
        """Return the expected wait until `ahead` calls have been started."""
        if lane is self._long:
            return 0.0
        return ahead * self._times.overall_ms(now_ms) / max(1, self.limiter.limit())

    def _unreachable(self, now_ms: int, ticket: Ticket) -> Refusal:
        if ticket.deadline_at_ms <= now_ms:
            return Refusal(ResultCode.DEADLINE_PASSED, "the deadline passed while it was queued")
        return self._refusal(
            now_ms, ticket, ResultCode.DEADLINE_UNREACHABLE, "it cannot finish by its deadline"
        )

    def _refusal(self, now_ms: int, ticket: Ticket, code: ResultCode, reason: str) -> Refusal:
        """Return a refusal that spreads the callers' return over the time to drain the queue."""
        drain_ms = self._wait_ms(now_ms, self._short, len(self._short.queue))
        spread = 1.0 + (ticket.rank % HASH_RANKS) / HASH_RANKS
        after_ms = int((MIN_RETRY_AFTER_MS + drain_ms) * spread)
        return Refusal(code, reason, retry_after_ms=min(self.config.max_retry_after_ms, after_ms))

    def _lane_of(self, call_id: Hashable) -> _Lane | None:
        for lane in (self._short, self._long):
            if call_id in lane.running or call_id in lane.queue:
                return lane
        return None
