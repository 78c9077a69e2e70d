"""Slots of this daemon: ties ownership to the parts that decide for a slot."""

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

_AUDITED = {
    AuditEvent.ACQUIRED: "acquired",
    AuditEvent.RECEIVED: "acquired",
    AuditEvent.RELEASED: "released",
    AuditEvent.HANDED_OVER: "released",
    AuditEvent.FENCED: "released",
}


class SlotHandler(Protocol):
    """A part of the daemon that decides for the slots of one family."""

    def acquire(self, slot: SlotId, payload: bytes | None) -> None:
        """Begin to decide for a slot."""

    def release(self, slot: SlotId) -> bytes:
        """Stop deciding for a slot and return what the heir must know."""

    def drop(self, slot: SlotId) -> None:
        """Stop deciding for a slot without an heir."""


def rate_slot(slice_id: SliceId) -> SlotId:
    """Return the slot of a slice of an account's rate."""
    return SlotId(SlotFamily.RATE, slice_id.account, slice_id.index, domain_scope(slice_id.domain))


def ledger_slot(service: str, index: int) -> SlotId:
    """Return the slot of a range of idempotency keys."""
    return SlotId(SlotFamily.LEDGER, service, index, service_scope(service))


def list_slots(slices: Iterable[SliceId], document: Document) -> list[SlotId]:
    """Return every slot that a configuration asks for."""
    slots = [rate_slot(slice_id) for slice_id in slices]
    for service in document.services:
        slots += [ledger_slot(service.name, index) for index in range(LEDGER_SLOTS_PER_SERVICE)]
    return slots


@attrs.define(eq=False)
class SlotTable:
    """Drives ownership and carries out what it asks for."""

    ownership: Ownership
    clock: Clock
    audit: AuditTrail
    send: Callable[[VmId, Any], None]
    handlers: dict[SlotFamily, SlotHandler] = attrs.field(factory=dict)
    _heirs: dict[SlotId, VmId] = attrs.field(factory=dict)

    def may_decide(self, slot: SlotId) -> bool:
        """Return whether this daemon may act for a slot at this moment."""
        return self.ownership.may_decide(self.clock.now_ms(), slot)

    def preferred_holder(self, slot: SlotId) -> VmId | None:
        """Return the VM that the list in force ranks first for a slot."""
        return self.ownership.preferred_holder(slot)

    def find_successor(self, slot: SlotId) -> VmId | None:
        """Return the VM that this daemon handed a slot to, else the one that ranks first."""
        return self._heirs.get(slot) or self.preferred_holder(slot)

    def apply_list(self, vm_list: VmList, requested_at_ms: int | None = None) -> None:
        """Take in a read of the list of VMs."""
        self._carry_out(self.ownership.update_list(self.clock.now_ms(), vm_list, requested_at_ms))

    def apply_slots(self, slots: Iterable[SlotId]) -> None:
        """Put the slots of a configuration version in force."""
        self._carry_out(self.ownership.set_wanted(self.clock.now_ms(), slots))

    def handle(self, sender: VmId, incarnation: int, message: Any) -> None:
        """Take in a message of the ownership protocol."""
        self._carry_out(self.ownership.handle(self.clock.now_ms(), sender, incarnation, message))

    def note_reachable(self, vm_id: VmId, is_reachable: bool) -> None:
        """Take in whether the daemon of a VM can be reached."""
        self._carry_out(self.ownership.note_reachable(self.clock.now_ms(), vm_id, is_reachable))

    def note_progress(self) -> None:
        """Tell ownership that the loop runs, so that a gap is noticed now."""
        self._carry_out(self.ownership.note_progress(self.clock.now_ms()))

    def note_list_version(self, version: int) -> None:
        """Take in the highest version of the list that any daemon has read."""
        self._carry_out(self.ownership.note_list_version(self.clock.now_ms(), version))

    def begin_stop(self) -> None:
        """Hand every slot over."""
        self._carry_out(self.ownership.begin_stop(self.clock.now_ms()))

    async def run_ticks(self) -> None:
        """Let ownership do what is due; runs until cancelled."""
        while True:
            self._carry_out(self.ownership.tick(self.clock.now_ms()))
            await anyio.sleep(TICK_MS / _MS_PER_S)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(vm_id, message):
                    if isinstance(message, HandOver):
                        self._heirs[message.slot] = vm_id
                    self.send(vm_id, message)
                case Acquired(slot, _, payload):
                    self._heirs.pop(slot, None)
                    self.handlers[slot.family].acquire(slot, payload)
                case Released(slot, ReleaseReason.HAND_OVER):
                    payload = self.handlers[slot.family].release(slot)
                    supply = self.ownership.supply_payload(self.clock.now_ms(), slot, payload)
                    self._carry_out(supply)
                case Released(slot, _):
                    self.handlers[slot.family].drop(slot)
                case AuditEntry():
                    self._record(action)

    def _record(self, entry: AuditEntry) -> None:
        outcome = _AUDITED.get(entry.event)
        subject = entry.slot.key if entry.slot is not None else "all"
        if outcome is None:
            _LOGGER.debug(
                "slot_event",
                extra={"slot": subject, "change": entry.event.value, "detail": entry.detail},
            )
            return
        reason = f"{entry.event.value} {entry.detail}".strip()
        self.audit.record("slot", subject, outcome, reason)  # type: ignore[arg-type]
