"""Bound on the connections to one backend server, with the cost of new ones counted."""

import attrs


@attrs.define
class ConnectionBudget:
    """Decides whether a call reuses an idle connection, opens one, or has to wait.

    Parameters
    ----------
    limit : int
        Connections that may be open at once.
    max_opening : int
        Connections that may be in the course of opening at once: each costs the backend
        server more than a call does.
    """

    limit: int
    max_opening: int = 4
    opening: int = 0
    idle: int = 0
    busy: int = 0

    def may_reuse(self) -> bool:
        """Take an idle connection when there is one."""
        if not self.idle:
            return False
        self.idle -= 1
        self.busy += 1
        return True

    def may_open(self) -> bool:
        """Start to open a connection when the bounds allow it."""
        total = self.opening + self.idle + self.busy
        if total >= self.limit or self.opening >= self.max_opening:
            return False
        self.opening += 1
        return True

    def note_opened(self, succeeded: bool) -> None:
        """Take in the end of an opening; a connection that opened is idle."""
        self.opening -= 1
        self.idle += int(succeeded)

    def note_released(self, reusable: bool) -> None:
        """Take in the end of a call on a connection."""
        self.busy -= 1
        self.idle += int(reusable)

    def note_idle_closed(self) -> None:
        """Take in that an idle connection was closed."""
        self.idle -= 1
