"""What a relay knows of its members and of the relays of other failure domains."""

from collections.abc import Iterable

import attrs

from wisteria_core import VmId
from wisteria_limits import AccountDelta

from .const import MEMBER_RETENTION_MS, MEMBER_SILENCE_MS, RELAY_SILENCE_MS
from .ranges import WHOLE_MAX


@attrs.define
class _Member:
    """Last report of a member; its link may be lost."""

    leaving: bool
    heard_ms: int
    is_linked: bool = True


@attrs.frozen
class DomainSummary:
    """Daemons of one failure domain, as its relay sees them."""

    daemons: int
    leaving: frozenset[VmId]
    silent: frozenset[VmId]


@attrs.define
class _OtherRelay:
    """Last summary of another failure domain's relay."""

    summary: DomainSummary
    heard_ms: int


@attrs.define
class UseTotals:
    """Sums of calls by account until they are taken."""

    _totals: dict[str, list[int]] = attrs.field(factory=dict)

    def add(self, uses: Iterable[AccountDelta]) -> None:
        for use in uses:
            total = self._totals.setdefault(use.account, [0, 0])
            total[0] = _bound(total[0] + use.offered)
            total[1] = _bound(total[1] + use.admitted)

    def take(self) -> tuple[AccountDelta, ...]:
        totals, self._totals = self._totals, {}
        return tuple(AccountDelta(name, *total) for name, total in totals.items())

    def __bool__(self) -> bool:
        return bool(self._totals)


@attrs.define
class MemberTable:
    """Members that report to this daemon, and summaries of the other failure domains.

    A use counted by one member passes through exactly one relay of each failure domain, so no
    receiver counts it twice.

    Parameters
    ----------
    for_domains, for_members : UseTotals
        Calls that the relays of other failure domains, or the members, have not been told yet.
    """

    for_domains: UseTotals = attrs.field(factory=UseTotals)
    for_members: UseTotals = attrs.field(factory=UseTotals)
    _members: dict[VmId, _Member] = attrs.field(factory=dict)
    _others: dict[VmId, _OtherRelay] = attrs.field(factory=dict)

    @property
    def is_empty(self) -> bool:
        return not self._members

    def note_report(
        self, now_ms: int, vm_id: VmId, leaving: bool, uses: Iterable[AccountDelta]
    ) -> None:
        """Record the report of a member, or of this daemon itself."""
        self._members[vm_id] = _Member(leaving, now_ms)
        uses = tuple(uses)
        self.for_domains.add(uses)
        self.for_members.add(uses)

    def note_domain(
        self, now_ms: int, relay: VmId, summary: DomainSummary, uses: Iterable[AccountDelta]
    ) -> None:
        """Record the summary of another failure domain."""
        self._others[relay] = _OtherRelay(summary, now_ms)
        self.for_members.add(uses)

    def note_lost(self, now_ms: int, vm_id: VmId) -> None:
        """Record that the link to a subscriber was closed without a farewell."""
        self._members[vm_id] = _Member(False, now_ms, is_linked=False)

    def note_linked(self, vm_id: VmId) -> None:
        """Record that a subscriber has a link again."""
        member = self._members.get(vm_id)
        if member is not None and not member.is_linked:
            del self._members[vm_id]

    def forget(self, vm_id: VmId) -> None:
        """Drop a member that reports to another relay from now on."""
        self._members.pop(vm_id, None)

    def keep_only(self, vm_ids: set[VmId]) -> None:
        """Drop the members that are neither in the list of VMs nor linked."""
        self._members = {
            key: one for key, one in self._members.items() if one.is_linked or key in vm_ids
        }

    def clear(self) -> None:
        """Forget everything, after a pause of this process in which members may have moved."""
        self._members.clear()
        self._others.clear()

    def expire(self, now_ms: int) -> None:
        """Drop members and summaries that were last heard of long ago."""
        self._members = {
            key: one
            for key, one in self._members.items()
            if now_ms - one.heard_ms <= MEMBER_RETENTION_MS
        }
        self._others = {
            key: one
            for key, one in self._others.items()
            if now_ms - one.heard_ms <= RELAY_SILENCE_MS
        }

    def summarize(self, now_ms: int, linked: int) -> DomainSummary:
        """Return the state of the own members.

        If more of them seem silent than are linked, it is rather this daemon that was out of
        touch, and none counts as silent.

        Parameters
        ----------
        linked : int
            Number of subscribers with a link.
        """
        silent = frozenset(
            vm_id
            for vm_id, one in self._members.items()
            if not one.is_linked or now_ms - one.heard_ms > MEMBER_SILENCE_MS
        )
        leaving = frozenset(vm_id for vm_id, one in self._members.items() if one.leaving)
        daemons = len(self._members) - len(silent)
        return DomainSummary(daemons, leaving, silent if len(silent) <= linked else frozenset())

    def summarize_fleet(self, now_ms: int, linked: int) -> DomainSummary:
        """Return the state of all daemons that any failure domain's relay reports."""
        own = self.summarize(now_ms, linked)
        others = [one.summary for one in self._others.values()]
        return DomainSummary(
            _bound(own.daemons + sum(one.daemons for one in others)),
            own.leaving.union(*(one.leaving for one in others)),
            own.silent.union(*(one.silent for one in others)),
        )


def _bound(total: int) -> int:
    """Return a sum of what peers have sent, or the nearest one that a message can hold."""
    return max(-WHOLE_MAX, min(WHOLE_MAX, total))
