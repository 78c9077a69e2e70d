"""The claim protocol: a claimant needs a grant from every other VM of the slot's scope."""

import attrs

from wisteria_core import VmId

from .const import FIRST_TERM
from .messages import (
    Claim,
    ClaimAnswer,
    ClaimItem,
    ClaimOutcome,
    ClaimReply,
    SlotGrant,
)
from .models import (
    AuditEvent,
    Claiming,
    Free,
    Grant,
    HolderHint,
    Holding,
    SlotRecord,
    Transferring,
    Waiting,
)
from .node import Node
from .roster import outranks


@attrs.define(eq=False)
class Claims:
    """Claimant and responder sides of the claim protocol."""

    node: Node

    # --- claimant

    def is_eligible(self, record: SlotRecord) -> bool:
        """Whether this VM should claim the slot."""
        node = self.node
        return (
            record.slot in node.wanted
            and not node.is_departing
            and node.is_ready(record.slot.scope)
            and node.roster.first(record.slot) == node.vm_id
        )

    def start(self, record: SlotRecord) -> None:
        """Start a claim with a new id."""
        node = self.node
        node.prune_grants(record)
        record.phase = Claiming(
            claim_id=node.next_claim_id(),
            pending=node.others(record.slot.scope) | record.granted.keys(),
            due_ms=node.now_ms,
            backoff_ms=node.config.resend_ms,
        )
        node.tracked_slots[record.slot] = None
        node.audit(AuditEvent.CLAIM_STARTED, record.slot, f"ask={len(record.phase.pending)}")

    def drive(self, record: SlotRecord, phase: Claiming) -> None:
        """Complete a claim that every VM has granted, or resend it to the VMs still pending."""
        node = self.node
        if not self.is_eligible(record):
            node.cancel_claim(record)
            return
        if not phase.pending and node.is_up_to_date():
            self._complete(record, phase)
            return
        if node.now_ms < phase.due_ms:
            return
        node.queue_claim(phase.pending, ClaimItem(record.slot, phase.claim_id))
        phase.due_ms = node.now_ms + phase.backoff_ms
        phase.backoff_ms = node.next_backoff(phase.backoff_ms)

    def drive_wait(self, record: SlotRecord, phase: Waiting) -> None:
        """Acquire the slot once every lease given by an earlier holder has expired."""
        node = self.node
        if node.is_departing or record.slot not in node.wanted:
            record.phase = Free()
        elif node.now_ms >= phase.until_ms and node.is_up_to_date():
            node.hold(record, phase.claim_id, phase.term, None)

    def _complete(self, record: SlotRecord, phase: Claiming) -> None:
        node = self.node
        term = max(record.term + 1, FIRST_TERM)
        record.granted.clear()
        wait_ms = self.wait_out_ms()
        record.phase = Waiting(phase.claim_id, node.now_ms + wait_ms, term)
        node.audit(AuditEvent.CLAIM_CLEARED, record.slot, f"wait_ms={wait_ms}")

    def wait_out_ms(self) -> int:
        """Return the time from the last grant until this VM may decide."""
        return self.node.config.wait_out_ms

    def handle_reply(self, sender: VmId, reply: ClaimReply) -> None:
        """Process the answers to claims still in progress."""
        for answer in reply.answers:
            record = self.node.record(answer.slot)
            phase = record.phase
            if isinstance(phase, Claiming) and phase.claim_id == answer.claim_id:
                self._handle_answer(sender, record, phase, answer)

    def _handle_answer(
        self, sender: VmId, record: SlotRecord, phase: Claiming, answer: ClaimAnswer
    ) -> None:
        node = self.node
        record.term = max(record.term, answer.term)
        match answer.outcome:
            case ClaimOutcome.GRANTED:
                phase.pending.discard(sender)
                phase.cleared.add(sender)
                record.granted.pop(sender, None)
                for grant in answer.grants:
                    self.learn_grant(record, grant)
                self.drive(record, phase)
            case ClaimOutcome.HOLDING:
                record.hint = HolderHint(sender, node.now_ms + node.config.recheck_ms)
                node.cancel_claim(record)
            case ClaimOutcome.WAIT:
                pass

    def learn_grant(self, record: SlotRecord, reported: SlotGrant) -> None:
        """Record a grantee that another VM reported; an open claim needs its grant as well."""
        node = self.node
        grant = Grant(reported.incarnation, reported.claim_id, reported.list_version)
        if reported.vm_id == node.vm_id or node.has_lapsed(reported.vm_id, grant):
            return
        match record.phase:
            case Claiming(cleared=cleared) if reported.vm_id in cleared:
                return
            case Claiming(pending=pending):
                pending.add(reported.vm_id)
            case Free():
                pass
            case _:
                return
        known = record.granted.get(reported.vm_id)
        if known is None or known.claim_id < grant.claim_id:
            node.add_grant(record, reported.vm_id, grant)

    # --- changes to the VM list and to peers during a claim

    def on_list_change(self, record: SlotRecord, joined: frozenset[VmId]) -> None:
        """Require grants from added VMs; restart the claim if a pending VM was removed."""
        node = self.node
        node.prune_grants(record)
        if not isinstance(record.phase, Claiming | Waiting):
            return
        others = node.others(record.slot.scope)
        match record.phase:
            case Claiming() as phase:
                if phase.pending - others - record.granted.keys():
                    self.start(record)
                    return
                phase.pending |= others - phase.cleared
            case Waiting(claim_id=claim_id) if joined & others:
                record.phase = Claiming(
                    claim_id=claim_id,
                    pending=set(joined & others),
                    due_ms=node.now_ms,
                    backoff_ms=node.config.resend_ms,
                    cleared=set(others - joined),
                )

    def on_restart(self, record: SlotRecord, vm_id: VmId) -> None:
        """Require a new grant from a VM whose process has restarted."""
        phase = record.phase
        if not isinstance(phase, Claiming):
            return
        if vm_id in phase.cleared or vm_id in self.node.others(record.slot.scope):
            phase.cleared.discard(vm_id)
            phase.pending.add(vm_id)

    def on_farewell(self, record: SlotRecord, vm_id: VmId) -> None:
        """Drop the grant and hint of a VM whose process has ended; a claim no longer awaits it."""
        record.granted.pop(vm_id, None)
        if record.hint is not None and record.hint.vm_id == vm_id:
            record.hint = None
        if isinstance(record.phase, Claiming):
            record.phase.pending.discard(vm_id)

    # --- responder

    def answer(self, sender: VmId, incarnation: int, claim: Claim) -> ClaimReply:
        answers = tuple(self._answer_item(sender, incarnation, claim, item) for item in claim.items)
        return ClaimReply(incarnation, self.node.roster.version, answers)

    def _answer_item(
        self, sender: VmId, incarnation: int, claim: Claim, item: ClaimItem
    ) -> ClaimAnswer:
        record = self.node.record(item.slot)
        outcome = self.decide(sender, incarnation, record, item)
        grants: tuple[SlotGrant, ...] = ()
        if outcome is ClaimOutcome.GRANTED:
            known = self.node.grants_unknown_to(record, claim.list_version)
            grants = tuple(grant for grant in known if grant.vm_id != sender)
            self._grant(sender, incarnation, claim, item, record)
        return ClaimAnswer(item.slot, item.claim_id, outcome, record.term, grants)

    def decide(
        self, sender: VmId, incarnation: int, record: SlotRecord, item: ClaimItem
    ) -> ClaimOutcome:
        """Return the outcome for one slot; changes no state."""
        known = record.granted.get(sender)
        if known is not None and (known.incarnation, known.claim_id) > (
            incarnation,
            item.claim_id,
        ):
            return ClaimOutcome.WAIT
        match record.phase:
            case Holding() | Waiting() | Transferring():
                return ClaimOutcome.HOLDING
            case Claiming() if outranks(record.slot, self.node.vm_id, sender):
                return ClaimOutcome.WAIT
            case _ if not self.node.is_ready(record.slot.scope):
                return ClaimOutcome.WAIT
            case _:
                return ClaimOutcome.GRANTED

    def _grant(
        self,
        sender: VmId,
        incarnation: int,
        claim: Claim,
        item: ClaimItem,
        record: SlotRecord,
    ) -> None:
        if isinstance(record.phase, Claiming):
            self.node.cancel_claim(record)
            self.node.audit(AuditEvent.CLAIM_YIELDED, record.slot, f"to={sender}")
        grant = Grant(incarnation, item.claim_id, claim.list_version)
        if record.granted.get(sender) != grant:
            record.term += 1
        self.node.add_grant(record, sender, grant)
        record.open_ticket = None
