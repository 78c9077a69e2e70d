"""State shared by the parts of the protocol, and the outbox that batches their messages."""

from collections import Counter, defaultdict
from collections.abc import Iterable

import attrs

from wisteria_core import VmId, VmState

from .config import OwnershipConfig
from .const import NO_VERSION
from .messages import Claim, ClaimItem, Message, Offer, Scope, SlotGrant, SlotId
from .models import (
    Acquired,
    Action,
    AuditEntry,
    AuditEvent,
    Claiming,
    Free,
    Grant,
    Holding,
    Peer,
    Released,
    ReleaseReason,
    Send,
    SlotRecord,
    Transferring,
)
from .roster import Roster


@attrs.define(eq=False)
class Node:
    """State of one daemon: its slots, its peers and the VM list."""

    vm_id: VmId
    incarnation: int
    config: OwnershipConfig
    last_progress_ms: int
    roster: Roster = attrs.field(factory=Roster)
    wanted: dict[SlotId, None] = attrs.field(factory=dict)
    scopes: set[Scope] = attrs.field(factory=set)
    records: dict[SlotId, SlotRecord] = attrs.field(factory=dict)
    peers: dict[VmId, Peer] = attrs.field(factory=lambda: defaultdict(Peer))
    synced_scopes: set[Scope] = attrs.field(factory=set)
    tracked_slots: dict[SlotId, None] = attrs.field(factory=dict)
    highest_list_version: int = NO_VERSION
    newest_grant_version: int = NO_VERSION
    claim_count: int = 0
    serial: int = 0
    fenced_at_ms: int | None = None
    was_listed: bool = False
    is_removed: bool = False
    stop_due_ms: int | None = None
    has_ended: bool = False
    now_ms: int = 0
    counts: Counter[str] = attrs.field(factory=Counter)
    _actions: list[Action] = attrs.field(factory=list)
    _claims: dict[VmId, list[ClaimItem]] = attrs.field(factory=dict)
    _offers: dict[VmId, list[SlotId]] = attrs.field(factory=dict)

    # --- status

    @property
    def is_departing(self) -> bool:
        """Whether the daemon is stopping or its VM is leaving."""
        own = self.roster.vms.get(self.vm_id)
        return self.stop_due_ms is not None or (own is not None and own.state is VmState.LEAVING)

    def is_member(self, scope: Scope) -> bool:
        """Whether the VM list places this VM in the scope."""
        return self.vm_id in self.roster.members(scope)

    def is_ready(self, scope: Scope) -> bool:
        """Return whether this process may claim, grant and accept slots in the scope."""
        blocked = self.is_removed or self.fenced_at_ms is not None or self.has_ended
        return not blocked and scope in self.synced_scopes and self.is_member(scope)

    def is_up_to_date(self) -> bool:
        """Return whether no newer list version is known to exist."""
        return self.roster.version >= self.highest_list_version

    def others(self, scope: Scope) -> set[VmId]:
        """Return the other VMs of the scope whose process is not known to have ended."""
        return {
            vm_id
            for vm_id in self.roster.members(scope)
            if vm_id != self.vm_id and not self.has_ended_process(vm_id)
        }

    def has_ended_process(self, vm_id: VmId) -> bool:
        """Return whether the newest known process of the VM has sent a farewell."""
        return vm_id in self.peers and self.peers[vm_id].process_has_ended

    # --- slots

    def record(self, slot: SlotId) -> SlotRecord:
        """Return the record of a slot, created on first use."""
        found = self.records.get(slot)
        if found is None:
            found = SlotRecord(slot)
            self.records[slot] = found
        return found

    def next_claim_id(self) -> int:
        """Return an id not yet used by this process."""
        self.claim_count += 1
        return self.claim_count

    def next_serial(self) -> int:
        """Return an unused number for offers, tickets and hellos."""
        self.serial += 1
        return self.serial

    def add_grant(self, record: SlotRecord, vm_id: VmId, grant: Grant) -> None:
        """Record a grant, replacing an earlier one to the same VM."""
        record.granted[vm_id] = grant
        self.newest_grant_version = max(self.newest_grant_version, grant.list_version)

    def prune_grants(self, record: SlotRecord) -> None:
        """Drop grants to VMs that were removed from the list or sent a farewell."""
        lapsed = [vm_id for vm_id, grant in record.granted.items() if self.has_lapsed(vm_id, grant)]
        for vm_id in lapsed:
            del record.granted[vm_id]

    def has_lapsed(self, vm_id: VmId, grant: Grant) -> bool:
        """Return whether the grantee can no longer use its grant."""
        gone = self.roster.is_gone(vm_id, grant.list_version)
        return gone or self.has_ended_process(vm_id)

    def grants_unknown_to(self, record: SlotRecord, list_version: int) -> tuple[SlotGrant, ...]:
        """Return the grants whose grantee may be missing from a list of that version."""
        if list_version >= self.newest_grant_version:
            return ()
        self.prune_grants(record)
        return tuple(
            SlotGrant(record.slot, vm_id, grant.incarnation, grant.claim_id, grant.list_version)
            for vm_id, grant in record.granted.items()
            if grant.list_version > list_version
        )

    def release(self, record: SlotRecord, reason: ReleaseReason) -> None:
        """Return to the free phase; emit Released if the slot was held."""
        was_holding = isinstance(record.phase, Holding)
        record.phase = Free()
        if was_holding:
            self.emit(Released(record.slot, reason))
            self.audit(AuditEvent.RELEASED, record.slot, reason.value)

    def hold(self, record: SlotRecord, claim_id: int, term: int, payload: bytes | None) -> None:
        record.phase = Holding(
            claim_id=claim_id,
            term=term,
            offer_due_ms=self.now_ms + (self.config.settle_ms if payload is not None else 0),
            backoff_ms=self.config.resend_ms,
        )
        record.term = term
        record.hint = None
        record.open_ticket = None
        self.tracked_slots[record.slot] = None
        self.emit(Acquired(record.slot, term, payload))
        event = AuditEvent.ACQUIRED if payload is None else AuditEvent.RECEIVED
        self.audit(event, record.slot, f"term={term}")

    def cancel_claim(self, record: SlotRecord) -> None:
        """Cancel a claim; its grants lapse because its id is not used again."""
        if isinstance(record.phase, Claiming):
            record.phase = Free()

    def leave_transfer(self, record: SlotRecord, event: AuditEvent, claim_id: int) -> None:
        """End a hand-over and record the successor as a grantee, which later claims must ask."""
        phase = record.phase
        if not isinstance(phase, Transferring):
            return
        record.phase = Free()
        grant = Grant(phase.successor_incarnation, claim_id, phase.list_version)
        self.add_grant(record, phase.successor, grant)
        self.audit(event, record.slot, f"heir={phase.successor}")

    def next_backoff(self, backoff_ms: int) -> int:
        return min(2 * backoff_ms, self.config.resend_max_ms)

    # --- outbox

    def emit(self, action: Action) -> None:
        self._actions.append(action)

    def send(self, vm_id: VmId, message: Message) -> None:
        """Add a message to the actions of the event."""
        self.emit(Send(vm_id, message))

    def audit(self, event: AuditEvent, slot: SlotId | None = None, detail: str = "") -> None:
        """Add an audit entry to the actions, and count it."""
        self.counts[event.value] += 1
        self.emit(AuditEntry(self.now_ms, event, slot, detail))

    def queue_claim(self, targets: Iterable[VmId], item: ClaimItem) -> None:
        """Queue a claim for each target, batched per event."""
        for vm_id in sorted(targets):
            self._claims.setdefault(vm_id, []).append(item)

    def queue_offer(self, successor: VmId, slot: SlotId) -> None:
        """Queue an offer, batched per event."""
        self._offers.setdefault(successor, []).append(slot)

    def flush(self) -> list[Action]:
        """Return the actions of the current event and clear the outbox."""
        for vm_id, items in self._claims.items():
            self.send(vm_id, Claim(self.roster.version, tuple(items)))
        for vm_id, slots in self._offers.items():
            self.send(vm_id, self._make_offer(slots))
        self._claims.clear()
        self._offers.clear()
        actions, self._actions = self._actions, []
        return actions

    def _make_offer(self, slots: list[SlotId]) -> Offer:
        offer_id = self.next_serial()
        for slot in slots:
            phase = self.records[slot].phase
            if isinstance(phase, Holding):
                phase.offer_id = offer_id
        return Offer(offer_id, self.roster.version, tuple(slots))
