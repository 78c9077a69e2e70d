"""Control traffic of one daemon as member and as relay, without input or output."""

from collections.abc import Callable
from typing import Any

import attrs

from wisteria_core import (
    FailureDomain,
    VmId,
    VmList,
    VmState,
    rank_by_rendezvous,
    rendezvous_weight,
)
from wisteria_limits import SharedRateLimiter

from .const import (
    CLEANUP_INTERVAL_MS,
    CONTACTS_MAX,
    HEARTBEAT_INTERVAL_MS,
    OUTAGE_REPORT_MS,
    RELAY_BLIND_MS,
    RELAY_BLIND_SPREAD_MS,
    RELAY_KEEP_MS,
    RELAY_RETRY_MS,
)
from .directory import Applied, Directory, EntryChanges
from .entries import StorePosition
from .evacuations import EvacuationRecord
from .members import DomainSummary, MemberTable
from .messages import (
    DocumentAsk,
    DomainNews,
    Evacuations,
    MemberReport,
    PeerNews,
    RelayNews,
    Subscription,
)
from .peers import PeerStates
from .relays import RelayChoice


@attrs.define(eq=False)
class ControlNode:
    """Decides what a daemon tells its relays, its members and other failure domains' relays.

    Every daemon subscribes to two relays of its failure domain, which read from the platform and
    pass on what they learn. Counts of calls go to one of them, the primary relay, which exchanges
    sums with one relay of each other failure domain.

    Parameters
    ----------
    send : callable
        Sends a control message; it may be lost.
    send_document : callable
        Sends the configuration in force to a VM.
    set_reading : callable
        Starts or ends reading from the platform.
    on_list, on_states, on_evacuations : callable
        Called after the entries of backend servers, the states of peers or the evacuated failure
        domains have changed.
    """

    vm_id: VmId
    failure_domain: FailureDomain
    rate_limiter: SharedRateLimiter
    send: Callable[[VmId, Any], None]
    send_document: Callable[[VmId], None]
    set_reading: Callable[[bool], None]
    on_list: Callable[[], None]
    on_states: Callable[[], None]
    on_evacuations: Callable[[], None] = lambda: None
    config_version: int = 0
    is_leaving: bool = False
    directory: Directory = attrs.field(factory=Directory)
    evacuations: EvacuationRecord = attrs.field(factory=EvacuationRecord)
    peer_states: PeerStates = attrs.field(factory=PeerStates)
    members: MemberTable = attrs.field(factory=MemberTable)
    relays: RelayChoice = attrs.field(init=False)
    subscribers: set[VmId] = attrs.field(factory=set)
    is_reading: bool = False
    _has_read: bool = False
    _lost_ms: int | None = None
    _needed_ms: int | None = None
    _evacuation_sources: set[VmId] = attrs.field(factory=set)
    _uninformed_since_ms: int | None = None
    _primary: VmId | None = None
    _domains: dict[FailureDomain, list[VmId]] = attrs.field(factory=dict)
    _rankings: dict[FailureDomain, list[VmId]] = attrs.field(factory=dict)
    _unreachable_until_ms: dict[VmId, int] = attrs.field(factory=dict)
    _newer: dict[VmId, int] = attrs.field(factory=dict)
    _last_news: dict[VmId, PeerNews] = attrs.field(factory=dict)
    _asked_ms: dict[VmId, int] = attrs.field(factory=dict)
    _reported: MemberReport | None = None
    _reported_ms: int = 0
    _summary: DomainSummary | None = None
    _summarized_ms: int = 0
    _broadcast: RelayNews | None = None
    _broadcast_ms: int = 0
    _cleaned_up_ms: int = 0

    def __attrs_post_init__(self) -> None:
        self.relays = RelayChoice(self.vm_id, self.failure_domain)

    @property
    def is_relay(self) -> bool:
        """Whether others learn from this daemon, or count on it to."""
        return bool(self.subscribers) or self.relays.includes_self

    def reaches_platform(self, now_ms: int) -> bool:
        """Return whether this daemon reads from the platform with success."""
        if not self.is_reading or not self._has_read:
            return False
        return self._lost_ms is None or now_ms - self._lost_ms <= OUTAGE_REPORT_MS

    # what this daemon learns by itself

    def note_store(self, now_ms: int, *, is_reached: bool) -> None:
        """Record whether a read from the platform has succeeded."""
        if not is_reached:
            self._lost_ms = now_ms if self._lost_ms is None else self._lost_ms
            self.directory.roster.note_outage(now_ms)
            return
        had_read = self.reaches_platform(now_ms)
        self._has_read = True
        self._lost_ms = None
        self.directory.roster.note_recovery(now_ms)
        if not had_read:
            # members must know of the end of an outage before they see what lapsed during it
            self._tell_members(now_ms, ())

    def apply_list(self, vm_list: VmList) -> None:
        """Rank the VMs of a list as relays of their failure domains."""
        self.relays.apply_list(vm_list)
        self.members.keep_only({vm.vm_id for vm in vm_list})
        self._domains, self._rankings = {}, {}
        for vm in vm_list:
            if vm.state is VmState.LIVE:
                self._domains.setdefault(vm.failure_domain, []).append(vm.vm_id)

    def apply_changes(self, now_ms: int, changes: EntryChanges) -> Applied:
        """Apply changes of entries from the store or a relay, and pass new ones on."""
        applied = self.directory.apply(now_ms, changes)
        if applied is Applied.CHANGED:
            for vm_id in self.subscribers:
                self.send(vm_id, changes)
            self.on_list()
        return applied

    def apply_evacuations(
        self, now_ms: int, position: StorePosition, domains: frozenset[FailureDomain]
    ) -> None:
        """Apply evacuations from the store or a relay, and pass new ones on."""
        if self.evacuations.apply(now_ms, position, domains):
            for vm_id in self.subscribers:
                self._send_evacuations(vm_id)
            self.on_evacuations()

    def note_document(self, version: int) -> None:
        """Pass on a configuration that has come into force."""
        self.config_version = version
        for vm_id in self.subscribers:
            self.send_document(vm_id)

    def note_leaving(self, now_ms: int, vm_id: VmId, is_leaving: bool) -> None:
        """Record what a peer says of itself."""
        if self.peer_states.note_leaving(now_ms, vm_id, is_leaving):
            self.on_states()

    def note_link_lost(self, now_ms: int, vm_id: VmId) -> None:
        """Record that the last link to a VM was closed."""
        self.note_unreachable(now_ms, vm_id)
        self.peer_states.note_link_lost(vm_id)
        if vm_id in self.subscribers:
            self.subscribers.discard(vm_id)
            self.members.note_lost(now_ms, vm_id)
        self._last_news.pop(vm_id, None)
        self._evacuation_sources.discard(vm_id)

    def note_unreachable(self, now_ms: int, vm_id: VmId) -> None:
        """Record that a VM could not be sent a message."""
        self.relays.note_lost(now_ms, vm_id)
        self._unreachable_until_ms[vm_id] = now_ms + RELAY_RETRY_MS

    def reset(self, now_ms: int) -> None:
        """Forget who was silent, after a pause of this process."""
        self.members.clear()
        self.relays.reset(now_ms)

    # messages

    def handle(self, now_ms: int, sender: VmId, message: Any) -> None:
        """Process a message of another daemon."""
        match message:
            case Subscription():
                self._handle_subscription(now_ms, sender, message)
            case MemberReport():
                self.members.note_report(now_ms, sender, message.leaving, message.uses)
                if message.is_last:
                    self.members.forget(sender)
                self._note_version(sender, message.config_version)
            case DomainNews():
                summary = DomainSummary(
                    message.daemons, _to_ids(message.leaving), _to_ids(message.silent)
                )
                self.members.note_domain(now_ms, sender, summary, message.uses)
                self._note_version(sender, message.config_version)
            case RelayNews():
                self._handle_relay_news(now_ms, sender, message)
            case EntryChanges():
                if self.apply_changes(now_ms, message) is Applied.GAP:
                    self._ask_again(now_ms, sender)
            case Evacuations():
                self._handle_evacuations(now_ms, sender, message)
            case PeerNews():
                self._handle_peer_news(now_ms, sender, message)

    def _handle_subscription(self, now_ms: int, sender: VmId, message: Subscription) -> None:
        if not message.active:
            self.subscribers.discard(sender)
            self.members.forget(sender)
            return
        self.subscribers.add(sender)
        self.members.note_linked(sender)
        self._update_reading(now_ms)
        # first, so that a daemon that has just started calls no server of an evacuated domain
        self._send_evacuations(sender)
        position = self.directory.position
        if (message.epoch, message.revision) < (position.epoch, position.revision):
            self.send(sender, self.directory.snapshot())
        if message.config_version < self.config_version:
            self.send_document(sender)
        self._note_version(sender, message.config_version)
        self.send(sender, self._make_news(now_ms, ()))

    def _handle_relay_news(self, now_ms: int, sender: VmId, message: RelayNews) -> None:
        self._note_version(sender, message.config_version)
        if not self.relays.is_subscribed(sender):
            self.relays.note_offer(sender)
            return
        self.relays.note_news(now_ms, sender, message.is_reading, message.outage_ms)
        self._update_outage(now_ms)
        self._apply_fleet(now_ms, sender, message)

    def _apply_fleet(self, now_ms: int, relay: VmId, news: RelayNews) -> None:
        self.rate_limiter.apply_fleet(now_ms, news.daemons, news.uses)
        leaving, silent = _to_ids(news.leaving), _to_ids(news.silent)
        if self.peer_states.note_view(now_ms, relay, leaving, silent):
            self.on_states()

    def _handle_evacuations(self, now_ms: int, sender: VmId, message: Evacuations) -> None:
        self._evacuation_sources.add(sender)
        position = StorePosition(message.epoch, message.revision)
        domains = frozenset(FailureDomain(name) for name in message.domains)
        self.apply_evacuations(now_ms, position, domains)

    def _send_evacuations(self, vm_id: VmId) -> None:
        """Send the evacuated failure domains, also if there are none, once they are known."""
        if self.evacuations.is_known:
            position = self.evacuations.position
            domains = tuple(sorted(self.evacuations.listed))
            self.send(vm_id, Evacuations(position.epoch, position.revision, domains))

    def _handle_peer_news(self, now_ms: int, sender: VmId, message: PeerNews) -> None:
        self.note_leaving(now_ms, sender, message.leaving)
        self._note_version(sender, message.config_version)
        # earlier versions repeat their news and close a link on which they hear none
        if self._last_news.get(sender) == message:
            self.send(sender, self.make_peer_news())
        self._last_news[sender] = message

    def make_peer_news(self) -> PeerNews:
        return PeerNews(self.config_version, self.is_leaving)

    def _note_version(self, sender: VmId, version: int) -> None:
        if version > self.config_version:
            self._newer[sender] = version

    def _ask_again(self, now_ms: int, relay: VmId) -> None:
        """Request all entries from a relay whose changes don't follow the known ones."""
        if now_ms - self._asked_ms.get(relay, 0) >= CLEANUP_INTERVAL_MS:
            self._asked_ms[relay] = now_ms
            self.send(relay, self._make_subscription())

    def _make_subscription(self, active: bool = True) -> Subscription:
        position = self.directory.position
        return Subscription(active, position.epoch, position.revision, self.config_version)

    # periods

    def report(self, now_ms: int) -> None:
        """Choose relays and report to the primary one; call once in each report interval."""
        self._choose_relays(now_ms)
        self._update_reading(now_ms)
        self._update_outage(now_ms)
        self._report_to_primary(now_ms)
        self._ask_for_newer()
        if self.directory.roster.expire(now_ms):
            self.on_list()
        if self.peer_states.expire(now_ms):
            self.on_states()
        if self.evacuations.expire(now_ms):
            self.on_evacuations()
        if now_ms - self._cleaned_up_ms >= CLEANUP_INTERVAL_MS:
            self._cleaned_up_ms = now_ms
            self.members.expire(now_ms)
            self._contact_missing(now_ms)

    def exchange_domains(self, now_ms: int) -> None:
        """Send the sums of this failure domain to the other ones, if this daemon has them."""
        if self.members.is_empty:
            return
        summary = self.members.summarize(now_ms, len(self.subscribers))
        is_due = now_ms - self._summarized_ms >= HEARTBEAT_INTERVAL_MS
        if not self.members.for_domains and summary == self._summary and not is_due:
            return
        self._summary, self._summarized_ms = summary, now_ms
        news = DomainNews(
            self.config_version,
            summary.daemons,
            tuple(sorted(summary.leaving)),
            tuple(sorted(summary.silent)),
            self.members.for_domains.take(),
        )
        for domain in self._domains:
            if domain != self.failure_domain:
                target = self._find_relay_of(now_ms, domain)
                if target is not None:
                    self.send(target, news)

    def broadcast(self, now_ms: int) -> None:
        """Tell the members, and this daemon itself, what relays have summed up."""
        uses = self.members.for_members.take()
        news = self._make_news(now_ms, uses)
        if not self.members.is_empty:
            self._apply_fleet(now_ms, self.vm_id, news)
        if not self.subscribers:
            return
        is_due = now_ms - self._broadcast_ms >= HEARTBEAT_INTERVAL_MS
        if uses or is_due or attrs.evolve(news, outage_ms=0) != self._broadcast:
            self._send_news(now_ms, news)

    def _tell_members(self, now_ms: int, uses: tuple[Any, ...]) -> None:
        self._send_news(now_ms, self._make_news(now_ms, uses))

    def _send_news(self, now_ms: int, news: RelayNews) -> None:
        self._broadcast = attrs.evolve(news, outage_ms=0, uses=())
        self._broadcast_ms = now_ms
        for vm_id in self.subscribers:
            self.send(vm_id, news)

    def _make_news(self, now_ms: int, uses: tuple[Any, ...]) -> RelayNews:
        summary = self.members.summarize_fleet(now_ms, len(self.subscribers))
        reaches = self.reaches_platform(now_ms)
        lost_ms = self._lost_ms if self._lost_ms is not None else now_ms
        return RelayNews(
            self.config_version,
            reaches,
            0 if reaches else now_ms - lost_ms,
            summary.daemons,
            tuple(sorted(summary.leaving)),
            tuple(sorted(summary.silent)),
            uses,
        )

    def _choose_relays(self, now_ms: int) -> None:
        new, left = self.relays.select(now_ms, self.reaches_platform(now_ms))
        for vm_id in new:
            self.send(vm_id, self._make_subscription())
        for vm_id in left:
            self.send(vm_id, self._make_subscription(active=False))

    def _update_reading(self, now_ms: int) -> None:
        """Read from the platform while others need it or no relay tells enough."""
        spread_ms = rendezvous_weight("blind", self.vm_id) % RELAY_BLIND_SPREAD_MS
        is_blind = self.relays.unheard_ms(now_ms) > RELAY_BLIND_MS + spread_ms
        if self.is_relay or is_blind or self._is_uninformed(now_ms, spread_ms):
            self._needed_ms = now_ms
        is_needed = self._needed_ms is not None and now_ms - self._needed_ms <= RELAY_KEEP_MS
        if is_needed != self.is_reading:
            self.is_reading = is_needed
            self._has_read, self._lost_ms = False, None
            self.set_reading(is_needed)

    def _is_uninformed(self, now_ms: int, spread_ms: int) -> bool:
        """Return whether the relays reach the platform, but pass on no evacuations.

        Relays of earlier versions don't.
        """
        tells = any(self.relays.is_subscribed(vm_id) for vm_id in self._evacuation_sources)
        if tells or not self.relays.is_informed(now_ms):
            self._uninformed_since_ms = None
            return False
        if self._uninformed_since_ms is None:
            self._uninformed_since_ms = now_ms
        return now_ms - self._uninformed_since_ms > RELAY_BLIND_MS + spread_ms

    def _update_outage(self, now_ms: int) -> None:
        """Take over from the relays when the platform was last reached."""
        if self.is_reading:
            return
        since_ms = self.relays.outage_since(now_ms)
        if since_ms is not None:
            self.directory.roster.note_outage(since_ms)
        elif self.relays.is_informed(now_ms):
            self.directory.roster.note_recovery(now_ms)

    def _report_to_primary(self, now_ms: int) -> None:
        primary = self.relays.primary(now_ms, self.reaches_platform(now_ms))
        if primary != self._primary:
            self._leave_primary()
            self._primary, self._reported = primary, None
        if primary is None:
            return
        report = MemberReport(
            self.config_version, self.is_leaving, self.rate_limiter.take_report(now_ms)
        )
        if primary == self.vm_id:
            self.members.note_report(now_ms, self.vm_id, self.is_leaving, report.uses)
            return
        is_due = now_ms - self._reported_ms >= HEARTBEAT_INTERVAL_MS
        if report.uses or is_due or report != self._reported:
            self._reported, self._reported_ms = attrs.evolve(report, uses=()), now_ms
            self.send(primary, report)

    def _leave_primary(self) -> None:
        self.rate_limiter.forget_sent()
        if self._primary == self.vm_id:
            self.members.forget(self.vm_id)
        elif self._primary is not None and self.relays.is_subscribed(self._primary):
            self.send(
                self._primary, MemberReport(self.config_version, self.is_leaving, is_last=True)
            )

    def _ask_for_newer(self) -> None:
        newer = {vm_id: one for vm_id, one in self._newer.items() if one > self.config_version}
        self._newer = {}
        if newer:
            self.send(max(newer, key=lambda vm_id: newer[vm_id]), DocumentAsk(self.config_version))

    def _find_relay_of(self, now_ms: int, domain: FailureDomain) -> VmId | None:
        """Return the first relay of another failure domain that is not known to be out of reach."""
        ranking = self._rankings.get(domain)
        if ranking is None:
            names = rank_by_rendezvous(domain, self._domains[domain])
            ranking = self._rankings[domain] = [VmId(name) for name in names]
        usable = (
            vm_id
            for vm_id in ranking
            if now_ms >= self._unreachable_until_ms.get(vm_id, 0)
            and not self.peer_states.is_silent(vm_id)
            and not self.peer_states.is_leaving(vm_id)
        )
        return next(usable, None)

    def _contact_missing(self, now_ms: int) -> None:
        """Offer this relay to daemons of its failure domain that may know none."""
        if not self.relays.includes_self or not self.reaches_platform(now_ms):
            return
        own_domain = self._domains.get(self.failure_domain, ())
        missing = [
            vm_id for vm_id in own_domain if vm_id != self.vm_id and vm_id not in self.subscribers
        ]
        for vm_id in missing[:CONTACTS_MAX]:
            self.send(vm_id, self._make_news(now_ms, ()))


def _to_ids(names: tuple[str, ...]) -> frozenset[VmId]:
    return frozenset(VmId(name) for name in names)
