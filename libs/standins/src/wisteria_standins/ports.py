"""Reservation of free TCP ports on loopback among the fleets of one machine."""

import os
import random
import socket

import attrs

from .const import LOOPBACK

# Below the kernel's default range of ephemeral ports.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000


@attrs.define
class PortReservations:
    """TCP ports reserved for one fleet.

    A UDP socket bound to the same port number marks the port as reserved for other fleets, while
    the fleet's own processes can still listen on the TCP port.
    """

    _reservations: list[socket.socket] = attrs.field(factory=list)
    _rng: random.Random = attrs.field(factory=lambda: random.Random(os.getpid()))

    def take(self) -> int:
        """Return a free port and reserve it until `release`."""
        for _ in range(_LAST_PORT - _FIRST_PORT):
            port = self._rng.randrange(_FIRST_PORT, _LAST_PORT)
            reservation = _reserve(port)
            if reservation is not None:
                self._reservations.append(reservation)
                return port
        raise OSError("no free port on loopback")

    def release(self) -> None:
        for reservation in self._reservations:
            reservation.close()
        self._reservations.clear()


def _reserve(port: int) -> socket.socket | None:
    reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        reservation.bind((LOOPBACK, port))
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((LOOPBACK, port))
    except OSError:
        reservation.close()
        return None
    return reservation
