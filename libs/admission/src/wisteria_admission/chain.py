"""Admission levels of downstream services, to refuse early what they would shed later."""

from collections.abc import Iterable

import attrs

from wisteria_core import Priority, Refusal, ResultCode

from .const import HASH_RANKS, RANK_COUNT
from .models import AdmissionLevel

HOLD_MS = 300
"""Time for which a reported level applies unchanged."""
EXPIRY_MS = 2_000
"""Age at which reports and counts of refused requests expire."""
CALL_SHARE_SMOOTHING = 0.1
MIN_CALL_SHARE = 0.5
"""Share of a route's recent answers that must name a service for the route to need it."""
NEGLIGIBLE_CALL_SHARE = 0.01
MAX_REPORTERS = 64
COST_SMOOTHING = 0.02
"""Weight of one answer in the cost of a route; low, as request costs differ severalfold."""
MIN_RANK_SPAN = 32
"""Rank span of the cheapest kinds: an eighth of the costliest's, so that they are shed too."""
MAX_REPRESENTED = 1_000
SWEEP_INTERVAL_MS = 1_000


@attrs.frozen
class _Report:
    """Last threshold reported by one VM."""

    threshold: int
    reported_ms: int

    def threshold_at(self, now_ms: int) -> int:
        """The threshold relaxes towards full admission with age."""
        age_ms = now_ms - self.reported_ms - HOLD_MS
        if age_ms <= 0:
            return self.threshold
        fraction = min(1.0, age_ms / (EXPIRY_MS - HOLD_MS))
        return int(self.threshold + (RANK_COUNT - self.threshold) * fraction)


@attrs.frozen
class _Excess:
    """Last reported excess of one account at one priority."""

    milli: int
    reported_ms: int


@attrs.define
class _RefusedCount:
    """Requests refused here since the last one that was sent."""

    count: int
    last_ms: int


