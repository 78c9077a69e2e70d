"""Choice of the relays from which a daemon learns, without input or output."""

import enum
from collections.abc import Iterable

import attrs

from wisteria_core import FailureDomain, VmId, VmList, VmState, rank_by_rendezvous

from .const import (
    OWN_RELAYS,
    RELAY_ADD_INTERVAL_MS,
    RELAY_ANSWER_MS,
    RELAY_RETRY_MS,
    RELAY_SILENCE_MS,
    RELAYS_MAX,
    RELAYS_WANTED,
)


class _Status(enum.Enum):
    """Usefulness of a relay."""

    FAILED = "failed"
    PENDING = "pending"
    BLIND = "blind"
    """It answers, but doesn't reach the platform."""
    GOOD = "good"


def _rank(key: str, names: Iterable[str]) -> list[VmId]:
    return [VmId(name) for name in rank_by_rendezvous(key, names)]


@attrs.define
class _Relay:
    """What is known of a relay that this daemon has subscribed to.

    Parameters
    ----------
    asked_ms : int
        When the subscription was sent.
    outage_since_ms : int or None
        Since when it has not reached the platform.
    """

    asked_ms: int
    heard_ms: int | None = None
    outage_since_ms: int | None = None


@attrs.define
class RelayChoice:
    """Relays of one daemon: the first useful ones in an order that all daemons share.

    The order ranks the VMs of the own failure domain by rendezvous hashing. Behind the first ones
    come the relays of other failure domains, since the own one may not reach the platform. Two
    relays are used at a time, so that one that stops delays nothing.

    Parameters
    ----------
    includes_self : bool
        Whether this daemon is one of its own relays.
    _offered : VmId or None
        Relay that has contacted this daemon, which may have no list to rank.
    _useful_ms, _heard_ms : int or None
        When a relay that reaches the platform was last known, and when any was last heard.
    """

    vm_id: VmId
    failure_domain: FailureDomain
    includes_self: bool = False
    _has_list: bool = False
    _ranking: list[VmId] = attrs.field(factory=list)
    _relays: dict[VmId, _Relay] = attrs.field(factory=dict)
    _failed_until_ms: dict[VmId, int] = attrs.field(factory=dict)
    _offered: VmId | None = None
    _useful_ms: int | None = None
    _heard_ms: int | None = None

    def apply_list(self, vm_list: VmList) -> None:
        """Rank the VMs of a list; leaving ones come last."""
        self._has_list = True
        domains: dict[FailureDomain, list[str]] = {}
        leaving: list[VmId] = []
        for vm in vm_list:
            if vm.state is VmState.LIVE:
                domains.setdefault(vm.failure_domain, []).append(vm.vm_id)
            else:
                leaving.append(vm.vm_id)
        own = _rank(self.failure_domain, domains.pop(self.failure_domain, []))
        first = [_rank(domain, names)[0] for domain, names in domains.items()]
        others = _rank(self.vm_id, first)
        self._ranking = [*own[:OWN_RELAYS], *others, *own[OWN_RELAYS:], *leaving]

    def note_offer(self, vm_id: VmId) -> None:
        """Record that a relay has contacted this daemon, which may know no other."""
        self._offered = vm_id

    def note_news(self, now_ms: int, vm_id: VmId, is_reading: bool, outage_ms: int) -> None:
        """Record news of a relay; those of relays not subscribed to are ignored."""
        relay = self._relays.get(vm_id)
        if relay is not None:
            relay.heard_ms = now_ms
            relay.outage_since_ms = None if is_reading else now_ms - outage_ms

    def note_lost(self, now_ms: int, vm_id: VmId) -> None:
        """Record that the link to a relay was closed."""
        if self._relays.pop(vm_id, None) is not None:
            self._failed_until_ms[vm_id] = now_ms + RELAY_RETRY_MS

    def reset(self, now_ms: int) -> None:
        """Forget since when relays are silent, after a pause of this process."""
        for relay in self._relays.values():
            relay.asked_ms = now_ms
            relay.heard_ms = None if relay.heard_ms is None else now_ms

    def subscribed(self) -> list[VmId]:
        return list(self._relays)

    def is_subscribed(self, vm_id: VmId) -> bool:
        return vm_id in self._relays

    def select(self, now_ms: int, is_reading: bool) -> tuple[list[VmId], list[VmId]]:
        """Return the relays to subscribe to and those to leave.

        Parameters
        ----------
        is_reading : bool
            Whether this daemon itself reads from the platform with success.
        """
        since_ms = self._useful_ms if self._useful_ms is not None else now_ms
        limit = RELAYS_MAX + (now_ms - since_ms) // RELAY_ADD_INTERVAL_MS
        wanted: list[VmId] = []
        useful = expected = 0
        for vm_id in self._candidates():
            status = self._status(now_ms, vm_id, is_reading)
            if status is _Status.FAILED:
                self._fail(now_ms, vm_id)
                continue
            if status is _Status.PENDING and expected >= RELAYS_WANTED:
                continue
            wanted.append(vm_id)
            useful += status is _Status.GOOD
            expected += status is not _Status.BLIND
            if useful >= RELAYS_WANTED or len(wanted) >= limit:
                break
        if useful or not wanted or self._useful_ms is None:
            self._useful_ms = now_ms
        self.includes_self = self.vm_id in wanted
        left = [vm_id for vm_id in self._relays if vm_id not in wanted]
        for vm_id in left:
            del self._relays[vm_id]
        new = [vm_id for vm_id in wanted if vm_id not in self._relays and vm_id != self.vm_id]
        for vm_id in new:
            self._relays[vm_id] = _Relay(now_ms)
        return new, left

    def primary(self, now_ms: int, is_reading: bool) -> VmId | None:
        """Return the relay that takes this daemon's reports; it may be this daemon."""
        blind = None
        for vm_id in self._candidates():
            if vm_id != self.vm_id and vm_id not in self._relays:
                continue
            match self._status(now_ms, vm_id, is_reading):
                case _Status.GOOD:
                    return vm_id
                case _Status.BLIND if vm_id != self.vm_id:
                    blind = blind or vm_id
        return blind

    def unheard_ms(self, now_ms: int) -> int:
        """Return the time since any relay was heard, in milliseconds; 0 before the first list."""
        if not self._has_list:
            return 0
        heard = [one.heard_ms for one in self._relays.values() if one.heard_ms is not None]
        self._heard_ms = max([*heard, self._heard_ms if self._heard_ms is not None else now_ms])
        return now_ms - self._heard_ms

    def outage_since(self, now_ms: int) -> int | None:
        """Return since when no relay reaches the platform; None if one does or none is known."""
        since = [
            relay.outage_since_ms
            for relay in self._relays.values()
            if relay.heard_ms is not None and now_ms - relay.heard_ms <= RELAY_SILENCE_MS
        ]
        known = [one for one in since if one is not None]
        return max(known) if known and len(known) == len(since) else None

    def is_informed(self, now_ms: int) -> bool:
        """Return whether a relay that reaches the platform has been heard lately."""
        return any(
            relay.heard_ms is not None
            and now_ms - relay.heard_ms <= RELAY_SILENCE_MS
            and relay.outage_since_ms is None
            for relay in self._relays.values()
        )

    def _candidates(self) -> list[VmId]:
        if self._offered is not None and self._offered not in self._ranking:
            return [*self._ranking, self._offered]
        return self._ranking

    def _fail(self, now_ms: int, vm_id: VmId) -> None:
        if self._relays.pop(vm_id, None) is not None:
            self._failed_until_ms[vm_id] = now_ms + RELAY_RETRY_MS

    def _status(self, now_ms: int, vm_id: VmId, is_reading: bool) -> _Status:
        if vm_id == self.vm_id:
            return _Status.GOOD if is_reading else _Status.BLIND
        relay = self._relays.get(vm_id)
        if relay is None:
            is_failed = now_ms < self._failed_until_ms.get(vm_id, now_ms)
            return _Status.FAILED if is_failed else _Status.PENDING
        if relay.heard_ms is None:
            is_late = now_ms - relay.asked_ms > RELAY_ANSWER_MS
            return _Status.FAILED if is_late else _Status.PENDING
        if now_ms - relay.heard_ms > RELAY_SILENCE_MS:
            return _Status.FAILED
        return _Status.GOOD if relay.outage_since_ms is None else _Status.BLIND
