"""Levels of the services below an entry daemon, to refuse early what would be shed deep."""

from collections.abc import Iterable

import attrs

from wisteria_core import Priority, Refusal, ResultCode

from .const import HASH_RANKS, RANK_COUNT
from .models import AdmissionLevel

HOLD_MS = 300
EXPIRY_MS = 2_000
USE_SMOOTHING = 0.1
USE_FLOOR = 0.5
NEGLIGIBLE_USE = 0.01
MAX_REPORTERS = 64
COST_SMOOTHING = 0.02
"""Weight of one answer in the cost of a route: costs of single requests differ severalfold."""
LEAST_SPAN = 32
"""Ranks of the cheapest kinds: an eighth of the costliest, so that none is never shed."""
MAX_REPRESENTED = 1_000
SWEEP_MS = 1_000


@attrs.frozen
class _Heard:
    """Last level heard from one reporter."""

    threshold: int
    heard_ms: int

    def threshold_at(self, now_ms: int) -> int:
        """Return the threshold, relaxed towards full admission with age."""
        age_ms = now_ms - self.heard_ms - HOLD_MS
        if age_ms <= 0:
            return self.threshold
        part = min(1.0, age_ms / (EXPIRY_MS - HOLD_MS))
        return int(self.threshold + (RANK_COUNT - self.threshold) * part)


@attrs.frozen
class _Excess:
    """Last excess heard of one account at one priority."""

    milli: int
    heard_ms: int


@attrs.define
class _Refused:
    """Requests refused at the entry since the last one that was sent."""

    count: int
    last_ms: int


@attrs.define
class ChainLevels:
    """Admission levels learnt from answers, by service and by route.

    A route is known to need a service when at least half of its recent answers named it. The
    level of a service is the upper median of its reporters, so that neither one hot backend
    server nor one that reports idle without cause decides for all.
    """

    _services: dict[str, dict[str, _Heard]] = attrs.Factory(dict)
    _excesses: dict[str, dict[tuple[str, Priority], _Excess]] = attrs.Factory(dict)
    _refused: dict[tuple[str, str, Priority], _Refused] = attrs.Factory(dict)
    _swept_ms: int = 0
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
        """Take in the levels that came with one answer to a call of `route`.

        The first one belongs to the service that was called, the others to services that it
        called in turn for this request.
        """
        if now_ms - self._swept_ms >= SWEEP_MS:
            self.forget_expired(now_ms)
        named = set()
        costs: dict[str, int] = {}
        for level in levels:
            named.add(level.service)
            costs[level.service] = costs.get(level.service, 0) + level.work_ms
            heard_ms = now_ms - level.age_ms
            self._note_level(heard_ms, level)
            excess = _Excess(level.excess_milli, heard_ms)
            self._excesses.setdefault(level.service, {})[account, priority] = excess
        self._note_costs(route, costs)
        uses = self._routes.setdefault(route, {})
        for service in named - uses.keys():
            uses[service] = 1.0
        for service in uses:
            uses[service] += USE_SMOOTHING * (float(service in named) - uses[service])
        self._routes[route] = {name: use for name, use in uses.items() if use > NEGLIGIBLE_USE}

    def should_shed(
        self, now_ms: int, rank: int, route: str, account: str, priority: Priority
    ) -> Refusal | None:
        """Return the refusal of a request that a service of its chain would shed, else None."""
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
        """Return the requests that a call sent now stands for, itself included.

        The serving daemons know the demand of an account only with those refused here lately.
        Send the number along with the call and with its child calls.
        """
        refused = self._refused.pop((route, account, priority), None)
        if refused is None or now_ms - refused.last_ms >= EXPIRY_MS:
            return 1
        return 1 + refused.count

    def rank_span(self, now_ms: int, route: str) -> int:
        """Return the ranks over which requests of `route` are spread.

        They are in proportion to what a request costs in the scarcest service that it needs,
        against the costliest kind of request there.
        """
        needed = self._needed(route)
        if not needed:
            return HASH_RANKS
        scarcest = min(needed, key=lambda name: self._service_threshold(now_ms, name))
        cost = self._costs.get(route, {}).get(scarcest, 0.0)
        highest = max((costs.get(scarcest, 0.0) for costs in self._costs.values()), default=0.0)
        if cost <= 0.0 or highest <= 0.0:
            return HASH_RANKS
        return max(LEAST_SPAN, round(HASH_RANKS * cost / highest))

    def threshold(self, now_ms: int, route: str) -> int:
        """Return the lowest threshold of the services that `route` needs."""
        return min(
            (self._service_threshold(now_ms, service) for service in self._needed(route)),
            default=RANK_COUNT,
        )

    def excess_milli(self, now_ms: int, account: str, priority: Priority, route: str) -> int:
        """Return the part of the account's demand beyond its share in the route's services.

        The part stands for the service where it is largest.
        """
        return max(
            (
                self._excess_at(now_ms, service, account, priority)
                for service in self._needed(route)
            ),
            default=0,
        )

    def relay(
        self, now_ms: int, services: Iterable[str], vm_id: str, account: str, priority: Priority
    ) -> tuple[AdmissionLevel, ...]:
        """Return the levels of the child services that a call used, for its own answer.

        Parameters
        ----------
        now_ms : int
            Present time.
        services : iterable of str
            Services that were called for the request, at any depth.
        vm_id : str
            This VM, which stands as the reporter.
        account, priority : str, Priority
            Client account and priority of the request.
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
        """Drop what has expired; `note_answer` does so once in a while."""
        self._swept_ms = now_ms
        for service, reporters in list(self._services.items()):
            kept = {vm: h for vm, h in reporters.items() if now_ms - h.heard_ms < EXPIRY_MS}
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
                if now_ms - excess.heard_ms < EXPIRY_MS
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
            refused = self._refused[key] = _Refused(0, now_ms)
        refused.count = min(MAX_REPRESENTED, refused.count + 1)
        refused.last_ms = now_ms

    def _note_level(self, heard_ms: int, level: AdmissionLevel) -> None:
        reporters = self._services.setdefault(level.service, {})
        earlier = reporters.get(level.vm_id)
        if earlier is not None and earlier.heard_ms > heard_ms:
            return
        reporters.pop(level.vm_id, None)
        reporters[level.vm_id] = _Heard(level.threshold, heard_ms)
        if len(reporters) > MAX_REPORTERS:
            del reporters[next(iter(reporters))]

    def _excess_at(self, now_ms: int, service: str, account: str, priority: Priority) -> int:
        excess = self._excesses.get(service, {}).get((account, priority))
        if excess is None or now_ms - excess.heard_ms >= EXPIRY_MS:
            return 0
        return excess.milli

    def _needed(self, route: str) -> list[str]:
        return [name for name, use in self._routes.get(route, {}).items() if use >= USE_FLOOR]

    def _service_threshold(self, now_ms: int, service: str) -> int:
        reporters = self._services.get(service, {}).values()
        thresholds = sorted(heard.threshold_at(now_ms) for heard in reporters)
        return thresholds[len(thresholds) // 2] if thresholds else RANK_COUNT
