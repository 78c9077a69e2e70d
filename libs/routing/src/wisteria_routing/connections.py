"""Limits the connections to one backend server, and how many are opened at once."""

import attrs


@attrs.define
class ConnectionBudget:
    """Decides whether a call reuses an idle connection, opens a new one or has to wait.

    Parameters
    ----------
    limit : int
        Maximum number of connections, including those being opened.
    max_opening : int
        Maximum number of connections being opened at once. Opening a connection costs the
        backend server more than serving a call.
    """

    limit: int
    max_opening: int = 4
    opening: int = 0
    idle: int = 0
    busy: int = 0

    def try_reuse(self) -> bool:
        """Reserve an idle connection for a call; return False when there is none."""
        if not self.idle:
            return False
        self.idle -= 1
        self.busy += 1
        return True

    def try_open(self) -> bool:
        """Reserve a new connection to open; return False when a limit is reached."""
        total = self.opening + self.idle + self.busy
        if total >= self.limit or self.opening >= self.max_opening:
            return False
        self.opening += 1
        return True

    def note_opened(self, succeeded: bool) -> None:
        """Record the result of opening a connection; on success the connection is idle."""
        self.opening -= 1
        self.idle += int(succeeded)

    def note_released(self, reusable: bool) -> None:
        """Record the end of a call; the connection becomes idle unless it must be closed."""
        self.busy -= 1
        self.idle += int(reusable)

    def note_idle_closed(self) -> None:
        """Record that an idle connection was closed."""
        self.idle -= 1
