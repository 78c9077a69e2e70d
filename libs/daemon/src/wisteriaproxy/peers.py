"""Drives the membership protocol and reports status changes of other daemons."""

from collections.abc import Callable
from typing import Any

import anyio
import attrs

from wisteria_core import Clock, Vm, VmId, VmList
from wisteria_membership import Action, AuditEntry, Membership, Send, Status, StatusChanged

from .audit import AuditTrail

_MS_PER_S = 1_000
TICK_MS = 100


@attrs.define(eq=False)
class PeerTable:
    """Drives the membership protocol and executes the actions that it returns.

    Parameters
    ----------
    send : callable
        Sends a control message to the daemon of a VM.
    on_change : callable
        Called with a VM and its new status whenever the status changes.
    on_list_version : callable
        Called with the highest version of the list of VMs that any daemon has read.
    """

    membership: Membership
    clock: Clock
    audit: AuditTrail
    send: Callable[[VmId, Any], None]
    on_change: Callable[[VmId, Status], None] = lambda vm_id, status: None
    on_list_version: Callable[[int], None] = lambda version: None

    def is_usable(self, vm_id: VmId) -> bool:
        """Return whether new calls may be sent to a VM; always true for this VM."""
        return vm_id == self.membership.vm_id or self.membership.usable(vm_id)

    async def run_ticks(self) -> None:
        """Send heartbeats and detect unreachable VMs until cancelled."""
        while True:
            self._execute(self.membership.tick(self.clock.now_ms()))
            await anyio.sleep(TICK_MS / _MS_PER_S)

    def apply_list(self, vm_list: VmList) -> None:
        self._execute(self.membership.update_list(self.clock.now_ms(), vm_list))

    def handle(self, sender: VmId, incarnation: int, message: Any) -> None:
        now_ms = self.clock.now_ms()
        self._execute(self.membership.handle(now_ms, sender, incarnation, message))
        self.on_list_version(self.membership.highest_list_version)

    def note_call(self, vm_id: VmId, *, was_reached: bool) -> None:
        now_ms = self.clock.now_ms()
        self._execute(self.membership.note_call_outcome(now_ms, vm_id, was_reached))

    def note_link(self, vm_id: VmId, *, is_open: bool) -> None:
        """Record that a link was opened or lost."""
        self._execute(self.membership.note_link(self.clock.now_ms(), vm_id, is_open))

    def note_leaving(self, vm_id: VmId, is_leaving: bool) -> None:
        """Record the leaving flag of a call's answer."""
        self._execute(self.membership.note_leaving(self.clock.now_ms(), vm_id, is_leaving))

    def note_server_leaving(self, vm: Vm) -> None:
        """Ignore the announcement: the VM's membership state tells the same."""

    def set_leaving(self, is_leaving: bool) -> None:
        """Announce to the fleet whether this VM is leaving."""
        now_ms = self.clock.now_ms()
        if is_leaving:
            self._execute(self.membership.begin_leave(now_ms))
        else:
            self._execute(self.membership.end_leave(now_ms))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(vm_id, message):
                    self.send(vm_id, message)
                case StatusChanged():
                    self.on_change(action.vm_id, action.new)
                case AuditEntry():
                    self._record(action)

    def _record(self, entry: AuditEntry) -> None:
        self.audit.record("membership", entry.vm_id, "changed", entry.detail)