@attrs.define
class ChainLevels:
    """Admission levels reported in answers, by service and by route.

    A route needs a service when at least half of its recent answers named the service. The
    level of a service is the upper median over its reporting VMs, so that neither one overloaded
    backend server nor one that wrongly reports itself idle decides for the whole service.
    """

    _services: dict[str, dict[str, _Report]] = attrs.Factory(dict)
    _excesses: dict[str, dict[tuple[str, Priority], _Excess]] = attrs.Factory(dict)
    _refused: dict[tuple[str, str, Priority], _RefusedCount] = attrs.Factory(dict)
    _last_sweep_ms: int = 0
    _costs: dict[str, dict[str, float]] = attrs.Factory(dict)
    _routes: dict[str, dict[str, float]] = attrs.Factory(dict)

    def note_answer(
        self,
        now_ms: int,
        route: str,
        account: str,
        priority: Priority,
        levels: Iterable[AdmissionLevel],
    ) -> None:
        """Record the levels attached to an answer to a call of `route`.

        The first level belongs to the called service, the others to services that it called
        for this request.
        """
        if now_ms - self._last_sweep_ms >= SWEEP_INTERVAL_MS:
            self.forget_expired(now_ms)
        named = set()
        costs: dict[str, int] = {}
        for level in levels:
            named.add(level.service)
            costs[level.service] = costs.get(level.service, 0) + level.work_ms
            reported_ms = now_ms - level.age_ms
            self._note_level(reported_ms, level)
            excess = _Excess(level.excess_milli, reported_ms)
            self._excesses.setdefault(level.service, {})[account, priority] = excess
        self._note_costs(route, costs)
        shares = self._routes.setdefault(route, {})
        for service in named - shares.keys():
            shares[service] = 1.0
        for service in shares:
            shares[service] += CALL_SHARE_SMOOTHING * (float(service in named) - shares[service])
        self._routes[route] = {
            name: share for name, share in shares.items() if share > NEGLIGIBLE_CALL_SHARE
        }

    def should_shed(
        self, now_ms: int, rank: int, route: str, account: str, priority: Priority
    ) -> Refusal | None:
        """Return a refusal if a service in the request's call chain would shed it, else None."""
        if rank < self.threshold(now_ms, route):
            return None
        self._count_refused(now_ms, (route, account, priority))
        spread = 1.0 + (rank % HASH_RANKS) / HASH_RANKS
        return Refusal(
            ResultCode.SHED,
            "a service that the request needs is shedding load",
            retry_after_ms=int(HOLD_MS * spread),
        )

    def take_represented(self, now_ms: int, route: str, account: str, priority: Priority) -> int:
        """Return how many requests a call sent now represents, itself included.

        The count includes similar requests refused here recently, so that serving daemons see
        the full demand of the account. Send it with the call and with its child calls.
        """
        refused = self._refused.pop((route, account, priority), None)
        if refused is None or now_ms - refused.last_ms >= EXPIRY_MS:
            return 1
        return 1 + refused.count

    def rank_span(self, now_ms: int, route: str) -> int:
        """Return the number of ranks over which requests of `route` are spread.

        It is proportional to the request's cost in the most overloaded service that it needs,
        relative to the costliest kind of request there.
        """
        required = self._required_services(route)
        if not required:
            return HASH_RANKS
        bottleneck = min(required, key=lambda name: self._service_threshold(now_ms, name))
        cost = self._costs.get(route, {}).get(bottleneck, 0.0)
        highest = max((costs.get(bottleneck, 0.0) for costs in self._costs.values()), default=0.0)
        if cost <= 0.0 or highest <= 0.0:
            return HASH_RANKS
        return max(MIN_RANK_SPAN, round(HASH_RANKS * cost / highest))

    def threshold(self, now_ms: int, route: str) -> int:
        """Return the lowest threshold of the services that `route` needs."""
        return min(
            (
                self._service_threshold(now_ms, service)
                for service in self._required_services(route)
            ),
            default=RANK_COUNT,
        )

    def excess_milli(self, now_ms: int, account: str, priority: Priority, route: str) -> int:
        """Return the thousandths of the account's demand beyond its fair share.

        The largest value among the services that `route` needs counts.
        """
        return max(
            (
                self._excess_at(now_ms, service, account, priority)
                for service in self._required_services(route)
            ),
            default=0,
        )

    def relay(
        self, now_ms: int, services: Iterable[str], vm_id: str, account: str, priority: Priority
    ) -> tuple[AdmissionLevel, ...]:
        """Return the levels of downstream services, to attach to the answer to a call.

        Parameters
        ----------
        services : iterable of str
            Services that were called for the request, at any depth.
        vm_id : str
            This VM, the reporter.
        """
        return tuple(
            AdmissionLevel(
                service,
                vm_id,
                self._service_threshold(now_ms, service),
                self._excess_at(now_ms, service, account, priority),
            )
            for service in sorted(set(services))
            if service in self._services
        )

    def forget_expired(self, now_ms: int) -> None:
        """Drop expired entries; `note_answer` does so every `SWEEP_INTERVAL_MS` at most."""
        self._last_sweep_ms = now_ms
        for service, reporters in list(self._services.items()):
            kept = {vm: h for vm, h in reporters.items() if now_ms - h.reported_ms < EXPIRY_MS}
            if kept:
                self._services[service] = kept
            else:
                del self._services[service]
        self._refused = {
            key: refused
            for key, refused in self._refused.items()
            if now_ms - refused.last_ms < EXPIRY_MS
        }
        for service, excesses in list(self._excesses.items()):
            kept_excesses = {
                key: excess
                for key, excess in excesses.items()
                if now_ms - excess.reported_ms < EXPIRY_MS
            }
            self._excesses[service] = kept_excesses
            if not kept_excesses:
                del self._excesses[service]

    def describe(self, now_ms: int) -> dict[str, int]:
        """Return the threshold of each known service."""
        return {name: self._service_threshold(now_ms, name) for name in sorted(self._services)}

    def _note_costs(self, route: str, costs: dict[str, int]) -> None:
        known = self._costs.setdefault(route, {})
        for service, work_ms in costs.items():
            if not work_ms:
                continue
            before = known.get(service, float(work_ms))
            known[service] = before + COST_SMOOTHING * (work_ms - before)

    def _count_refused(self, now_ms: int, key: tuple[str, str, Priority]) -> None:
        refused = self._refused.get(key)
        if refused is None or now_ms - refused.last_ms >= EXPIRY_MS:
            refused = self._refused[key] = _RefusedCount(0, now_ms)
        refused.count = min(MAX_REPRESENTED, refused.count + 1)
        refused.last_ms = now_ms

    def _note_level(self, reported_ms: int, level: AdmissionLevel) -> None:
        reporters = self._services.setdefault(level.service, {})
        previous = reporters.get(level.vm_id)
        if previous is not None and previous.reported_ms > reported_ms:
            return
        reporters.pop(level.vm_id, None)
        reporters[level.vm_id] = _Report(level.threshold, reported_ms)
        if len(reporters) > MAX_REPORTERS:
            del reporters[next(iter(reporters))]

    def _excess_at(self, now_ms: int, service: str, account: str, priority: Priority) -> int:
        excess = self._excesses.get(service, {}).get((account, priority))
        if excess is None or now_ms - excess.reported_ms >= EXPIRY_MS:
            return 0
        return excess.milli

    def _required_services(self, route: str) -> list[str]:
        return [
            name for name, share in self._routes.get(route, {}).items() if share >= MIN_CALL_SHARE
        ]

    def _service_threshold(self, now_ms: int, service: str) -> int:
        reporters = self._services.get(service, {}).values()
        thresholds = sorted(report.threshold_at(now_ms) for report in reporters)
        return thresholds[len(thresholds) // 2] if thresholds else RANK_COUNT
