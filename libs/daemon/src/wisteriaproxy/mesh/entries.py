"""An entry of a backend server in the platform's store."""

import attrs

from wisteria_core import Vm, VmState


@attrs.frozen
class ServerEntry:
    """What a backend server says of itself.

    Parameters
    ----------
    name : str
        Name of the process of the backend server.
    vm : Vm
        Its VM, with the daemon's ports.
    born_ms : int
        Unix time of the process's start, in milliseconds; 0 when it is not said.
    revision : int
        Change of the store that wrote it.
    sequence : int
        Counts what the process has written. A write that was delayed arrives behind later ones
        and has a lower count.
    """

    name: str
    vm: Vm
    born_ms: int
    revision: int
    sequence: int = 0

    @property
    def state_order(self) -> tuple[int, int]:
        """Order of what the process says of itself, whatever the order of arrival."""
        return (self.born_ms, self.sequence)

    @property
    def is_leaving(self) -> bool:
        """Whether the backend server has said that it leaves."""
        return self.vm.state is VmState.LEAVING
