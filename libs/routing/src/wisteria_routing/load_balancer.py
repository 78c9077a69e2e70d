"""Choice of a backend server: least load of sampled candidates, ejection, probes."""

import math
from collections.abc import Iterable, Sequence
from random import Random

import attrs

from wisteria_core import FailureDomain, Refusal, ResultCode, VmId

from .config import LoadBalancerConfig
from .models import CallOutcome, Candidate, HealthReport, ServerLoad
from .servers import Server, Usual

NO_SERVER_RETRY_AFTER_MS = 500
FORGIVE_OUTCOMES = 100
USUAL_REFRESH_MS = 20
LATENCY_SMOOTHING = 0.02
"""Weight of one answer in the usual latency of its kind, over all servers."""
MAX_KINDS = 1_000
"""Kinds of calls whose latency is known; those beyond count as usual."""


@attrs.define
class LoadBalancer:
    """Chooses backend servers of one service for one daemon.

    Parameters
    ----------
    failure_domain : FailureDomain
        Failure domain of this daemon.
    random : Random
        Source of the sampling.
    config : LoadBalancerConfig
        Parameters.
    """

    failure_domain: FailureDomain
    random: Random
    config: LoadBalancerConfig = attrs.field(factory=LoadBalancerConfig)
    _servers: dict[VmId, Server] = attrs.field(init=False, factory=dict)
    _usual: Usual | None = attrs.field(init=False, default=None)
    _usual_at_ms: int = attrs.field(init=False, default=0)
    _seen_candidates: bool = attrs.field(init=False, default=False)
    _latencies: dict[str, float] = attrs.field(init=False, factory=dict)

    def update(self, now_ms: int, candidates: Iterable[Candidate]) -> None:
        """Replace the candidates; evidence on those that stay is kept.

        All servers of the first update count as warm, later ones start slowly.
        """
        warm_ms = now_ms if self._seen_candidates else now_ms - self.config.slow_start_ms
        known = self._servers
        self._usual = None
        self._servers = {}
        for candidate in candidates:
            server = known.get(candidate.vm_id) or Server(candidate, warm_ms)
            server.candidate = candidate
            self._servers[candidate.vm_id] = server
            self._seen_candidates = True

    def choose(
        self,
        now_ms: int,
        exclude: frozenset[VmId] = frozenset(),
        kind: str = "",
        time_ms: float = math.inf,
    ) -> VmId | Refusal:
        """Return the backend server for a call, or a refusal when there is none.

        Parameters
        ----------
        now_ms : int
            Present time.
        exclude : frozenset of VmId
            Backend servers that the call has tried.
        kind : str
            Calls of one kind take about as long at servers of one speed.
        time_ms : float
            Time that the call has, in milliseconds.
        """
        healthy: list[Server] = []
        ejected: list[Server] = []
        for server in self._usable(exclude):
            if server.in_flight >= self.config.max_in_flight:
                continue
            if server.ejected_until_ms is None:
                healthy.append(server)
                continue
            if server.wants_probe(now_ms):
                return server.vm_id
            ejected.append(server)
        usual_ms = self._latencies.get(kind, 0.0)
        slowest = self.config.local_time_part * time_ms / usual_ms if usual_ms else math.inf
        chosen = self._choose_among(now_ms, healthy or ejected, slowest)
        if chosen is None:
            return Refusal(
                ResultCode.NO_BACKEND_SERVER,
                "no backend server can take the call",
                retry_after_ms=NO_SERVER_RETRY_AFTER_MS,
            )
        return chosen.vm_id

    def count_usable(self, exclude: frozenset[VmId] = frozenset()) -> int:
        """Return the number of backend servers that may be tried yet."""
        return len(self._usable(exclude))

    def note_sent(self, now_ms: int, vm_id: VmId) -> None:
        """Count a call that is being sent."""
        server = self._servers.get(vm_id)
        if server is not None:
            server.in_flight += 1

    def note_answer(
        self,
        now_ms: int,
        vm_id: VmId,
        outcome: CallOutcome,
        latency_ms: int,
        load: ServerLoad | None = None,
        kind: str = "",
    ) -> None:
        """Take in the end of a call that was counted by `note_sent`.

        Parameters
        ----------
        now_ms : int
            Present time.
        vm_id : VmId
            Backend server that was called.
        outcome : CallOutcome
            How the attempt ended.
        latency_ms : int
            Time since it was sent, in milliseconds.
        load : ServerLoad, optional
            Load that came with the answer.
        kind : str
            Calls of one kind take about as long at servers of one speed.
        """
        server = self._servers.get(vm_id)
        if server is None:
            return
        server.in_flight = max(0, server.in_flight - 1)
        if load is not None:
            server.note_load(now_ms, load)
        slowness = self._compare_latency(kind, outcome, latency_ms)
        server.note_outcome(now_ms, outcome, slowness, self.config)
        if server.ejected_until_ms is not None:
            self._judge_probe(now_ms, server, outcome)
        elif self._should_eject(now_ms, server):
            server.eject(now_ms, self.config)
        elif server.outcomes > FORGIVE_OUTCOMES:
            server.ejections = 0

    def note_report(self, now_ms: int, vm_id: VmId, report: HealthReport) -> None:
        """Take in a polled report on a backend server."""
        server = self._servers.get(vm_id)
        if server is not None:
            server.note_report(now_ms, report)

    def describe(self, now_ms: int) -> list[dict[str, object]]:
        """Return the state of each backend server for the operators' port."""
        usual = self._find_usual(now_ms)
        return [
            {
                "vm": server.vm_id,
                "usable": server.candidate.usable,
                "ejected": server.ejected_until_ms is not None,
                "in_flight": server.in_flight,
                "load": round(server.load(now_ms, usual, self.config), 3),
                "error_rate": round(server.error_rate(now_ms, self.config), 3),
                "slowness": round(server.slowness_at(now_ms, self.config), 2),
            }
            for server in self._servers.values()
        ]

    def _usable(self, exclude: frozenset[VmId]) -> list[Server]:
        if not exclude:
            return [server for server in self._servers.values() if server.candidate.usable]
        return [
            server
            for server in self._servers.values()
            if server.candidate.usable and server.vm_id not in exclude
        ]

    def _choose_among(self, now_ms: int, servers: list[Server], slowest: float) -> Server | None:
        local: list[Server] = []
        remote: list[Server] = []
        for server in servers:
            is_local = server.candidate.failure_domain == self.failure_domain
            (local if is_local else remote).append(server)
        usual = self._find_usual(now_ms)
        best = self._best_of(now_ms, local, usual)
        if best is not None and remote and self.random.random() < self.config.explore_share:
            return self.random.choice(remote)
        if best is not None and self._is_good_enough(now_ms, best, usual, slowest):
            return best
        other = self._best_of(now_ms, remote, usual)
        if best is None or other is None:
            return best or other
        other_score = other.score(now_ms, usual, self.config)
        if best.slowness_at(now_ms, self.config) <= slowest:
            other_score *= self.config.remote_penalty
        return other if other_score < best.score(now_ms, usual, self.config) else best

    def _is_good_enough(self, now_ms: int, server: Server, usual: Usual, slowest: float) -> bool:
        """Return whether a server of the own failure domain is taken without a look further."""
        config = self.config
        slowest = min(slowest, config.local_slowness * usual.fastest)
        if server.slowness_at(now_ms, config) > slowest:
            return False
        return server.load(now_ms, usual, config) <= config.local_load

    def _compare_latency(self, kind: str, outcome: CallOutcome, latency_ms: int) -> float:
        """Return a latency against the usual one of its kind, which takes it in."""
        usual_ms = self._latencies.get(kind)
        if outcome not in (CallOutcome.SUCCESS, CallOutcome.TIMEOUT):
            return 1.0
        if usual_ms is None:
            if len(self._latencies) < MAX_KINDS:
                self._latencies[kind] = max(1.0, float(latency_ms))
            return 1.0
        self._latencies[kind] = max(1.0, usual_ms + LATENCY_SMOOTHING * (latency_ms - usual_ms))
        return latency_ms / usual_ms

    def _best_of(self, now_ms: int, servers: list[Server], usual: Usual) -> Server | None:
        """Return the best of a few sampled servers; a starting one is sampled less often."""
        config = self.config
        if len(servers) == 1:
            return servers[0]
        started = [s for s in servers if self._is_drawn(s.start_part(now_ms, config))]
        sampled = started or servers
        if len(sampled) > config.samples:
            sampled = self.random.sample(sampled, config.samples)
        return min(sampled, key=lambda s: s.score(now_ms, usual, config), default=None)

    def _is_drawn(self, part: float) -> bool:
        return part >= 1.0 or self.random.random() < part

    def _find_usual(self, now_ms: int) -> Usual:
        """Return the medians over the servers that have evidence, a little old at most."""
        if self._usual is None or now_ms - self._usual_at_ms >= USUAL_REFRESH_MS:
            self._usual = self._compute_usual(now_ms)
            self._usual_at_ms = now_ms
        return self._usual

    def _compute_usual(self, now_ms: int) -> Usual:
        servers = self._servers.values()
        heard = [s.heard_load(now_ms, self.config) for s in servers]
        loads = [load for load in heard if load is not None]
        limits = [limit for s in servers if (limit := s.stated_limit()) is not None]
        usable = [s for s in servers if s.candidate.usable and s.ejected_until_ms is None]
        default = Usual()
        return Usual(
            min(default.load, _median(loads, default.load)),
            int(_median(limits, default.capacity)),
            min((s.slowness_at(now_ms, self.config) for s in usable), default=default.fastest),
        )

    def _should_eject(self, now_ms: int, server: Server) -> bool:
        config = self.config
        if server.outcomes < config.eject_min_outcomes:
            return False
        rate = server.error_rate(now_ms, config)
        if rate < config.eject_error_rate:
            return False
        others = [s for s in self._servers.values() if s is not server and s.candidate.usable]
        ejected = sum(1 for s in others if s.ejected_until_ms is not None)
        if ejected + 1 > max(1, int(config.eject_share * (len(others) + 1))) or not others:
            return False
        lowest = min(other.error_rate(now_ms, config) for other in others)
        return rate >= 2.0 * lowest

    def _judge_probe(self, now_ms: int, server: Server, outcome: CallOutcome) -> None:
        if server.ejected_until_ms is None or now_ms < server.ejected_until_ms:
            return
        if outcome is CallOutcome.SUCCESS:
            server.restore(now_ms)
        elif outcome is not CallOutcome.CANCELLED:
            server.eject(now_ms, self.config)


def _median(values: Sequence[float], default: float) -> float:
    """Return the upper median of `values`, or `default` when there are none."""
    return sorted(values)[len(values) // 2] if values else default
