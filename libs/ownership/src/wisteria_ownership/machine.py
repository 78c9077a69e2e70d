"""State machine of slot ownership; a daemon embeds one for all its slots."""

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
    """Tracks which slots this daemon holds; at most one daemon holds a slot at any time.

    Event methods take a reading of the daemon's clock, which must count time in suspension, and
    return the actions to carry out in order. Before it sends any message of a returned list, the
    caller must stop deciding for the slots that the list releases.

    Parameters
    ----------
    vm_id : VmId
        The daemon's own VM.
    incarnation : int
        Number of this process; higher than that of any earlier process of this VM.
    now_ms : int
        Clock reading at the start.
    config : OwnershipConfig, optional
        Timeouts and bounds.
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

    # --- queries

    def may_decide(self, now_ms: int, slot: SlotId) -> bool:
        """Return whether this daemon may act for `slot` now.

        Call it immediately before each decision: any delay invalidates the result.
        """
        record = self.node.records.get(slot)
        if record is None or self.recovery.has_gap(now_ms):
            return False
        return isinstance(record.phase, Holding)

    def held_slots(self) -> tuple[SlotId, ...]:
        """Return the held slots, sorted by `SlotId.key`."""
        held = (r.slot for r in self.node.records.values() if isinstance(r.phase, Holding))
        return tuple(sorted(held, key=str))

    def preferred_holder(self, slot: SlotId) -> VmId | None:
        """Return the live VM that ranks first for a slot, or None if its scope has no live VM.

        That VM holds the slot, or will once pending hand-overs and claims are complete.
        """
        return self.node.roster.first(slot)

    @property
    def needs_list(self) -> bool:
        """Whether the VM list must be read again after a stall past the fence."""
        return self.node.fenced_at_ms is not None

    @property
    def is_drained(self) -> bool:
        """Whether a planned stop is complete and the process may exit."""
        return self.node.has_ended

    # --- events

    def update_list(
        self, now_ms: int, vm_list: VmList, requested_at_ms: int | None = None
    ) -> list[Action]:
        """Process a VM list read from the platform, even if it is unchanged.

        Parameters
        ----------
        now_ms : int
            Current clock reading.
        vm_list : VmList
            The list; a version older than the current one is counted and ignored.
        requested_at_ms : int, optional
            When the read was sent; `now_ms` if omitted. After a stall past the fence, the daemon
            claims again only with a list requested since.
        """
        node = self.node
        self._begin_event(now_ms)
        if vm_list.version < node.roster.version:
            node.counts["older list ignored"] += 1
            return node.flush()
        if node.fenced_at_ms is not None:
            sent_ms = now_ms if requested_at_ms is None else requested_at_ms
            if sent_ms >= node.fenced_at_ms:
                node.fenced_at_ms = None
        if vm_list.version > node.roster.version:
            self._apply_list(vm_list)
        self._drive()
        return node.flush()

    def note_list_version(self, now_ms: int, version: int) -> list[Action]:
        """Record a list version that another daemon has read; claims wait until it is read here."""
        self._begin_event(now_ms)
        self.node.highest_list_version = max(self.node.highest_list_version, version)
        return self.node.flush()

    def set_wanted(self, now_ms: int, slots: Iterable[SlotId]) -> list[Action]:
        """Set the slots that the configuration in force defines."""
        self._begin_event(now_ms)
        self.node.wanted = dict.fromkeys(slots)
        self._refresh_tracked_slots()
        self._drive()
        return self.node.flush()

    def note_progress(self, now_ms: int) -> list[Action]:
        """Record that the event loop is running; call it first on every turn."""
        self._begin_event(now_ms)
        return self.node.flush()

    def tick(self, now_ms: int) -> list[Action]:
        """Run due retransmissions and transitions; call it several times per fence interval."""
        self._begin_event(now_ms)
        self._drive()
        return self.node.flush()

    def note_reachable(self, now_ms: int, vm_id: VmId, is_reachable: bool) -> list[Action]:
        """Record whether a VM is reachable, to choose successors; never ends an ownership."""
        self._begin_event(now_ms)
        if vm_id in self.node.roster.vms:
            self.node.peers[vm_id].reachable = is_reachable
        return self.node.flush()

    def supply_payload(self, now_ms: int, slot: SlotId, payload: bytes) -> list[Action]:
        """Provide the state to hand over, after ``Released`` with the reason ``HAND_OVER``.

        The payload must list every lease given for the slot that may not have expired yet.
        """
        self._begin_event(now_ms)
        self.transfers.supply_payload(slot, payload)
        return self.node.flush()

    def begin_stop(self, now_ms: int) -> list[Action]:
        """Begin a planned stop: hand over every slot, then send a farewell."""
        node = self.node
        self._begin_event(now_ms)
        if node.stop_due_ms is None:
            node.stop_due_ms = now_ms + node.config.stop_ms
            node.audit(AuditEvent.STOP_STARTED)
            self._reset_offer_timers()
        self._drive()
        return node.flush()

    def handle(
        self, now_ms: int, sender: VmId, sender_incarnation: int, message: Message
    ) -> list[Action]:
        """Process a message; drop it if it concerns an older incarnation of either side."""
        node = self.node
        self._begin_event(now_ms)
        if not self._is_current(sender, sender_incarnation, message):
            node.counts["stale message dropped"] += 1
            return node.flush()
        node.highest_list_version = max(node.highest_list_version, message.list_version)
        if node.has_ended:
            if isinstance(message, Hello | Claim | Offer):
                node.send(sender, self.recovery.make_farewell())
            return node.flush()
        self._dispatch(sender, sender_incarnation, message)
        if isinstance(message, HelloReply | ClaimReply | HandOverReply | Farewell):
            self._drive()
        return node.flush()

    # --- internals

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
                self.recovery.handle_hello_reply(sender, incarnation, message)
            case Claim():
                node.send(sender, self.claims.answer(sender, incarnation, message))
            case ClaimReply():
                self.claims.handle_reply(sender, message)
            case Offer():
                node.send(sender, self.transfers.answer_offer(sender, incarnation, message))
            case OfferReply():
                self.transfers.handle_offer_reply(sender, incarnation, message)
            case HandOver():
                reply = self.transfers.answer_hand_over(sender, incarnation, message)
                node.send(sender, reply)
            case HandOverReply():
                self.transfers.handle_hand_over_reply(sender, incarnation, message)
            case Farewell():
                self.recovery.handle_farewell(sender, incarnation, message)

    def _begin_event(self, now_ms: int) -> None:
        node = self.node
        gap_ms = now_ms - node.last_progress_ms
        node.now_ms = now_ms
        if self.recovery.has_gap(now_ms):
            node.fenced_at_ms = now_ms
            node.audit(AuditEvent.FENCED, None, f"gap_ms={gap_ms}")
            self.recovery.drop_all(ReleaseReason.FENCED)
        node.last_progress_ms = now_ms

    def _apply_list(self, vm_list: VmList) -> None:
        node = self.node
        own_state = self._own_state()
        change = node.roster.update(vm_list)
        node.highest_list_version = max(node.highest_list_version, vm_list.version)
        for vm_id in change.gone:
            node.peers.pop(vm_id, None)
        if node.vm_id in node.roster.vms:
            node.was_listed = True
        elif node.was_listed and not node.is_removed:
            node.is_removed = True
            node.audit(AuditEvent.DISMISSED)
            self.recovery.drop_all(ReleaseReason.REMOVED)
        for record in node.records.values():
            self.claims.on_list_change(record, change.joined)
        if own_state is not VmState.LEAVING and self._own_state() is VmState.LEAVING:
            self._reset_offer_timers()
        self._refresh_tracked_slots()

    def _own_state(self) -> VmState | None:
        own = self.node.roster.vms.get(self.node.vm_id)
        return None if own is None else own.state

    def _reset_offer_timers(self) -> None:
        node = self.node
        for record in node.records.values():
            if isinstance(record.phase, Holding):
                record.phase.offer_due_ms = node.now_ms
                record.phase.backoff_ms = node.config.resend_ms

    def _refresh_tracked_slots(self) -> None:
        node = self.node
        first = [slot for slot in node.wanted if self._is_preferred_holder(slot)]
        active = [record.slot for record in node.records.values() if record.is_active]
        node.tracked_slots = dict.fromkeys(first + active)
        node.scopes = {slot.scope for slot in node.wanted if node.is_member(slot.scope)}

    def _is_preferred_holder(self, slot: SlotId) -> bool:
        node = self.node
        return node.is_member(slot.scope) and node.roster.first(slot) == node.vm_id

    def _drive(self) -> None:
        node = self.node
        for slot in list(node.tracked_slots):
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
