"""Backend servers that have announced that they leave, in their entry or in an answer."""

import attrs

from wisteria_core import Vm, VmId, VmList, VmState

MAX_LEAVING = 1_000
"""Limit of remembered servers: covers the last minutes in a fleet of hundreds of VMs."""


@attrs.frozen
class _Process:
    """Process of a backend server; a restart may keep the instance name."""

    instance: str
    started_ms: int


@attrs.define
class LeavingServers:
    """Leaving processes of backend servers by VM, without input or output.

    An announcement is final for its process. It is kept across restarts of the serving daemon,
    lost links and removals from the list, until the list names another process on the VM.
    """

    _processes: dict[VmId, _Process] = attrs.field(factory=dict)

    def note_leaving(self, vm_id: VmId, instance: str, started_ms: int) -> bool:
        """Record an announcement by a process; return whether it is new."""
        process = _Process(instance, started_ms)
        if self._processes.get(vm_id) == process:
            return False
        self._processes.pop(vm_id, None)
        self._processes[vm_id] = process
        if len(self._processes) > MAX_LEAVING:
            del self._processes[next(iter(self._processes))]
        return True

    def apply_list(self, vm_list: VmList) -> None:
        """Forget the processes that the list shows to have been replaced; record leaving ones."""
        for vm in vm_list:
            known = self._processes.get(vm.vm_id)
            if known is not None and _is_successor(vm, known):
                del self._processes[vm.vm_id]
            if vm.state is VmState.LEAVING and vm.vm_id not in self._processes:
                self.note_leaving(vm.vm_id, vm.instance, vm.started_ms)

    def is_leaving(self, vm_id: VmId) -> bool:
        return vm_id in self._processes


def _is_successor(vm: Vm, process: _Process) -> bool:
    if vm.started_ms == process.started_ms:
        return vm.instance != process.instance
    return vm.started_ms > process.started_ms
