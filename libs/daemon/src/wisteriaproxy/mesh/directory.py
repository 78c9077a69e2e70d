"""Entries of backend servers, from the store or from other daemons, in the store's order."""

import enum
from collections.abc import Container

import attrs

from wisteria_core import VmList

from .entries import ServerEntry, StorePosition
from .roster import Roster


@attrs.frozen
class RemovedEntry:
    """Removal of an entry from the store."""

    name: str
    position: StorePosition


@attrs.frozen
class EntryChanges:
    """All entries at a position of the store, or the changes between two positions.

    Parameters
    ----------
    is_whole : bool
        Whether `entries` are all entries; then `base` and `removed` have no meaning.
    base : StorePosition
        Position of the change before these.
    position : StorePosition
        Position of the last change.
    """

    is_whole: bool
    base: StorePosition
    position: StorePosition
    entries: tuple[ServerEntry, ...] = ()
    removed: tuple[RemovedEntry, ...] = ()


class Applied(enum.Enum):
    """What became of changes."""

    CHANGED = "changed"
    KNOWN = "known"
    GAP = "gap"
    """Changes before them are missing."""


START = StorePosition(-1, -1)
"""Position before the first read."""


@attrs.define
class Directory:
    """Entries of backend servers with the position of their last change.

    Changes may come from several readers of the store, in any order and more than once.
    """

    roster: Roster = attrs.field(factory=Roster)
    position: StorePosition = START

    def apply(self, now_ms: int, changes: EntryChanges) -> Applied:
        """Apply changes unless they are known already or changes before them are missing."""
        if changes.position.epoch < self.position.epoch:
            return Applied.KNOWN
        if changes.position <= self.position:
            return Applied.KNOWN
        if changes.is_whole:
            return self._replace(now_ms, changes)
        if changes.base > self.position or changes.base.epoch != self.position.epoch:
            return Applied.GAP
        for entry in changes.entries:
            self.roster.put(entry)
        for removed in changes.removed:
            self.roster.remove(now_ms, removed.name, removed.position)
        self.position = changes.position
        return Applied.CHANGED

    def _replace(self, now_ms: int, changes: EntryChanges) -> Applied:
        self.roster.note_epoch(now_ms, changes.position.epoch)
        self.roster.replace(now_ms, list(changes.entries))
        self.position = changes.position
        return Applied.CHANGED

    def snapshot(self) -> EntryChanges:
        """Return all entries."""
        return EntryChanges(True, START, self.position, self.roster.entries())

    def make_list(self, services: Container[str] | None = None) -> VmList:
        """Return the list of VMs; see `Roster.make_list`."""
        return self.roster.make_list(services)
