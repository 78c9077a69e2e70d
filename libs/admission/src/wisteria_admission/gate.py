"""Admission gate of one serving daemon: concurrency limit, queue, deadlines, load shedding."""

import math
from collections.abc import Callable, Hashable, Iterable

import attrs

from wisteria_core import Priority, Refusal, ResultCode

from .cold_start import ColdStart
from .config import AdmissionConfig
from .const import HASH_RANKS, MS_PER_S, RANK_COUNT
from .demand import DemandLevel, SheddingLevel
from .estimates import RunTimeEstimates
from .levels import LevelController
from .limiters import AimdLimiter, Limiter
from .models import Action, AdmissionLevel, Dispatch, Offer, Outcome, Queued, Refuse, Ticket
from .queues import FairQueue
from .rate_limit import NamedRateLimit
from .shares import ShareTracker

MAX_TOKEN_QUEUE_MS = 300
"""Longest time for which calls are queued for a token; later ones are better off elsewhere."""
MIN_RETRY_AFTER_MS = 50
STOPPING = Refusal(
    ResultCode.STOPPING, "this daemon is stopping", retry_after_ms=MIN_RETRY_AFTER_MS
)


@attrs.define
class _Pool:
    """Queued and running calls of one class of work: short calls or long downloads."""

    queue: FairQueue
    running: dict[Hashable, Ticket] = attrs.Factory(dict)


