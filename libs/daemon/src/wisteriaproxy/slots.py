"""Slot ownership: passes changes to the components that serve slots."""

import logging
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import anyio
import attrs

from wisteria_config import Document
from wisteria_core import Clock, VmId, VmList
from wisteria_ledger import LEDGER_SLOTS_PER_SERVICE
from wisteria_limits import SliceId
from wisteria_ownership import (
    Acquired,
    Action,
    AuditEntry,
    AuditEvent,
    HandOver,
    Ownership,
    Released,
    ReleaseReason,
    Send,
    SlotFamily,
    SlotId,
    domain_scope,
    service_scope,
)

from .audit import AuditTrail

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
TICK_MS = 50

_AUDIT_OUTCOMES = {
    AuditEvent.ACQUIRED: "acquired",
    AuditEvent.RECEIVED: "acquired",
    AuditEvent.RELEASED: "released",
    AuditEvent.HANDED_OVER: "released",
    AuditEvent.FENCED: "released",
}


class SlotHandler(Protocol):
    """Serves the slots of one family while this daemon owns them."""

    def acquire(self, slot: SlotId, payload: bytes | None) -> None:
        """Start to serve a slot, from the previous owner's payload if any."""

    def release(self, slot: SlotId) -> bytes:
        """Stop serving a slot; return the payload for its successor."""

    def drop(self, slot: SlotId) -> None:
        """Stop serving a slot without handing it over."""


def rate_slot(slice_id: SliceId) -> SlotId:
    """Return the slot for a slice of an account's rate limit."""
    return SlotId(SlotFamily.RATE, slice_id.account, slice_id.index, domain_scope(slice_id.domain))


def ledger_slot(service: str, index: int) -> SlotId:
    return SlotId(SlotFamily.LEDGER, service, index, service_scope(service))


def list_slots(slices: Iterable[SliceId], document: Document) -> list[SlotId]:
    """Return every slot that a document requires."""
    slots = [rate_slot(slice_id) for slice_id in slices]
    for service in document.services:
        slots += [ledger_slot(service.name, index) for index in range(LEDGER_SLOTS_PER_SERVICE)]
    return slots


@attrs.define(eq=False)
class SlotTable:
    """Drives the ownership protocol and executes its actions."""

    ownership: Ownership
    clock: Clock
    audit: AuditTrail
    send: Callable[[VmId, Any], None]
    handlers: dict[SlotFamily, SlotHandler] = attrs.field(factory=dict)
    _successors: dict[SlotId, VmId] = attrs.field(factory=dict)

    def may_decide(self, slot: SlotId) -> bool:
        """Return whether this daemon owns a slot now and may decide for it."""
        return self.ownership.may_decide(self.clock.now_ms(), slot)

    def preferred_holder(self, slot: SlotId) -> VmId | None:
        """Return the VM that ranks first for a slot in the current list."""
        return self.ownership.preferred_holder(slot)

    def find_successor(self, slot: SlotId) -> VmId | None:
        """Return the VM that this daemon handed a slot to, else the preferred holder."""
        return self._successors.get(slot) or self.preferred_holder(slot)

    def apply_list(self, vm_list: VmList, requested_at_ms: int | None = None) -> None:
        self._execute(self.ownership.update_list(self.clock.now_ms(), vm_list, requested_at_ms))

    def apply_slots(self, slots: Iterable[SlotId]) -> None:
        self._execute(self.ownership.set_wanted(self.clock.now_ms(), slots))

    def handle(self, sender: VmId, incarnation: int, message: Any) -> None:
        self._execute(self.ownership.handle(self.clock.now_ms(), sender, incarnation, message))

    def note_reachable(self, vm_id: VmId, is_reachable: bool) -> None:
        self._execute(self.ownership.note_reachable(self.clock.now_ms(), vm_id, is_reachable))

    def note_progress(self) -> None:
        """Record that the event loop runs, so that a pause of the process is detected now."""
        self._execute(self.ownership.note_progress(self.clock.now_ms()))

    def note_list_version(self, version: int) -> None:
        """Record the highest version that any daemon has read."""
        """Record the highest version of the list of VMs that any daemon has read."""
        self._execute(self.ownership.note_list_version(self.clock.now_ms(), version))

    def begin_stop(self) -> None:
        self._execute(self.ownership.begin_stop(self.clock.now_ms()))

    async def run_ticks(self) -> None:
        """Run periodic work until cancelled."""
        while True:
            self._execute(self.ownership.tick(self.clock.now_ms()))
            await anyio.sleep(TICK_MS / _MS_PER_S)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(vm_id, message):
                    if isinstance(message, HandOver):
                        self._successors[message.slot] = vm_id
                    self.send(vm_id, message)
                case Acquired(slot, _, payload):
                    self._successors.pop(slot, None)
                    self.handlers[slot.family].acquire(slot, payload)
                case Released(slot, ReleaseReason.HAND_OVER):
                    payload = self.handlers[slot.family].release(slot)
                    follow_up = self.ownership.supply_payload(self.clock.now_ms(), slot, payload)
                    self._execute(follow_up)
                case Released(slot, _):
                    self.handlers[slot.family].drop(slot)
                case AuditEntry():
                    self._record(action)

    def _record(self, entry: AuditEntry) -> None:
        outcome = _AUDIT_OUTCOMES.get(entry.event)
        subject = entry.slot.key if entry.slot is not None else "all"
        if outcome is None:
            _LOGGER.debug(
                "slot_event",
                extra={"slot": subject, "change": entry.event.value, "detail": entry.detail},
            )
            return
        reason = f"{entry.event.value} {entry.detail}".strip()
        self.audit.record("slot", subject, outcome, reason)  # type: ignore[arg-type]
