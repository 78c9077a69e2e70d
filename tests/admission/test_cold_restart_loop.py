"""Servers that lose power together come back, instead of crashing cold again and again."""

import heapq
import itertools
from collections import deque

import attrs

from wisteria_admission import (
    Action,
    AdmissionGate,
    ColdStartLimit,
    Dispatch,
    FixedLimiter,
    Outcome,
    Ticket,
)
from wisteria_core import Priority

SERVERS = 5
SLOTS = 99
RUN_MS = 64
COLD_MS = 3_000
BORNE_PER_S = 14
"""Calls within a second at which a cold server crashes."""
DOWN_MS = 500
DEMAND_PER_S = 1_000
TIME_LIMIT_MS = 700
LIMIT = ColdStartLimit(per_s=7.0, burst=1.0, duration_ms=COLD_MS)
TICK_MS = 20
SECOND_MS = 1_000


@attrs.define
class Server:
    """A backend server that crashes when it gets too many calls while it is cold."""

    gate: AdmissionGate
    up_ms: int = 0
    started_ms: int = 0
    crashes: int = 0
    arrivals: deque[int] = attrs.field(factory=deque)

    def receives(self, now_ms: int) -> bool:
        """Return whether it takes a call; it may crash on it."""
        if now_ms < self.up_ms:
            return False
        self.arrivals.append(now_ms)
        while self.arrivals[0] <= now_ms - SECOND_MS:
            self.arrivals.popleft()
        is_cold = now_ms < self.up_ms + COLD_MS
        if is_cold and len(self.arrivals) > BORNE_PER_S:
            self.up_ms, self.crashes = now_ms + DOWN_MS, self.crashes + 1
            self.arrivals.clear()
            return False
        return True


class Service:
    """A service whose servers all start at 0, under its usual load."""

    def __init__(self, limit: ColdStartLimit | None) -> None:
        self.servers = [Server(self._make_gate(limit)) for _ in range(SERVERS)]
        self.served: list[int] = []
        self._ends: list[tuple[int, int, Server, int]] = []
        self._order = itertools.count()

    @staticmethod
    def _make_gate(limit: ColdStartLimit | None) -> AdmissionGate:
        gate = AdmissionGate(SLOTS, limiter=FixedLimiter())
        gate.set_slots(0, SLOTS)
        gate.cold_start.set_limit(0, limit)
        return gate

    def run(self, duration_ms: int) -> None:
        for now_ms in range(duration_ms):
            while self._ends and self._ends[0][0] <= now_ms:
                _, call, server, started_ms = heapq.heappop(self._ends)
                self._end(now_ms, server, call, started_ms)
            if now_ms % (SECOND_MS // DEMAND_PER_S) == 0:
                self._offer(now_ms, self.servers[now_ms % SERVERS])
            if now_ms % TICK_MS == 0:
                for server in self.servers:
                    self._apply(now_ms, server, server.gate.tick(now_ms))

    def count_served(self, from_ms: int, to_ms: int) -> int:
        return sum(from_ms <= one < to_ms for one in self.served)

    def _offer(self, now_ms: int, server: Server) -> None:
        ticket = Ticket(next(self._order), "account", 1, Priority.NORMAL, 0, now_ms + TIME_LIMIT_MS)
        verdict = server.gate.offer(now_ms, ticket).verdict
        if isinstance(verdict, Dispatch):
            self._send(now_ms, server, ticket.call_id)

    def _send(self, now_ms: int, server: Server, call: object) -> None:
        assert isinstance(call, int)
        if server.receives(now_ms):
            heapq.heappush(self._ends, (now_ms + RUN_MS, call, server, now_ms))
            return
        server.gate.cold_start.note_restart()
        self._apply(now_ms, server, server.gate.release(now_ms, call, Outcome.ERROR, 1))

    def _end(self, now_ms: int, server: Server, call: int, started_ms: int) -> None:
        outcome = Outcome.ERROR
        if started_ms >= server.up_ms:
            server.gate.cold_start.note_answer(now_ms)
            outcome = Outcome.SUCCESS
            self.served.append(now_ms)
        actions = server.gate.release(now_ms, call, outcome, now_ms - started_ms)
        self._apply(now_ms, server, actions)

    def _apply(self, now_ms: int, server: Server, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Dispatch):
                self._send(now_ms, server, action.call_id)


def test_servers_without_a_limit_crash_again_and_again() -> None:
    service = Service(None)
    service.run(10_000)
    assert sum(server.crashes for server in service.servers) >= 3 * SERVERS
    assert service.count_served(5_000, 10_000) <= 0.1 * 5 * DEMAND_PER_S


def test_servers_with_a_limit_are_back_two_seconds_after_they_are_warm() -> None:
    service = Service(LIMIT)
    service.run(10_000)
    assert sum(server.crashes for server in service.servers) == 0
    assert service.count_served(0, COLD_MS) >= 0.7 * LIMIT.per_s * SERVERS * COLD_MS / SECOND_MS
    back_ms = COLD_MS + 2_000
    assert service.count_served(back_ms, 10_000) >= 0.95 * DEMAND_PER_S * (10 - back_ms / 1_000)