@attrs.define
class AdmissionGate:
    """Decides which calls run on one backend server, which wait, and which are refused.

    Parameters
    ----------
    slots : int
        Calls that the backend server can run concurrently.
    service, vm_id : str
        Names reported in `level`.
    limiter : Limiter, optional
        Concurrency limit of short calls; an AIMD limiter by default.
    cold_start : ColdStart
        Rate limit while the backend server is cold.
    """

    slots: int
    service: str = ""
    vm_id: str = ""
    config: AdmissionConfig = attrs.field(factory=AdmissionConfig)
    limiter: Limiter = attrs.field(
        default=attrs.Factory(lambda self: AimdLimiter(self.config.limiter), takes_self=True)
    )
    cold_start: ColdStart = attrs.field(factory=ColdStart)
    _short: _Pool = attrs.field(init=False)
    _long: _Pool = attrs.field(init=False)
    _run_times: RunTimeEstimates = attrs.field(init=False, factory=RunTimeEstimates)
    _shares: ShareTracker = attrs.field(init=False, factory=ShareTracker)
    _level: SheddingLevel = attrs.field(init=False)
    _long_served_last: bool = attrs.field(init=False, default=False)
    _rate_limit: NamedRateLimit = attrs.field(init=False, factory=NamedRateLimit)

    def __attrs_post_init__(self) -> None:
        self._short = _Pool(FairQueue(self.config.newest_first))
        self._long = _Pool(FairQueue())
        demand = self.config.demand
        if demand is None:
            self._level = LevelController(self.config.level)
        else:
            self._level = DemandLevel(self.slots, demand)
        self._set_ceiling()

    def offer(self, now_ms: int, ticket: Ticket) -> Offer:
        """Decide whether an arriving call runs, waits or is refused.

        Raises
        ------
        ValueError
            If a call with the same id is queued or running.
        """
        if self._pool_of(ticket.call_id) is not None:
            raise ValueError(f"call {ticket.call_id!r} is already queued or running")
        if ticket.deadline_at_ms <= now_ms:
            return Offer(Refusal(ResultCode.DEADLINE_PASSED, "the deadline has passed"))
        pool = self._long if ticket.long_download else self._short
        self._note_arrival(now_ms, ticket)
        if self._may_start(now_ms, pool, ticket.priority) and not self._has_waiting_before(
            pool, ticket
        ):
            return Offer(self._start_or_refuse(now_ms, pool, ticket))
        return self._enqueue(now_ms, pool, ticket)

    def release(
        self,
        now_ms: int,
        call_id: Hashable,
        outcome: Outcome,
        latency_ms: int,
        child_ms: int = 0,
    ) -> list[Action]:
        """Release the slot of an ended call and start queued calls.

        Parameters
        ----------
        call_id : Hashable
            A call that was dispatched; unknown ids are ignored.
        outcome : Outcome
            How it ended; a call that was cancelled after its deadline counts as timed out.
        latency_ms : int
            Time from dispatch to the end, in milliseconds.
        child_ms : int
            Part of it spent waiting for child calls, in milliseconds; excluded from the limiter's
            samples, as it does not reflect this server's load.

        Returns
        -------
        list of Dispatch or Refuse
            What happens to queued calls.
        """
        pool = self._pool_of(call_id)
        if pool is None or call_id not in pool.running:
            return []
        ticket = pool.running[call_id]
        if outcome is Outcome.CANCELLED and now_ms >= ticket.deadline_at_ms:
            outcome = Outcome.TIMEOUT
        if pool is self._short:
            self.limiter.note(now_ms, max(0, latency_ms - child_ms), len(pool.running), outcome)
        del pool.running[call_id]
        if outcome in (Outcome.SUCCESS, Outcome.TIMEOUT) and pool is self._short:
            self._run_times.note(now_ms, ticket.route, latency_ms)
        return self._start_queued(now_ms)

    def cancel(self, now_ms: int, call_id: Hashable) -> list[Action]:
        """Remove a queued call whose caller has gone; a running call ends with `release`."""
        for pool in (self._short, self._long):
            pool.queue.remove(call_id)
        return self._start_queued(now_ms)

    def withdraw(self, now_ms: int, matches: Callable[[Ticket], bool]) -> list[Action]:
        """Refuse the queued calls for which `matches` holds, because their key was withdrawn."""
        refusal = Refusal(ResultCode.KEY_WITHDRAWN, "the key has been withdrawn")
        return [*self._drop_matching(matches, refusal), *self._start_queued(now_ms)]

    def drain(self, now_ms: int, refusal: Refusal = STOPPING) -> list[Action]:
        """Refuse all queued calls, for a planned stop of the daemon or of its backend server."""
        return self._drop_matching(lambda _: True, refusal)

    def tick(self, now_ms: int) -> list[Action]:
        """Refuse queued calls that can no longer meet their deadline; update level and shares.

        Must be called every few tens of milliseconds, even without other events.
        """
        refused: list[Action] = []
        for pool in (self._short, self._long):
            refused += self._refuse_late(now_ms, pool)
        self._update_levels(now_ms)
        return [*refused, *self._start_queued(now_ms)]

    def set_slots(self, now_ms: int, slots: int) -> list[Action]:
        """Change the number of slots; running calls are not interrupted."""
        self.slots = max(1, slots)
        self._set_ceiling()
        return self._start_queued(now_ms)

    def _set_ceiling(self) -> None:
        self.limiter.set_ceiling(self.slots)
        if isinstance(self._level, DemandLevel):
            self._level.slots = self.limiter.limit()

    def note_rate_limit(self, now_ms: int, per_s: float) -> None:
        """Apply the rate limit that the backend server names in an answer, in calls per second."""
        self._rate_limit.note_named(now_ms, per_s)

    def note_unlimited(self, sent_ms: int) -> None:
        """Count an answer without a rate limit, to a call that was sent at `sent_ms`."""
        self._rate_limit.note_not_named(sent_ms)

    def capacity(self, now_ms: int) -> float:
        """Return the number of calls that may run concurrently, at least 1.

        By Little's law, a rate limit keeps as many calls running as arrive within a run time.
        """
        limit = float(self.limiter.limit())
        per_s = self.rate_per_s(now_ms)
        if per_s is None:
            return limit
        return max(1.0, min(limit, per_s * self._run_times.overall_ms(now_ms) / MS_PER_S))

    def level(self, account: str, priority: Priority, work_ms: int = 0) -> AdmissionLevel:
        """Return the level to attach to an answer to a call of `account` at `priority`.

        Parameters
        ----------
        work_ms : int
            Time for which the call has occupied its slot, in milliseconds.
        """
        return AdmissionLevel(
            self.service,
            self.vm_id,
            self._level.threshold,
            self._shares.excess_milli(account, priority),
            work_ms=work_ms,
        )

    def rate_per_s(self, now_ms: int) -> float | None:
        """Return the calls per second that the backend server may be sent; None if unlimited."""
        rates = (self._rate_limit.per_s, self.cold_start.per_s(now_ms))
        return min((per_s for per_s in rates if per_s is not None), default=None)

    def is_contended(self) -> bool:
        """Return whether calls wait or are being shed."""
        return self.queued() > 0 or self._level.threshold < RANK_COUNT

    def queued(self) -> int:
        return len(self._short.queue) + len(self._long.queue)

    def running(self) -> int:
        return len(self._short.running) + len(self._long.running)

    def reserve(self) -> int:
        """Return the number of slots reserved for urgent calls."""
        if self.slots < 2:
            return 0
        return max(1, int(self.slots * self.config.reserve_share))

    def long_slots(self) -> int:
        """Return the number of slots that long downloads together may occupy."""
        return min(max(1, self.slots - 1), max(1, int(self.slots * self.config.long_share)))

    def describe(self) -> dict[str, float | None]:
        """Return the state shown on the operator port."""
        return {
            "slots": self.slots,
            "limit": self.limiter.limit(),
            "running": len(self._short.running),
            "running_long": len(self._long.running),
            "queued": len(self._short.queue),
            "queued_long": len(self._long.queue),
            "threshold": self._level.threshold,
            "rate_limit_per_s": self._rate_limit.per_s,
        }

    # starting

    def _may_start(self, now_ms: int, pool: _Pool, priority: Priority) -> bool:
        if not (self._rate_limit.has_token(now_ms) and self.cold_start.has_token(now_ms)):
            return False
        urgent_extra = self.reserve() if priority is Priority.URGENT else 0
        if self.running() >= self.slots - self.reserve() + urgent_extra:
            return False
        if pool is self._long:
            return len(pool.running) < self.long_slots()
        limit = self.limiter.limit()
        return len(pool.running) < limit + min(urgent_extra, (limit + 1) // 2)

    def _start_or_refuse(self, now_ms: int, pool: _Pool, ticket: Ticket) -> Dispatch | Refusal:
        run_ms = self._run_ms(now_ms, ticket)
        if now_ms + run_ms * self.config.recheck_wait_factor >= ticket.deadline_at_ms:
            return self._refuse_deadline(now_ms, ticket)
        pool.running[ticket.call_id] = ticket
        self._rate_limit.take(now_ms)
        self.cold_start.take(now_ms)
        pool.queue.charge(ticket, math.ceil(run_ms))
        if pool is self._short:
            self._shares.note_served(ticket.priority, run_ms)
        return Dispatch(ticket.call_id)

    def _start_queued(self, now_ms: int) -> list[Action]:
        """Start queued calls while slots are free, alternating between the two pools."""
        actions: list[Action] = []
        while (pool := self._next_pool(now_ms)) is not None:
            urgent_only = not self._may_start(now_ms, pool, Priority.NORMAL)
            ticket = pool.queue.pop(urgent_only)
            if ticket is None:
                break
            self._long_served_last = pool is self._long
            verdict = self._start_or_refuse(now_ms, pool, ticket)
            if isinstance(verdict, Refusal):
                actions.append(Refuse(ticket.call_id, verdict))
            else:
                actions.append(verdict)
        return actions

    def _next_pool(self, now_ms: int) -> _Pool | None:
        pools = (self._short, self._long) if self._long_served_last else (self._long, self._short)
        return next((pool for pool in pools if self._can_serve(now_ms, pool)), None)

    def _can_serve(self, now_ms: int, pool: _Pool) -> bool:
        if pool.queue.size_of(Priority.URGENT) and self._may_start(now_ms, pool, Priority.URGENT):
            return True
        return len(pool.queue) > 0 and self._may_start(now_ms, pool, Priority.NORMAL)

    @staticmethod
    def _has_waiting_before(pool: _Pool, ticket: Ticket) -> bool:
        return any(pool.queue.size_of(p) for p in Priority if p <= ticket.priority)

    # queueing

    def _enqueue(self, now_ms: int, pool: _Pool, ticket: Ticket) -> Offer:
        is_sheddable = self.config.sheds_children or not ticket.is_child
        if pool is self._short and is_sheddable and not self._level.admits(ticket.rank):
            return Offer(self._make_refusal(now_ms, ticket, ResultCode.SHED, "load is being shed"))
        wait_ms = self._wait_ms(now_ms, pool, pool.queue.ahead_of(ticket) + 1)
        if now_ms + wait_ms + self._run_ms(now_ms, ticket) >= ticket.deadline_at_ms:
            return Offer(self._refuse_deadline(now_ms, ticket))
        evicted: tuple[Refuse, ...] = ()
        if len(pool.queue) >= self._max_queued(now_ms):
            victim = pool.queue.evict_for(ticket)
            if victim is None:
                return Offer(
                    self._make_refusal(now_ms, ticket, ResultCode.QUEUE_FULL, "the queue is full")
                )
            refusal = self._make_refusal(
                now_ms, victim, ResultCode.SHED, "work of higher rank took its place"
            )
            evicted = (Refuse(victim.call_id, refusal),)
        pool.queue.push(ticket)
        return Offer(Queued(math.ceil(wait_ms)), evicted)

    def _refuse_late(self, now_ms: int, pool: _Pool) -> list[Action]:
        factor = self.config.recheck_wait_factor
        late = [
            ticket
            for ticket, ahead in pool.queue.positions()
            if ticket.deadline_at_ms
            <= now_ms + factor * (self._wait_ms(now_ms, pool, ahead) + self._run_ms(now_ms, ticket))
        ]
        return self._drop(late, lambda ticket: self._refuse_deadline(now_ms, ticket))

    def _drop_matching(self, matches: Callable[[Ticket], bool], refusal: Refusal) -> list[Action]:
        found = [*self._short.queue.find(matches), *self._long.queue.find(matches)]
        return self._drop(found, lambda _: refusal)

    def _drop(
        self, tickets: Iterable[Ticket], refusal_of: Callable[[Ticket], Refusal]
    ) -> list[Action]:
        actions: list[Action] = []
        for ticket in tickets:
            pool = self._long if ticket.long_download else self._short
            pool.queue.remove(ticket.call_id)
            actions.append(Refuse(ticket.call_id, refusal_of(ticket)))
        return actions

    # estimating

    def _note_arrival(self, now_ms: int, ticket: Ticket) -> None:
        if ticket.long_download:
            return
        demand_ms = self._run_ms(now_ms, ticket) * max(1, ticket.represented)
        self._shares.note_demand(ticket.account, ticket.priority, ticket.weight, demand_ms)
        self._level.note_arrival(ticket.rank)
        excess_milli = self._shares.excess_milli(ticket.account, ticket.priority)
        self._level.note_demand(ticket.priority, excess_milli, ticket.rank_span, demand_ms)

    def _update_levels(self, now_ms: int) -> None:
        queue = self._short.queue
        wait_ms = self._wait_ms(now_ms, self._short, len(queue))
        urgent_ms = self._wait_ms(now_ms, self._short, queue.size_of(Priority.URGENT))
        idle = not queue and self._may_start(now_ms, self._short, Priority.NORMAL)
        if isinstance(self._level, DemandLevel):
            self._level.slots = self.capacity(now_ms)
        full_queue_wait_ms = self._wait_ms(now_ms, self._short, self._max_queued(now_ms))
        run_ms = self._run_times.overall_ms(now_ms)
        self._level.update(now_ms, run_ms, full_queue_wait_ms, wait_ms, urgent_ms, idle)
        self._shares.update(now_ms, len(queue) > 0 or self._level.threshold < RANK_COUNT)

    def _run_ms(self, now_ms: int, ticket: Ticket) -> float:
        if ticket.long_download:
            return float(ticket.cost_ms)
        return self._run_times.run_ms(now_ms, ticket.route, ticket.cost_ms)

    def _wait_ms(self, now_ms: int, pool: _Pool, ahead: int) -> float:
        """Return the expected time until `ahead` calls have started."""
        rate_wait_ms = max(
            self._rate_limit.wait_ms(now_ms, ahead), self.cold_start.wait_ms(now_ms, ahead)
        )
        if pool is self._long:
            return rate_wait_ms
        slot_wait_ms = ahead * self._run_times.overall_ms(now_ms) / max(1, self.limiter.limit())
        return max(slot_wait_ms, rate_wait_ms)

    def _max_queued(self, now_ms: int) -> int:
        slots_queue = self.slots * self.config.queue_per_slot
        per_s = self.rate_per_s(now_ms)
        if per_s is None:
            return slots_queue
        # bounded before it is converted, as the product may be infinite
        return int(min(slots_queue, per_s * MAX_TOKEN_QUEUE_MS / MS_PER_S))

    def _refuse_deadline(self, now_ms: int, ticket: Ticket) -> Refusal:
        if ticket.deadline_at_ms <= now_ms:
            return Refusal(ResultCode.DEADLINE_PASSED, "the deadline passed while it was queued")
        return self._make_refusal(
            now_ms, ticket, ResultCode.DEADLINE_UNREACHABLE, "it cannot finish by its deadline"
        )

    def _make_refusal(self, now_ms: int, ticket: Ticket, code: ResultCode, reason: str) -> Refusal:
        """Return a refusal; its Retry-After covers the queue and is spread against bursts."""
        drain_ms = self._wait_ms(now_ms, self._short, len(self._short.queue))
        spread = 1.0 + (ticket.rank % HASH_RANKS) / HASH_RANKS
        after_ms = (MIN_RETRY_AFTER_MS + drain_ms) * spread
        cold_ms = self.cold_start.remaining_ms(now_ms)
        if cold_ms < math.inf:
            # earlier, only a few of those that are refused now would find room
            after_ms = max(after_ms, cold_ms + MIN_RETRY_AFTER_MS * spread)
        bounded_ms = int(min(self.config.max_retry_after_ms, after_ms))
        return Refusal(code, reason, retry_after_ms=bounded_ms)

    def _pool_of(self, call_id: Hashable) -> _Pool | None:
        for pool in (self._short, self._long):
            if call_id in pool.running or call_id in pool.queue:
                return pool
        return None
