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
    """

    name: str
    vm: Vm
    born_ms: int
    revision: int

    @property
    def is_leaving(self) -> bool:
        """Whether the backend server has said that it leaves."""
        return self.vm.state is VmState.LEAVING
