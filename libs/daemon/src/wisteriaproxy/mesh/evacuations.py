"""Failure domains that operators have evacuated, without input or output."""

import attrs

from wisteria_core import FailureDomain

from .directory import START
from .entries import StorePosition
from .roster import RECOVERY_GRACE_MS


@attrs.define
class EvacuationRecord:
    """Evacuated failure domains with the position of the store at which they were read.

    The operators write them again after the store was restored from a copy. An evacuation that
    the copy lacks therefore stays in force for a grace period.
    """

    position: StorePosition = START
    _listed: frozenset[FailureDomain] = frozenset()
    _retained: dict[FailureDomain, int] = attrs.field(factory=dict)

    @property
    def is_known(self) -> bool:
        """Whether they have been read at all."""
        return self.position != START

    @property
    def listed(self) -> frozenset[FailureDomain]:
        """Domains that are listed at the position."""
        return self._listed

    @property
    def in_force(self) -> frozenset[FailureDomain]:
        """Domains whose backend servers must get no calls."""
        return self._listed.union(self._retained)

    def apply(
        self, now_ms: int, position: StorePosition, domains: frozenset[FailureDomain]
    ) -> bool:
        """Apply all evacuations at a position; return whether they are news to others."""
        if position <= self.position:
            return False
        is_news = not self.is_known or domains != self._listed
        if self.is_known and position.epoch != self.position.epoch:
            retained_until_ms = now_ms + RECOVERY_GRACE_MS
            for domain in self._listed - domains:
                self._retained[domain] = retained_until_ms
        self.position, self._listed = position, domains
        for domain in domains:
            self._retained.pop(domain, None)
        return is_news

    def expire(self, now_ms: int) -> bool:
        """End evacuations whose grace period is over; return whether there were any."""
        expired = [domain for domain, until_ms in self._retained.items() if now_ms >= until_ms]
        for domain in expired:
            del self._retained[domain]
        return bool(expired)
