"""Compares what a call is addressed to with what runs on its VM, without input or output."""

from wisteria_core import Refusal, ResultCode, RunState, Vm
from wisteria_wire import CallHead

OTHER_SERVICE = Refusal(
    ResultCode.BACKEND_SERVER_LEAVING, "the VM runs another service", RunState.NOT_RUN
)
NO_PROCESS_NAMED = Refusal(
    ResultCode.BACKEND_SERVER_LEAVING, "the call names no process", RunState.NOT_RUN
)


def find_mismatch(head: CallHead, vm: Vm | None, *, needs_process: bool) -> Refusal | None:
    """Return the refusal of a call that the process on this VM must not run, or None.

    Parameters
    ----------
    vm : Vm or None
        What the list of VMs names here; None if it doesn't name this VM.
    needs_process : bool
        Whether calls must name a process.
    """
    if needs_process and not head.instance:
        return NO_PROCESS_NAMED
    if vm is None or vm.service == head.service:
        return None
    # the list of the entry daemon may be the newer one; the process itself rejects a call that
    # names another one
    return OTHER_SERVICE if head.instance == vm.instance else None
