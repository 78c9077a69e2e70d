"""The state machine that a daemon embeds: one for all its slots."""

from collections.abc import Iterable

from wisteria_core import VmId, VmList, VmState

from .claims import Claims
from .config import OwnershipConfig
from .messages import (
    Claim,
    ClaimReply,
    Farewell,
    HandOver,
    HandOverReply,
    Hello,
    HelloReply,
    Message,
    Offer,
    OfferReply,
    SlotId,
)
from .models import (
    Action,
    AuditEvent,
    Claiming,
    Free,
    Holding,
    ReleaseReason,
    SlotRecord,
    Transferring,
    Waiting,
)
from .node import Node
from .recovery import Recovery
from .transfers import Transfers


class Ownership:
    """Decides for which slots this daemon may act; at most one daemon may for each.

    Every method takes the reading of the daemon's own clock, which must count suspension,
    and returns the actions to carry out, in order. The caller stops deciding for a slot
    before it sends any message of the same answer.

    Parameters
    ----------
    vm_id : VmId
        The daemon's own VM.
    incarnation : int
        Higher than that of any earlier process of this VM.
    now_ms : int
        Reading of the clock at the start.
    config : OwnershipConfig, optional
        Times and bounds.
    """

    def __init__(
        self,
        vm_id: VmId,
        incarnation: int,
        now_ms: int,
        config: OwnershipConfig | None = None,
    ) -> None:
        self.node = Node(vm_id, incarnation, config or OwnershipConfig(), now_ms)
        self.claims = Claims(self.node)
        self.transfers = Transfers(self.node)
        self.recovery = Recovery(self.node, self.claims, self.transfers)

    # --- what the daemon may do

    def may_decide(self, now_ms: int, slot: SlotId) -> bool:
        """Return whether this daemon may act for `slot` at this moment.

        Must be called at the moment of acting; the answer does not keep.
        """
        record = self.node.records.get(slot)
        if record is None or self.recovery.has_gap(now_ms):
            return False
        return isinstance(record.phase, Holding)

    def held_slots(self) -> tuple[SlotId, ...]:
        """Return the slots that this daemon holds, in a fixed order."""
        held = (r.slot for r in self.node.records.values() if isinstance(r.phase, Holding))
        return tuple(sorted(held, key=str))

    def preferred_holder(self, slot: SlotId) -> VmId | None:
        """Return the live VM that the own list ranks first for a slot, None when none is live.

        That VM holds the slot, or will once hand-overs and claims are through.
        """
        return self.node.roster.first(slot)

    @property
    def needs_list(self) -> bool:
        """Whether a gap has been noticed and the VM list must be read anew."""
        return self.node.fenced_at_ms is not None

    @property
    def is_drained(self) -> bool:
        """Whether a planned stop is complete, so that the process may end."""
        return self.node.has_ended

    # --- events

    def update_list(
        self, now_ms: int, vm_list: VmList, requested_at_ms: int | None = None
    ) -> list[Action]:
        """Take in a read of the platform's list, also one that brings no change.

        Parameters
        ----------
        now_ms : int
            Reading of the clock.
        vm_list : VmList
            The list; a version below the newest known is counted and ignored.
        requested_at_ms : int, optional
            When the read was sent, `now_ms` when omitted. After a gap only a list that was
            requested later lets the daemon claim again.
        """
        node = self.node
        self._enter(now_ms)
        if vm_list.version < node.roster.version:
            node.counts["older list ignored"] += 1
            return node.flush()
        if node.fenced_at_ms is not None:
            sent_ms = now_ms if requested_at_ms is None else requested_at_ms
            if sent_ms >= node.fenced_at_ms:
                node.fenced_at_ms = None
        if vm_list.version > node.roster.version:
            self._follow_list(vm_list)
        self._drive()
        return node.flush()

    def note_list_version(self, now_ms: int, version: int) -> list[Action]:
        """Note that some other daemon has read that version; claims wait for it."""
        self._enter(now_ms)
        self.node.known_version = max(self.node.known_version, version)
        return self.node.flush()

    def set_wanted(self, now_ms: int, slots: Iterable[SlotId]) -> list[Action]:
        """Set which slots exist by the configuration in force."""
        self._enter(now_ms)
        self.node.wanted = dict.fromkeys(slots)
        self._refresh_attention()
        self._drive()
        return self.node.flush()

    def note_progress(self, now_ms: int) -> list[Action]:
        """Note that the event loop runs; call it first on every turn."""
        self._enter(now_ms)
        return self.node.flush()

    def tick(self, now_ms: int) -> list[Action]:
        """Do what is due; call it several times in each fence interval."""
        self._enter(now_ms)
        self._drive()
        return self.node.flush()

    def note_reachable(self, now_ms: int, vm_id: VmId, is_reachable: bool) -> list[Action]:
        """Note direct evidence on a VM; it chooses heirs and never ends an ownership."""
        self._enter(now_ms)
        if vm_id in self.node.roster.vms:
            self.node.peers[vm_id].reachable = is_reachable
        return self.node.flush()

    def supply_payload(self, now_ms: int, slot: SlotId, payload: bytes) -> list[Action]:
        """Give what the heir must know, after ``Released`` with the reason ``HAND_OVER``.

        The payload must name every lease given for the slot that may still run.
        """
        self._enter(now_ms)
        self.transfers.supply_payload(slot, payload)
        return self.node.flush()

    def begin_stop(self, now_ms: int) -> list[Action]:
        """Begin a planned stop: hand every slot over, then say farewell."""
        node = self.node
        self._enter(now_ms)
        if node.stop_due_ms is None:
            node.stop_due_ms = now_ms + node.config.stop_ms
            node.audit(AuditEvent.STOP_STARTED)
            self._rush_offers()
        self._drive()
        return node.flush()

    def handle(
        self, now_ms: int, sender: VmId, sender_incarnation: int, message: Message
    ) -> list[Action]:
        """Take in a message; ones of an older incarnation of either side are dropped."""
        node = self.node
        self._enter(now_ms)
        if not self._is_current(sender, sender_incarnation, message):
            node.counts["stale message dropped"] += 1
            return node.flush()
        node.known_version = max(node.known_version, message.list_version)
        if node.has_ended:
            if isinstance(message, Hello | Claim | Offer):
                node.send(sender, self.recovery.make_farewell())
            return node.flush()
        self._dispatch(sender, sender_incarnation, message)
        if isinstance(message, HelloReply | ClaimReply | HandOverReply | Farewell):
            self._drive()
        return node.flush()

    # --- inside

    def _is_current(self, sender: VmId, incarnation: int, message: Message) -> bool:
        node = self.node
        if sender == node.vm_id:
            return False
        is_request = isinstance(message, Hello | Claim | Offer)
        if is_request and node.roster.is_gone(sender, message.list_version):
            return False
        if not self.recovery.note_incarnation(sender, incarnation):
            return False
        match message:
            case Hello() | Claim() | Offer() | Farewell():
                return True
            case _:
                return message.recipient_incarnation == self.node.incarnation

    def _dispatch(self, sender: VmId, incarnation: int, message: Message) -> None:
        node = self.node
        match message:
            case Hello():
                node.send(sender, self.recovery.answer_hello(sender, incarnation, message))
            case HelloReply():
                self.recovery.take_hello_reply(sender, incarnation, message)
            case Claim():
                node.send(sender, self.claims.answer(sender, incarnation, message))
            case ClaimReply():
                self.claims.take_reply(sender, message)
            case Offer():
                node.send(sender, self.transfers.answer_offer(sender, incarnation, message))
            case OfferReply():
                self.transfers.take_offer_reply(sender, incarnation, message)
            case HandOver():
                reply = self.transfers.answer_hand_over(sender, incarnation, message)
                node.send(sender, reply)
            case HandOverReply():
                self.transfers.take_hand_over_reply(sender, incarnation, message)
            case Farewell():
                self.recovery.take_farewell(sender, incarnation, message)

    def _enter(self, now_ms: int) -> None:
        node = self.node
        gap_ms = now_ms - node.last_progress_ms
        node.now_ms = now_ms
        if self.recovery.has_gap(now_ms):
            node.fenced_at_ms = now_ms
            node.audit(AuditEvent.FENCED, None, f"gap_ms={gap_ms}")
            self.recovery.drop_all(ReleaseReason.FENCED)
        node.last_progress_ms = now_ms

    def _follow_list(self, vm_list: VmList) -> None:
        node = self.node
        own_state = self._own_state()
        change = node.roster.update(vm_list)
        node.known_version = max(node.known_version, vm_list.version)
        for vm_id in change.gone:
            node.peers.pop(vm_id, None)
        if node.vm_id in node.roster.vms:
            node.was_listed = True
        elif node.was_listed and not node.is_dismissed:
            node.is_dismissed = True
            node.audit(AuditEvent.DISMISSED)
            self.recovery.drop_all(ReleaseReason.REMOVED)
        for record in node.records.values():
            self.claims.follow_list(record, change.joined)
        if own_state is not VmState.LEAVING and self._own_state() is VmState.LEAVING:
            self._rush_offers()
        self._refresh_attention()

    def _own_state(self) -> VmState | None:
        own = self.node.roster.vms.get(self.node.vm_id)
        return None if own is None else own.state

    def _rush_offers(self) -> None:
        node = self.node
        for record in node.records.values():
            if isinstance(record.phase, Holding):
                record.phase.offer_due_ms = node.now_ms
                record.phase.backoff_ms = node.config.resend_ms

    def _refresh_attention(self) -> None:
        node = self.node
        first = [slot for slot in node.wanted if self._may_be_ours(slot)]
        active = [record.slot for record in node.records.values() if record.is_active]
        node.attention = dict.fromkeys(first + active)
        node.scopes = {slot.scope for slot in node.wanted if node.is_member(slot.scope)}

    def _may_be_ours(self, slot: SlotId) -> bool:
        node = self.node
        return node.is_member(slot.scope) and node.roster.first(slot) == node.vm_id

    def _drive(self) -> None:
        node = self.node
        for slot in list(node.attention):
            self._drive_slot(node.record(slot))
        self.recovery.drive()
        if node.stop_due_ms is not None and not node.has_ended:
            self._drive_stop(node.stop_due_ms)

    def _drive_slot(self, record: SlotRecord) -> None:
        if record.hint is not None and record.hint.vm_id not in self.node.roster.vms:
            record.hint = None
        match record.phase:
            case Free():
                if record.hint is not None:
                    self.recovery.check_hint(record, record.hint)
                elif self.claims.is_eligible(record):
                    self.claims.start(record)
                    self._drive_slot(record)
            case Claiming() as phase:
                self.claims.drive(record, phase)
            case Waiting() as phase:
                self.claims.drive_wait(record, phase)
            case Holding() as phase:
                self.transfers.drive_holding(record, phase)
            case Transferring() as phase:
                self.transfers.drive_transfer(record, phase)

    def _drive_stop(self, due_ms: int) -> None:
        node = self.node
        busy = any(
            isinstance(record.phase, Holding | Transferring) for record in node.records.values()
        )
        if busy and node.now_ms < due_ms:
            return
        node.has_ended = True
        for record in node.records.values():
            node.release(record, ReleaseReason.STOP_LIMIT)
        node.audit(AuditEvent.STOP_FINISHED)
        farewell = self.recovery.make_farewell()
        for vm_id in sorted(set().union(*map(node.others, node.scopes))):
            node.send(vm_id, farewell)
