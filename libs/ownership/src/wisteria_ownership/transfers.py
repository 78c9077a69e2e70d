"""The hand-over protocol: a running holder transfers a slot and its state to a successor."""

import attrs

from wisteria_core import VmId

from .messages import (
    HandOver,
    HandOverReply,
    Offer,
    OfferAnswer,
    OfferReply,
    SlotId,
)
from .models import (
    AuditEvent,
    Claiming,
    Free,
    Grant,
    HolderHint,
    Holding,
    ReleaseReason,
    SlotRecord,
    Ticket,
    Transferring,
)
from .node import Node


@attrs.define(eq=False)
class Transfers:
    """Holder and successor sides of the hand-over protocol."""

    node: Node

    # --- holder

    def drive_holding(self, record: SlotRecord, phase: Holding) -> None:
        """Offer the slot if another VM should hold it; release it if it is no longer configured."""
        node = self.node
        if record.slot not in node.wanted:
            node.release(record, ReleaseReason.NOT_WANTED)
            return
        if not node.is_departing and node.roster.first(record.slot) in (node.vm_id, None):
            phase.offer_id = 0
            return
        if node.stop_due_ms is not None and node.now_ms >= node.stop_due_ms:
            node.release(record, ReleaseReason.STOP_LIMIT)
            return
        if node.now_ms >= phase.offer_due_ms:
            self._offer(record, phase)

    def _offer(self, record: SlotRecord, phase: Holding) -> None:
        node = self.node
        successors = self._find_successors(record)
        if not successors:
            if node.stop_due_ms is not None and not self._has_live_others(record):
                node.release(record, ReleaseReason.NO_SUCCESSOR)
            return
        position = successors.index(phase.successor) + 1 if phase.successor in successors else 0
        phase.successor = successors[position % len(successors)]
        node.queue_offer(phase.successor, record.slot)
        phase.offer_due_ms = node.now_ms + phase.backoff_ms
        phase.backoff_ms = node.next_backoff(phase.backoff_ms)

    def _find_successors(self, record: SlotRecord) -> list[VmId]:
        """Return reachable candidates, best first: any live VM on departure, else the first one."""
        node = self.node
        if not node.is_departing:
            first = node.roster.first(record.slot)
            return [first] if first is not None and node.peers[first].reachable else []
        return [
            vm_id
            for vm_id in node.roster.ranked(record.slot)
            if vm_id != node.vm_id
            and node.peers[vm_id].reachable
            and not node.has_ended_process(vm_id)
        ]

    def _has_live_others(self, record: SlotRecord) -> bool:
        node = self.node
        return any(
            node.roster.is_live(vm_id) and vm_id != node.vm_id
            for vm_id in node.roster.members(record.slot.scope)
        )

    def handle_offer_reply(self, sender: VmId, incarnation: int, reply: OfferReply) -> None:
        """Stop deciding for each slot that the successor issued a ticket for."""
        node = self.node
        for answer in reply.answers:
            record = node.record(answer.slot)
            phase = record.phase
            if not isinstance(phase, Holding) or phase.offer_id != reply.offer_id:
                continue
            if phase.successor != sender or answer.ticket == 0:
                continue
            node.release(record, ReleaseReason.HAND_OVER)
            record.phase = Transferring(
                claim_id=phase.claim_id,
                term=phase.term,
                successor=sender,
                successor_incarnation=incarnation,
                ticket=answer.ticket,
                list_version=node.roster.version,
                due_ms=node.now_ms,
                backoff_ms=node.config.resend_ms,
            )

    def supply_payload(self, slot: SlotId, payload: bytes) -> None:
        """Send the state to the successor."""
        record = self.node.record(slot)
        phase = record.phase
        if isinstance(phase, Transferring) and phase.payload is None:
            phase.payload = payload
            self.drive_transfer(record, phase)

    def drive_transfer(self, record: SlotRecord, phase: Transferring) -> None:
        """Send the hand-over until it is answered or the successor leaves the list."""
        node = self.node
        if node.roster.is_gone(phase.successor, phase.list_version):
            node.leave_transfer(record, AuditEvent.HAND_OVER_UNRESOLVED, 0)
            return
        if phase.payload is None or node.now_ms < phase.due_ms:
            return
        hand_over = HandOver(
            recipient_incarnation=phase.successor_incarnation,
            list_version=node.roster.version,
            slot=record.slot,
            ticket=phase.ticket,
            term=phase.term + 1,
            payload=phase.payload,
        )
        node.send(phase.successor, hand_over)
        phase.due_ms = node.now_ms + phase.backoff_ms
        phase.backoff_ms = node.next_backoff(phase.backoff_ms)

    def handle_hand_over_reply(self, sender: VmId, incarnation: int, reply: HandOverReply) -> None:
        """Complete the hand-over; after a refusal the slot has no holder."""
        node = self.node
        record = node.record(reply.slot)
        phase = record.phase
        if not isinstance(phase, Transferring) or phase.successor != sender:
            return
        if (phase.successor_incarnation, phase.ticket) != (incarnation, reply.ticket):
            return
        if not reply.accepted:
            node.leave_transfer(record, AuditEvent.HAND_OVER_REFUSED, 0)
            return
        record.term = phase.term + 1
        record.hint = HolderHint(sender, node.now_ms + node.config.recheck_ms)
        node.leave_transfer(record, AuditEvent.HANDED_OVER, reply.claim_id)

    # --- successor

    def answer_offer(self, sender: VmId, incarnation: int, offer: Offer) -> OfferReply:
        """Issue a ticket for each offered slot that this VM can take over."""
        answers = tuple(
            OfferAnswer(slot, self._issue_ticket(sender, incarnation, offer.offer_id, slot))
            for slot in offer.slots
        )
        return OfferReply(incarnation, offer.offer_id, self.node.roster.version, answers)

    def _issue_ticket(self, sender: VmId, incarnation: int, offer_id: int, slot: SlotId) -> int:
        record = self.node.record(slot)
        open_ticket = record.open_ticket
        if open_ticket is not None and (open_ticket.sender, open_ticket.incarnation) == (
            sender,
            incarnation,
        ):
            if offer_id == open_ticket.offer_id:
                return open_ticket.number
            if offer_id < open_ticket.offer_id:
                return 0
        if not self._is_free_to_take(sender, record):
            return 0
        record.open_ticket = Ticket(sender, incarnation, offer_id, self.node.next_serial())
        return record.open_ticket.number

    def _is_free_to_take(self, sender: VmId, record: SlotRecord) -> bool:
        node = self.node
        if node.is_departing or not node.is_ready(record.slot.scope):
            return False
        if not isinstance(record.phase, Free | Claiming) or record.slot not in node.wanted:
            return False
        node.prune_grants(record)
        blockers = record.granted.keys() - {sender}
        for vm_id in blockers:
            node.peers[vm_id].hello_answered = False
        return not blockers

    def matches_open_ticket(
        self, sender: VmId, incarnation: int, record: SlotRecord, ticket: int
    ) -> bool:
        """Return whether the hand-over matches the open ticket of the slot."""
        open_ticket = record.open_ticket
        return (
            open_ticket is not None
            and (open_ticket.sender, open_ticket.incarnation) == (sender, incarnation)
            and open_ticket.number == ticket
            and isinstance(record.phase, Free | Claiming)
            and not self.node.has_ended
        )

    def answer_hand_over(
        self, sender: VmId, incarnation: int, hand_over: HandOver
    ) -> HandOverReply:
        """Become the holder if the ticket is open; repeat the answer to a duplicate."""
        node = self.node
        record = node.record(hand_over.slot)
        claim_id = 0
        accepted = False
        if self.matches_open_ticket(sender, incarnation, record, hand_over.ticket):
            record.accepted = record.open_ticket
            record.granted.pop(sender, None)
            claim_id = node.next_claim_id()
            accepted = True
            node.hold(record, claim_id, hand_over.term, hand_over.payload)
        elif self._was_accepted(sender, incarnation, record, hand_over.ticket):
            accepted = True
            claim_id = node.claim_count
        else:
            detail = f"from={sender} ticket={hand_over.ticket}"
            node.audit(AuditEvent.LATE_HAND_OVER_REFUSED, record.slot, detail)
        return HandOverReply(
            recipient_incarnation=incarnation,
            list_version=node.roster.version,
            slot=record.slot,
            ticket=hand_over.ticket,
            accepted=accepted,
            claim_id=claim_id,
        )

    def _was_accepted(
        self, sender: VmId, incarnation: int, record: SlotRecord, ticket: int
    ) -> bool:
        accepted = record.accepted
        return accepted is not None and (
            accepted.sender,
            accepted.incarnation,
            accepted.number,
        ) == (sender, incarnation, ticket)

    # --- changes to peers during a hand-over

    def on_restart(self, record: SlotRecord, vm_id: VmId, incarnation: int) -> None:
        """Abort hand-overs, offers and tickets that involve a restarted process."""
        phase = record.phase
        if isinstance(phase, Transferring) and phase.successor == vm_id:
            self.node.leave_transfer(record, AuditEvent.HAND_OVER_UNRESOLVED, 0)
            self.node.add_grant(record, vm_id, Grant(incarnation, 0, phase.list_version))
        if isinstance(phase, Holding) and phase.successor == vm_id:
            phase.offer_id = 0
        if record.open_ticket is not None and record.open_ticket.sender == vm_id:
            record.open_ticket = None
