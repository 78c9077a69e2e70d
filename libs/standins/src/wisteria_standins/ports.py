"""Free TCP ports on loopback that no other fleet on the machine takes."""

import os
import random
import socket

import attrs

from .const import LOOPBACK

# Below the range from which the kernel takes ports of outgoing connections.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000


@attrs.define
class PortReservations:
    """Ports held for one fleet.

    A datagram socket on the same number marks a port as taken for other fleets, while the
    fleet's own processes can still listen on it.
    """

    _marks: list[socket.socket] = attrs.field(factory=list)
    _rng: random.Random = attrs.field(factory=lambda: random.Random(os.getpid()))

    def take(self) -> int:
        """Return a free port and hold it until `release`."""
        for _ in range(_LAST_PORT - _FIRST_PORT):
            port = self._rng.randrange(_FIRST_PORT, _LAST_PORT)
            mark = _mark(port)
            if mark is not None:
                self._marks.append(mark)
                return port
        raise OSError("no free port on loopback")

    def release(self) -> None:
        """Give all ports back."""
        for mark in self._marks:
            mark.close()
        self._marks.clear()


def _mark(port: int) -> socket.socket | None:
    mark = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        mark.bind((LOOPBACK, port))
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((LOOPBACK, port))
    except OSError:
        mark.close()
        return None
    return mark
