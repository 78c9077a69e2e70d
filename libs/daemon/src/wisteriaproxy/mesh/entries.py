"""Backend servers' entries in the platform's store."""

import attrs

from wisteria_core import Vm, VmState


@attrs.frozen(order=True)
class StorePosition:
    """Position in the history of the store.

    Parameters
    ----------
    epoch : int
        Number of times that the store was restored from a copy; 0 if it doesn't report it.
    revision : int
        Number of the change. After a restore the numbers since the copy are given out again.
    """

    epoch: int
    revision: int


@attrs.frozen
class ServerEntry:
    """Entry that a backend server has written.

    Parameters
    ----------
    name : str
        Name of the backend server's process (its instance).
    vm : Vm
        VM on which it runs, with the daemon's ports.
    started_ms : int
        Start of the process in Unix time; 0 when the entry does not state it.
    position : StorePosition
        Change of the store that wrote the entry.
    sequence : int
        Number of the write, counted by the process. A delayed write arrives after later ones and
        has a lower number.
    """

    name: str
    vm: Vm
    started_ms: int
    position: StorePosition
    sequence: int = 0

    @property
    def state_order(self) -> tuple[int, int]:
        """Sort key of entries of a process, independent of arrival order."""
        return (self.started_ms, self.sequence)

    @property
    def is_leaving(self) -> bool:
        """Whether the backend server is draining."""
        return self.vm.state is VmState.LEAVING
