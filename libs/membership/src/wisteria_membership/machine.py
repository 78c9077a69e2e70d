"""State machine that tracks the status of all other VMs of the fleet."""

import attrs

from wisteria_core import VmId, VmList, VmState, rendezvous_weight

from .budget import ByteBudget
from .config import MembershipConfig
from .const import NO_VERSION, NOTICES_MASK
from .evaluation import evaluate_status
from .models import (
    Action,
    AuditEntry,
    Heartbeat,
    HeartbeatReply,
    MembershipMessage,
    News,
    NewsKind,
    PeerRecord,
    PeerVersions,
    Send,
    Status,
    StatusChanged,
)
from .outbox import HeartbeatKind, Outbox
from .overlay import Overlay


class Membership:
    """Determines which VMs are usable from the platform's VM list, heartbeats and calls.

    Event methods take a reading of the daemon's own clock and return the actions to carry out.

    Parameters
    ----------
    vm_id : VmId
        VM of this daemon.
    incarnation : int
        Incarnation of this process, higher than that of any earlier process of this VM.
    now_ms : int
        Clock reading at the start.
    config : MembershipConfig, optional
        Intervals, thresholds and limits.
    """

    def __init__(
        self,
        vm_id: VmId,
        incarnation: int,
        now_ms: int,
        config: MembershipConfig | None = None,
    ) -> None:
        self.vm_id = vm_id
        self.incarnation = incarnation
        self.config = config or MembershipConfig()
        self.list_version = NO_VERSION
        self.lists_ignored = 0
        self.records: dict[VmId, PeerRecord] = {}
        self._highest_list_heard = NO_VERSION
        self._overlay = Overlay(
            vm_id, self.config.neighbours_same_domain, self.config.neighbours_other_domains
        )
        self._neighbours: tuple[VmId, ...] = ()
        self._outbox = Outbox(
            vm_id,
            incarnation,
            self.config.max_news_bytes,
            ByteBudget(self.config.bytes_per_s, now_ms),
        )
        self._sequence = 0
        self._last_tick_ms = now_ms
        self._stall_until_ms = now_ms
        self._probe_due_ms = now_ms
        self._watched: set[VmId] = set()
        self._actions: list[Action] = []

    # --- queries

    def status(self, vm_id: VmId) -> Status:
        """Return the status of a VM; one that is not on the list is gone."""
        record = self.records.get(vm_id)
        return Status.GONE if record is None else record.status

    def usable(self, vm_id: VmId) -> bool:
        """Whether new work may be sent to a VM."""
        return self.status(vm_id) is Status.LIVE

    def neighbours(self) -> tuple[VmId, ...]:
        """Return the VMs that receive heartbeats."""
        return self._neighbours

    def peer_versions(self, vm_id: VmId) -> PeerVersions:
        """Return the versions that a VM last reported."""
        record = self.records.get(vm_id)
        return PeerVersions() if record is None else record.versions

    @property
    def is_leaving(self) -> bool:
        """Whether this VM announces that it accepts no new work."""
        return self._outbox.is_leaving

    @property
    def bytes_sent(self) -> int:
        """Estimated bytes of all messages sent."""
        return self._outbox.bytes_sent

    @property
    def highest_list_version(self) -> int:
        """Highest list version that any daemon has reported."""
        return max(self._highest_list_heard, self.list_version)

    # --- events

    def update_list(self, now_ms: int, vm_list: VmList) -> list[Action]:
        """Apply a version of the VM list; an older one is counted and ignored."""
        if vm_list.version <= self.list_version:
            self.lists_ignored += vm_list.version < self.list_version
            return self._flush()
        self.list_version = vm_list.version
        self._outbox.versions = attrs.evolve(self._outbox.versions, list_version=vm_list.version)
        named = {vm.vm_id: vm for vm in vm_list if vm.vm_id != self.vm_id}
        for vm_id in [vm_id for vm_id in self.records if vm_id not in named]:
            self._remove(now_ms, vm_id)
        for vm_id, vm in named.items():
            record = self.records.get(vm_id)
            if record is None:
                record = self.records[vm_id] = PeerRecord(vm_id, due_ms=now_ms)
            record.is_leaving_by_list = vm.state is VmState.LEAVING
            self._update_status(now_ms, record)
        self._outbox.gossip.fleet_size = len(vm_list)
        self._neighbours = self._overlay.find_neighbours(vm_list)
        return self._flush()

    def set_config(self, config_version: int, config_digest: bytes) -> None:
        """Set the configuration version and digest that heartbeats report."""
        self._outbox.versions = attrs.evolve(
            self._outbox.versions, config_version=config_version, config_digest=config_digest
        )

    def handle(
        self, now_ms: int, sender: VmId, sender_incarnation: int, message: MembershipMessage
    ) -> list[Action]:
        """Handle a message; messages of an earlier process of the sender are dropped."""
        record = self.records.get(sender)
        if record is not None and sender_incarnation < record.incarnation:
            return self._flush()
        self._highest_list_heard = max(self._highest_list_heard, message.list_version)
        if record is not None:
            self._handle_contact(now_ms, record, sender_incarnation, message)
        for news in message.news:
            self._handle_news(now_ms, news)
        if record is not None:
            self._check_notices_digest(record, message.notices_digest)
        match message:
            case Heartbeat():
                self._send_reply(now_ms, sender, message)
            case HeartbeatReply() if record is not None:
                self._handle_reply(now_ms, record, message)
        return self._flush()

    def tick(self, now_ms: int) -> list[Action]:
        """Send due heartbeats and update statuses; call several times a second."""
        self._detect_own_stall(now_ms)
        for vm_id in self._neighbours:
            record = self.records[vm_id]
            if now_ms >= record.due_ms:
                self._send_heartbeat(now_ms, record)
        if now_ms >= self._probe_due_ms:
            self._probe_due_ms = now_ms + self.config.interval_ms
            self._send_probes(now_ms)
        for vm_id in sorted(self._watched):
            self._update_status(now_ms, self.records[vm_id])
        return self._flush()

    def note_call_outcome(self, now_ms: int, vm_id: VmId, is_ok: bool) -> list[Action]:
        """Record whether a call reached the daemon of a VM; a refusal counts as reached."""
        record = self.records.get(vm_id)
        if record is None:
            return self._flush()
        if is_ok:
            self._clear_failures(record)
        else:
            record.call_failures += 1
        self._update_status(now_ms, record)
        return self._flush()

    def note_link(self, now_ms: int, vm_id: VmId, is_open: bool) -> list[Action]:
        """Record whether a connection to a VM's daemon is open."""
        record = self.records.get(vm_id)
        if record is not None:
            record.is_linked = is_open
            self._update_status(now_ms, record)
        return self._flush()

    def note_leaving(self, now_ms: int, vm_id: VmId, is_leaving: bool) -> list[Action]:
        """Record whether a VM accepts new work, as its daemon stated in an answer."""
        record = self.records.get(vm_id)
        if record is not None:
            self._set_leaving_notice(record, is_leaving)
            self._update_status(now_ms, record)
        return self._flush()

    def begin_leave(self, now_ms: int) -> list[Action]:
        """Announce that this VM accepts no new work, for a planned stop or a drain."""
        return self._set_leaving(now_ms, True)

    def end_leave(self, now_ms: int) -> list[Action]:
        """Announce that this VM accepts work again after a drain."""
        return self._set_leaving(now_ms, False)

    # --- evidence

    def _set_leaving(self, now_ms: int, is_leaving: bool) -> list[Action]:
        if self._outbox.is_leaving is is_leaving:
            return self._flush()
        self._outbox.is_leaving = is_leaving
        self._outbox.notices_digest ^= _digest_notice(self.vm_id, self.incarnation)
        kind = NewsKind.LEAVING if is_leaving else NewsKind.STAYING
        self._outbox.announce(kind, self.vm_id, self.incarnation)
        self._actions.append(AuditEntry(now_ms, kind.value, self.vm_id))
        for vm_id in self._neighbours:
            self._send_heartbeat(now_ms, self.records[vm_id])
        return self._flush()

    def _handle_contact(
        self, now_ms: int, record: PeerRecord, incarnation: int, message: MembershipMessage
    ) -> None:
        self._note_incarnation(now_ms, record, incarnation)
        self._set_leaving_notice(record, message.is_leaving)
        if message.stalled_ms >= self.config.stall_ms:
            record.stalled_until_ms = now_ms + self.config.stall_hold_ms
        record.versions = PeerVersions(
            message.list_version, message.config_version, message.config_digest
        )
        self._clear_failures(record)
        self._update_status(now_ms, record)

    def _set_leaving_notice(self, record: PeerRecord, is_leaving: bool) -> None:
        if record.is_leaving_by_notice is not is_leaving:
            record.is_leaving_by_notice = is_leaving
            self._outbox.notices_digest ^= _digest_notice(record.vm_id, record.incarnation)

    def _check_notices_digest(self, record: PeerRecord, notices_digest: int) -> None:
        """Queue all notices for a peer that knows of different leaving VMs.

        They are sent over several messages, as far as the byte budget allows.
        """
        if notices_digest == self._outbox.notices_digest:
            record.resync_news.clear()
        elif not record.resync_news:
            record.resync_news = self._outbox.gossip.list_notices()

    def _handle_reply(self, now_ms: int, record: PeerRecord, reply: HeartbeatReply) -> None:
        if record.awaited_sequence is not None and reply.sequence >= record.awaited_sequence:
            record.awaited_sequence = None
        if record.is_reported:
            record.is_reported = False
            self._outbox.announce(NewsKind.REACHABLE, record.vm_id, record.incarnation)
        self._update_status(now_ms, record)

    def _clear_failures(self, record: PeerRecord) -> None:
        record.unanswered = 0
        record.call_failures = 0
        record.reports.clear()

    def _note_incarnation(self, now_ms: int, record: PeerRecord, incarnation: int) -> None:
        if incarnation <= record.incarnation:
            return
        if record.incarnation != NO_VERSION:
            self._actions.append(
                AuditEntry(now_ms, "restarted", record.vm_id, f"incarnation={incarnation}")
            )
            record.stalled_until_ms = None
            self._clear_failures(record)
            self._outbox.gossip.add(
                News(NewsKind.STARTED, record.vm_id, incarnation, record.vm_id, incarnation, 0)
            )
        keep_notice = record.is_leaving_by_notice and record.incarnation == NO_VERSION
        self._set_leaving_notice(record, False)
        record.incarnation = incarnation
        self._set_leaving_notice(record, keep_notice)
        self._update_status(now_ms, record)

    def _handle_news(self, now_ms: int, news: News) -> None:
        record = self.records.get(news.subject)
        if news.origin == self.vm_id or news.subject == self.vm_id or record is None:
            return
        if news.incarnation < record.incarnation or not self._outbox.gossip.add(news):
            return
        self._note_incarnation(now_ms, record, news.incarnation)
        match news.kind:
            case NewsKind.STARTED:
                pass
            case NewsKind.LEAVING:
                self._set_leaving_notice(record, True)
                self._expedite_heartbeats(now_ms)
            case NewsKind.STAYING:
                self._set_leaving_notice(record, False)
            case NewsKind.UNREACHABLE:
                record.reports[news.origin] = now_ms + self.config.report_validity_ms
            case NewsKind.REACHABLE:
                record.reports.pop(news.origin, None)
        self._update_status(now_ms, record)

    def _update_status(self, now_ms: int, record: PeerRecord) -> None:
        new, reason = evaluate_status(record, now_ms, self.config)
        if new is Status.LIVE and not record.reports:
            self._watched.discard(record.vm_id)
        else:
            self._watched.add(record.vm_id)
        if new is record.status:
            return
        self._record_status(now_ms, record, new, reason)
        if (
            new in (Status.UNREACHABLE, Status.PAUSED)
            and record.unanswered >= self.config.max_unanswered
        ):
            record.is_reported = True
            self._outbox.announce(NewsKind.UNREACHABLE, record.vm_id, record.incarnation)

    def _remove(self, now_ms: int, vm_id: VmId) -> None:
        record = self.records.pop(vm_id)
        self._watched.discard(vm_id)
        self._set_leaving_notice(record, False)
        self._record_status(now_ms, record, Status.GONE, "list")
        self._outbox.gossip.discard_vm(vm_id)

    def _record_status(self, now_ms: int, record: PeerRecord, new: Status, reason: str) -> None:
        old, record.status = record.status, new
        self._actions.append(StatusChanged(record.vm_id, old, new, reason))
        detail = f"{old.value} to {new.value}: {reason}"
        self._actions.append(AuditEntry(now_ms, "status", record.vm_id, detail))

    def _detect_own_stall(self, now_ms: int) -> None:
        """Detect a stall of the local event loop, after which missing replies are no evidence."""
        gap_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if gap_ms >= self.config.stall_ms:
            self._outbox.stalled_ms = gap_ms
            self._stall_until_ms = now_ms + self.config.stall_hold_ms
            for record in self.records.values():
                record.unanswered = 0
                record.awaited_sequence = None
        elif now_ms >= self._stall_until_ms:
            self._outbox.stalled_ms = 0

    # --- messages

    def _send_heartbeat(self, now_ms: int, record: PeerRecord) -> None:
        if record.awaited_sequence is not None:
            record.unanswered += 1
        self._update_status(now_ms, record)
        self._sequence += 1
        record.awaited_sequence = self._sequence
        record.due_ms = now_ms + self.config.interval_ms
        self._send(now_ms, record.vm_id, Heartbeat, self._sequence)

    def _send_probes(self, now_ms: int) -> None:
        suspected = [
            record
            for record in map(self.records.__getitem__, sorted(self._watched))
            if self._has_direct_evidence(record)
            and record.vm_id not in self._neighbours
            and now_ms >= record.due_ms
        ]
        suspected.sort(key=lambda record: record.due_ms)
        for record in suspected[: self.config.probes_per_interval]:
            self._send_heartbeat(now_ms, record)

    def _has_direct_evidence(self, record: PeerRecord) -> bool:
        is_silent = record.unanswered >= self.config.max_unanswered
        return is_silent or record.call_failures >= self.config.call_failures

    def _send_reply(self, now_ms: int, sender: VmId, heartbeat: Heartbeat) -> None:
        self._send(now_ms, sender, HeartbeatReply, heartbeat.sequence)

    def _expedite_heartbeats(self, now_ms: int) -> None:
        """Send the next heartbeats at once if the byte budget allows, to spread urgent news."""
        for vm_id in self._neighbours:
            record = self.records[vm_id]
            record.due_ms = min(record.due_ms, now_ms + self._expedited_delay_ms(now_ms))

    def _expedited_delay_ms(self, now_ms: int) -> int:
        has_reserve = self._outbox.budget.available(now_ms) >= self.config.bytes_per_s
        return 0 if has_reserve else self.config.interval_ms

    def _send(self, now_ms: int, vm_id: VmId, kind: HeartbeatKind, sequence: int) -> None:
        record = self.records.get(vm_id)
        resync_news = [] if record is None else record.resync_news
        message = self._outbox.build_message(now_ms, kind, sequence, resync_news)
        self._actions.append(Send(vm_id, message))

    def _flush(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions


def _digest_notice(vm_id: VmId, incarnation: int) -> int:
    return rendezvous_weight(str(incarnation), vm_id) & NOTICES_MASK
