"""State exchange after a start or an event loop stall: hellos, incarnations and farewells."""

import attrs

from wisteria_core import VmId

from .claims import Claims
from .messages import ActiveSlot, Farewell, Hello, HelloReply, SlotId
from .models import (
    AuditEvent,
    Claiming,
    Grant,
    HolderHint,
    Holding,
    ReleaseReason,
    SlotRecord,
    Transferring,
    Waiting,
)
from .node import Node
from .transfers import Transfers


@attrs.define(eq=False)
class Recovery:
    """Restores protocol state after a start or an event loop stall."""

    node: Node
    claims: Claims
    transfers: Transfers

    # --- hello exchange

    def drive(self) -> None:
        """Send hellos to VMs that have not answered, and mark scopes in which all have."""
        node = self.node
        if node.is_removed or node.has_ended or node.fenced_at_ms is not None:
            return
        unanswered: set[VmId] = set()
        for scope in sorted(node.scopes, key=str):
            missing = {vm for vm in node.others(scope) if not node.peers[vm].hello_answered}
            unanswered |= missing
            if scope not in node.synced_scopes and not missing and node.is_up_to_date():
                node.synced_scopes.add(scope)
                node.audit(AuditEvent.SCOPE_HEARD, None, f"scope={scope.name}")
        for vm_id in sorted(unanswered):
            self._send_hello(vm_id)

    def _send_hello(self, vm_id: VmId) -> None:
        node = self.node
        peer = node.peers[vm_id]
        if node.now_ms < peer.hello_due_ms:
            return
        node.send(vm_id, Hello(node.next_serial(), node.roster.version))
        peer.hello_backoff_ms = node.next_backoff(
            peer.hello_backoff_ms or node.config.resend_ms // 2
        )
        peer.hello_due_ms = node.now_ms + peer.hello_backoff_ms

    def check_hint(self, record: SlotRecord, hint: HolderHint) -> None:
        """Request a new hello from the last known holder, to learn if it still holds."""
        node = self.node
        if node.now_ms < hint.check_ms:
            return
        hint.check_ms = node.now_ms + node.config.recheck_ms
        node.peers[hint.vm_id].hello_answered = False

    def answer_hello(self, sender: VmId, incarnation: int, hello: Hello) -> HelloReply:
        """Return the slots claimed or held here in the scopes shared with the peer."""
        node = self.node
        shared = [slot for slot in node.tracked_slots if self._shares(sender, slot)]
        records = [node.records[slot] for slot in shared if slot in node.records]
        active = tuple(_describe(record) for record in records if record.is_active)
        is_older = hello.list_version < node.newest_grant_version
        grants = tuple(
            grant
            for record in (node.records.values() if is_older else ())
            if record.granted and self._shares(sender, record.slot)
            for grant in node.grants_unknown_to(record, hello.list_version)
        )
        return HelloReply(
            recipient_incarnation=incarnation,
            hello_id=hello.hello_id,
            list_version=node.roster.version,
            claim_count=node.claim_count,
            active=active,
            grants=grants,
        )

    def _shares(self, vm_id: VmId, slot: SlotId) -> bool:
        vm = self.node.roster.vms.get(vm_id)
        return vm is None or slot.scope.includes(vm)

    def handle_hello_reply(self, sender: VmId, incarnation: int, reply: HelloReply) -> None:
        """Record the slots that the peer claims or holds, and drop its lapsed grants."""
        node = self.node
        peer = node.peers[sender]
        peer.hello_answered = True
        peer.hello_due_ms = 0
        peer.hello_backoff_ms = 0
        active = {item.slot: item for item in reply.active}
        is_gone = node.roster.is_gone(sender, reply.list_version)
        for item in () if is_gone else reply.active:
            self._handle_active(sender, incarnation, reply, item)
        for record in node.records.values():
            if record.slot not in active:
                self._drop_lapsed(sender, incarnation, record, reply)
        for grant in reply.grants:
            self.claims.learn_grant(node.record(grant.slot), grant)

    def _handle_active(
        self, sender: VmId, incarnation: int, reply: HelloReply, item: ActiveSlot
    ) -> None:
        node = self.node
        record = node.record(item.slot)
        record.term = max(record.term, item.term)
        if item.holds:
            record.hint = HolderHint(sender, node.now_ms + node.config.recheck_ms)
        if isinstance(record.phase, Holding) and item.holds and item.term >= record.term:
            node.audit(AuditEvent.CONFLICT, record.slot, f"also={sender}")
            node.release(record, ReleaseReason.CONFLICT)
        if isinstance(record.phase, Holding | Waiting | Transferring):
            return
        known = record.granted.get(sender)
        if known is None or known.claim_id <= item.claim_id:
            grant = Grant(incarnation, item.claim_id, reply.list_version)
            node.add_grant(record, sender, grant)
        if isinstance(record.phase, Claiming) and sender not in record.phase.cleared:
            record.phase.pending.add(sender)

    def _drop_lapsed(
        self, sender: VmId, incarnation: int, record: SlotRecord, reply: HelloReply
    ) -> None:
        if record.hint is not None and record.hint.vm_id == sender:
            record.hint = None
        known = record.granted.get(sender)
        if known is None:
            return
        if known.incarnation < incarnation or known.claim_id <= reply.claim_count:
            del record.granted[sender]

    # --- incarnations and farewells

    def note_incarnation(self, vm_id: VmId, incarnation: int) -> bool:
        """Record a peer's incarnation, and return whether it is the newest known."""
        node = self.node
        peer = node.peers[vm_id]
        if incarnation <= peer.incarnation:
            return incarnation == peer.incarnation
        is_restart = peer.incarnation >= 0
        peer.incarnation = incarnation
        if not is_restart:
            return True
        if any(scope not in node.synced_scopes for scope in node.scopes):
            peer.hello_answered = False
        for record in node.records.values():
            self.claims.on_restart(record, vm_id)
            self.transfers.on_restart(record, vm_id, incarnation)
            if record.hint is not None and record.hint.vm_id == vm_id:
                record.hint = None
        return True

    def handle_farewell(self, sender: VmId, incarnation: int, farewell: Farewell) -> None:
        """Record that a process has ended, and to which VMs it handed slots over."""
        self.node.peers[sender].farewell = incarnation
        for grant in farewell.grants:
            self.claims.learn_grant(self.node.record(grant.slot), grant)
        for record in self.node.records.values():
            self.claims.on_farewell(record, sender)

    def make_farewell(self) -> Farewell:
        node = self.node
        grants = tuple(
            grant
            for record in node.records.values()
            for grant in node.grants_unknown_to(record, node.roster.version)
        )
        return Farewell(node.roster.version, grants)

    # --- event loop stalls

    def has_gap(self, now_ms: int) -> bool:
        """Return whether the event loop stalled beyond the fence, or the clock went back."""
        elapsed_ms = now_ms - self.node.last_progress_ms
        return elapsed_ms < 0 or elapsed_ms > self.node.config.fence_ms

    def drop_all(self, reason: ReleaseReason) -> None:
        """Release every slot and drop tickets, hints and hello state; grants stay recorded."""
        node = self.node
        for record in node.records.values():
            record.open_ticket = None
            record.hint = None
            if isinstance(record.phase, Transferring):
                node.leave_transfer(record, AuditEvent.HAND_OVER_UNRESOLVED, 0)
            node.release(record, reason)
        node.synced_scopes.clear()
        for peer in node.peers.values():
            peer.hello_answered = False
            peer.hello_due_ms = 0


def _describe(record: SlotRecord) -> ActiveSlot:
    holds = record.is_active and not isinstance(record.phase, Claiming)
    return ActiveSlot(record.slot, record.claim_id, record.term, holds)
