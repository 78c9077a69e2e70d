"""Levels of the services below an entry daemon, to refuse early what would be shed deep."""

from collections.abc import Iterable

import attrs

from wisteria_core import Refusal, ResultCode

from .const import HASH_RANKS, RANK_COUNT
from .models import AdmissionLevel

HOLD_MS = 300
EXPIRY_MS = 2_000
USE_SMOOTHING = 0.1
USE_FLOOR = 0.5
NEGLIGIBLE_USE = 0.01
MAX_REPORTERS = 64


@attrs.frozen
class _Heard:
    """Last level heard from one reporter."""

    threshold: int
    over_share: frozenset[str]
    heard_ms: int

    def threshold_at(self, now_ms: int) -> int:
        """Return the threshold, relaxed towards full admission with age."""
        age_ms = now_ms - self.heard_ms - HOLD_MS
        if age_ms <= 0:
            return self.threshold
        part = min(1.0, age_ms / (EXPIRY_MS - HOLD_MS))
        return int(self.threshold + (RANK_COUNT - self.threshold) * part)


@attrs.define
class ChainLevels:
    """Admission levels learnt from answers, by service and by route.

    A route is known to need a service when at least half of its recent answers named it. The
    level of a service is the upper median of its reporters, so that neither one hot backend
    server nor one that reports idle without cause decides for all.
    """

    _services: dict[str, dict[str, _Heard]] = attrs.Factory(dict)
    _routes: dict[str, dict[str, float]] = attrs.Factory(dict)

    def note_answer(
        self, now_ms: int, route: str, account: str, levels: Iterable[AdmissionLevel]
    ) -> None:
        """Take in the levels that came with one answer to a call of `route`.

        The first one belongs to the service that was called, the others to services that it
        called in turn for this request.
        """
        named = set()
        for level in levels:
            named.add(level.service)
            self._note_level(now_ms, account, level)
        uses = self._routes.setdefault(route, {})
        for service in named - uses.keys():
            uses[service] = 1.0
        for service in uses:
            uses[service] += USE_SMOOTHING * (float(service in named) - uses[service])
        self._routes[route] = {name: use for name, use in uses.items() if use > NEGLIGIBLE_USE}

    def should_shed(self, now_ms: int, rank: int, route: str) -> Refusal | None:
        """Return the refusal of a request that a service of its chain would shed, else None."""
        if rank < self.threshold(now_ms, route):
            return None
        spread = 1.0 + (rank % HASH_RANKS) / HASH_RANKS
        return Refusal(
            ResultCode.SHED,
            "a service that the request needs is shedding load",
            retry_after_ms=int(HOLD_MS * spread),
        )

    def threshold(self, now_ms: int, route: str) -> int:
        """Return the lowest threshold of the services that `route` needs."""
        return min(
            (self._service_threshold(now_ms, service) for service in self._needed(route)),
            default=RANK_COUNT,
        )

    def is_over_share(self, now_ms: int, account: str, route: str) -> bool:
        """Return whether a service of the route has named the account as beyond its share."""
        return any(
            account in heard.over_share and now_ms - heard.heard_ms < EXPIRY_MS
            for service in self._needed(route)
            for heard in self._services.get(service, {}).values()
        )

    def relay(
        self, now_ms: int, services: Iterable[str], vm_id: str, account: str
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
        account : str
            Client account of the request.
        """
        return tuple(
            AdmissionLevel(
                service,
                vm_id,
                self._service_threshold(now_ms, service),
                any(account in h.over_share for h in self._services[service].values()),
            )
            for service in sorted(set(services))
            if service in self._services
        )

    def forget_expired(self, now_ms: int) -> None:
        """Drop what has expired; call it about once a second."""
        for service, reporters in list(self._services.items()):
            kept = {vm: h for vm, h in reporters.items() if now_ms - h.heard_ms < EXPIRY_MS}
            if kept:
                self._services[service] = kept
            else:
                del self._services[service]

    def describe(self, now_ms: int) -> dict[str, int]:
        """Return the threshold of each known service."""
        return {name: self._service_threshold(now_ms, name) for name in sorted(self._services)}

    def _note_level(self, now_ms: int, account: str, level: AdmissionLevel) -> None:
        reporters = self._services.setdefault(level.service, {})
        earlier = reporters.pop(level.vm_id, None)
        over = earlier.over_share if earlier else frozenset()
        over = over | {account} if level.over_share else over - {account}
        reporters[level.vm_id] = _Heard(level.threshold, over, now_ms - level.age_ms)
        if len(reporters) > MAX_REPORTERS:
            del reporters[next(iter(reporters))]

    def _needed(self, route: str) -> list[str]:
        return [name for name, use in self._routes.get(route, {}).items() if use >= USE_FLOOR]

    def _service_threshold(self, now_ms: int, service: str) -> int:
        reporters = self._services.get(service, {}).values()
        thresholds = sorted(heard.threshold_at(now_ms) for heard in reporters)
        return thresholds[len(thresholds) // 2] if thresholds else RANK_COUNT
