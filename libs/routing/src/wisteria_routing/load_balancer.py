"""Load balancing: least loaded of sampled candidates, ejection and probes."""

import math
from collections.abc import Iterable, Sequence
from random import Random

import attrs

from wisteria_core import FailureDomain, Refusal, ResultCode, VmId

from .config import LoadBalancerConfig
from .models import CallOutcome, Candidate, HealthReport, ServerLoad
from .servers import Baseline, Server

NO_SERVER_RETRY_AFTER_MS = 500
EJECTION_RESET_OUTCOMES = 100
BASELINE_REFRESH_MS = 20
LATENCY_SMOOTHING = 0.02
"""Weight of one answer in the average latency of its kind of call over all servers."""
MAX_LATENCY_KINDS = 1_000
"""Maximum number of kinds of calls whose latency is tracked; others count as average."""


@attrs.define
class LoadBalancer:
    """Client-side load balancer of one daemon for one service.

    `failure_domain` is that of this daemon.
    """

    failure_domain: FailureDomain
    random: Random
    config: LoadBalancerConfig = attrs.field(factory=LoadBalancerConfig)
    _servers: dict[VmId, Server] = attrs.field(init=False, factory=dict)
    _baseline: Baseline | None = attrs.field(init=False, default=None)
    _baseline_at_ms: int = attrs.field(init=False, default=0)
    _had_candidates: bool = attrs.field(init=False, default=False)
    _latencies: dict[str, float] = attrs.field(init=False, factory=dict)

    def update(self, now_ms: int, candidates: Iterable[Candidate]) -> None:
        """Replace the candidates; observations of those that remain are kept.

        Servers of the first non-empty update get their full share at once; later ones, and those
        that return from an evacuation or a restart, go through a slow start.
        """
        started_ms = now_ms if self._had_candidates else now_ms - self.config.slow_start_ms
        known = self._servers
        self._baseline = None
        self._servers = {}
        for candidate in candidates:
            server = known.get(candidate.vm_id) or Server(candidate, started_ms)
            if candidate.has_returned(server.candidate):
                server.started_ms = now_ms
            server.candidate = candidate
            self._servers[candidate.vm_id] = server
            self._had_candidates = True

    def choose(
        self,
        now_ms: int,
        exclude: frozenset[VmId] = frozenset(),
        kind: str = "",
        remaining_ms: float = math.inf,
    ) -> VmId | Refusal:
        """Return the backend server for a call, or a refusal when none is available.

        Parameters
        ----------
        exclude : frozenset of VmId
            Backend servers that the call has already tried.
        kind : str
            Kind of the call, within which latencies are comparable across servers.
        remaining_ms : float
            Time until the deadline of the call, in milliseconds.
        """
        healthy: list[Server] = []
        ejected: list[Server] = []
        for server in self._usable(exclude):
            if server.in_flight >= self.config.max_in_flight:
                continue
            if server.ejected_until_ms is None:
                healthy.append(server)
                continue
            if server.is_probe_due(now_ms):
                return server.vm_id
            ejected.append(server)
        mean_ms = self._latencies.get(kind, 0.0)
        max_slowness = (
            self.config.local_deadline_share * remaining_ms / mean_ms if mean_ms else math.inf
        )
        chosen = self._choose_among(now_ms, healthy or ejected, max_slowness)
        if chosen is None:
            return Refusal(
                ResultCode.NO_BACKEND_SERVER,
                "no backend server can take the call",
                retry_after_ms=NO_SERVER_RETRY_AFTER_MS,
            )
        return chosen.vm_id

    def count_usable(self, exclude: frozenset[VmId] = frozenset()) -> int:
        """Return the number of usable backend servers outside `exclude`."""
        return len(self._usable(exclude))

    def note_sent(self, now_ms: int, vm_id: VmId) -> None:
        """Record that a call is being sent."""
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
        """Record the end of a call that was registered by `note_sent`.

        Parameters
        ----------
        latency_ms : int
            Time since the call was sent, in milliseconds.
        load : ServerLoad, optional
            Load reported with the answer.
        kind : str
            As in `choose`.
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
            self._handle_probe_outcome(now_ms, server, outcome)
        elif self._should_eject(now_ms, server):
            server.eject(now_ms, self.config)
        elif server.outcomes > EJECTION_RESET_OUTCOMES:
            server.ejections = 0

    def note_report(self, now_ms: int, vm_id: VmId, report: HealthReport) -> None:
        server = self._servers.get(vm_id)
        if server is not None:
            server.note_report(now_ms, report)

    def describe(self, now_ms: int) -> list[dict[str, object]]:
        """Return the state of each backend server for the operator port."""
        baseline = self._get_baseline(now_ms)
        return [
            {
                "vm": server.vm_id,
                "usable": server.candidate.takes_calls,
                "ejected": server.ejected_until_ms is not None,
                "in_flight": server.in_flight,
                "load": round(server.load(now_ms, baseline, self.config), 3),
                "error_rate": round(server.error_rate(now_ms, self.config), 3),
                "slowness": round(server.slowness_at(now_ms, self.config), 2),
            }
            for server in self._servers.values()
        ]

    def _usable(self, exclude: frozenset[VmId]) -> list[Server]:
        if not exclude:
            return [server for server in self._servers.values() if server.candidate.takes_calls]
        return [
            server
            for server in self._servers.values()
            if server.candidate.takes_calls and server.vm_id not in exclude
        ]

    def _choose_among(
        self, now_ms: int, servers: list[Server], max_slowness: float
    ) -> Server | None:
        local: list[Server] = []
        remote: list[Server] = []
        for server in servers:
            is_local = server.candidate.failure_domain == self.failure_domain
            (local if is_local else remote).append(server)
        baseline = self._get_baseline(now_ms)
        best = self._sample_best(now_ms, local, baseline)
        if best is not None and remote and self.random.random() < self.config.explore_share:
            return self.random.choice(remote)
        if best is not None and self._is_acceptable(now_ms, best, baseline, max_slowness):
            return best
        other = self._sample_best(now_ms, remote, baseline)
        if best is None or other is None:
            return best or other
        other_score = other.score(now_ms, baseline, self.config)
        if best.slowness_at(now_ms, self.config) <= max_slowness:
            other_score *= self.config.remote_penalty
        return other if other_score < best.score(now_ms, baseline, self.config) else best

    def _is_acceptable(
        self, now_ms: int, server: Server, baseline: Baseline, max_slowness: float
    ) -> bool:
        """Return whether a local server is chosen without considering remote ones."""
        config = self.config
        max_slowness = min(max_slowness, config.local_slowness * baseline.min_slowness)
        if server.slowness_at(now_ms, config) > max_slowness:
            return False
        if server.error_rate(now_ms, config) > baseline.min_error_rate + config.local_error_rate:
            return False
        return server.load(now_ms, baseline, config) <= config.local_load

    def _compare_latency(self, kind: str, outcome: CallOutcome, latency_ms: int) -> float:
        """Return the ratio of a latency to the average of its kind, and update that average."""
        mean_ms = self._latencies.get(kind)
        if outcome not in (CallOutcome.SUCCESS, CallOutcome.TIMEOUT):
            return 1.0
        if mean_ms is None:
            if len(self._latencies) < MAX_LATENCY_KINDS:
                self._latencies[kind] = max(1.0, float(latency_ms))
            return 1.0
        self._latencies[kind] = max(1.0, mean_ms + LATENCY_SMOOTHING * (latency_ms - mean_ms))
        return latency_ms / mean_ms

    def _sample_best(self, now_ms: int, servers: list[Server], baseline: Baseline) -> Server | None:
        """Return the best of a few sampled servers; one in slow start is sampled less often."""
        config = self.config
        if len(servers) == 1:
            return servers[0]
        started = [s for s in servers if self._is_sampled(s.slow_start_share(now_ms, config))]
        sampled = started or servers
        if len(sampled) > config.samples:
            sampled = self.random.sample(sampled, config.samples)
        return min(sampled, key=lambda s: s.score(now_ms, baseline, config), default=None)

    def _is_sampled(self, share: float) -> bool:
        return share >= 1.0 or self.random.random() < share

    def _get_baseline(self, now_ms: int) -> Baseline:
        """Return the baseline over all servers, cached for `BASELINE_REFRESH_MS`."""
        if self._baseline is None or now_ms - self._baseline_at_ms >= BASELINE_REFRESH_MS:
            self._baseline = self._compute_baseline(now_ms)
            self._baseline_at_ms = now_ms
        return self._baseline

    def _compute_baseline(self, now_ms: int) -> Baseline:
        servers = self._servers.values()
        recent_loads = [s.recent_load(now_ms, self.config) for s in servers]
        loads = [load for load in recent_loads if load is not None]
        limits = [limit for s in servers if (limit := s.reported_limit()) is not None]
        usable = [s for s in servers if s.candidate.takes_calls and s.ejected_until_ms is None]
        default = Baseline()
        return Baseline(
            min(default.load, _median(loads, default.load)),
            int(_median(limits, default.capacity)),
            min((s.slowness_at(now_ms, self.config) for s in usable), default=default.min_slowness),
            min((s.error_rate(now_ms, self.config) for s in usable), default=0.0),
        )

    def _should_eject(self, now_ms: int, server: Server) -> bool:
        config = self.config
        if server.outcomes < config.eject_min_outcomes:
            return False
        rate = server.error_rate(now_ms, config)
        if rate < config.eject_error_rate:
            return False
        others = [s for s in self._servers.values() if s is not server and s.candidate.takes_calls]
        ejected = sum(1 for s in others if s.ejected_until_ms is not None)
        if ejected + 1 > max(1, int(config.eject_share * (len(others) + 1))) or not others:
            return False
        lowest_error_rate = min(other.error_rate(now_ms, config) for other in others)
        return rate >= 2.0 * lowest_error_rate

    def _handle_probe_outcome(self, now_ms: int, server: Server, outcome: CallOutcome) -> None:
        if server.ejected_until_ms is None or now_ms < server.ejected_until_ms:
            return
        if outcome is CallOutcome.SUCCESS:
            server.restore(now_ms)
        elif outcome is not CallOutcome.CANCELLED:
            server.eject(now_ms, self.config)


def _median(values: Sequence[float], default: float) -> float:
    """Return the upper median of `values`, or `default` when there are none."""
    return sorted(values)[len(values) // 2] if values else default
