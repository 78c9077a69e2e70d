"""Backend servers in the store, retained across its outages and restores."""

from collections.abc import Container

import attrs

from wisteria_core import VmId, VmList

from .entries import ServerEntry, StorePosition

RECOVERY_GRACE_MS = 2_500
"""Time after a store outage within which every live server has registered again: the platform
guarantees 2 s, and reading the entry takes a fraction of a second."""

MAX_REMOVED = 1_000
"""Limit of remembered removals: covers the last minutes in a fleet of hundreds of VMs."""

MIN_OUTAGE_MS = 2_000
"""Shortest outage in which entries can expire: they outlive more than two missed heartbeats."""

_NEVER = (-1, -1)


@attrs.define
class _RetainedEntry:
    """Removed entry that counts as present until the grace period ends."""

    entry: ServerEntry
    drop_at_ms: int


@attrs.define
class Roster:
    """Entries of backend servers by name, from which the list of VMs is made.

    During a store outage even the entries of live servers expire. An entry that is removed within
    the grace period after the outage is retained until the period ends, unless it is written again.
    After a restore from a copy, the same holds for entries that the copy lacks.
    """

    _entries: dict[str, ServerEntry] = attrs.field(factory=dict)
    _retained: dict[str, _RetainedEntry] = attrs.field(factory=dict)
    _removed: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    _recovered_ms: int | None = None
    _outage_since_ms: int | None = None
    _restored_ms: int | None = None
    _epoch: int | None = None
    _version: int = 0

    def note_outage(self, now_ms: int) -> None:
        if self._outage_since_ms is None:
            self._outage_since_ms = now_ms

    def note_recovery(self, now_ms: int) -> None:
        """Record that the store answers; start the grace period after a long enough outage."""
        since_ms, self._outage_since_ms = self._outage_since_ms, None
        if since_ms is not None and now_ms - since_ms >= MIN_OUTAGE_MS:
            self._recovered_ms = now_ms

    def note_epoch(self, now_ms: int, epoch: int) -> None:
        """Start the grace period for entries missing in a copy when the epoch has changed."""
        if self._epoch is not None and epoch != self._epoch:
            self._restored_ms = now_ms
        self._epoch = epoch

    def put(self, entry: ServerEntry) -> None:
        """Add or update an entry; ignore a state older than the known or removed one.

        A delayed write could otherwise make a leaving server ready or restore a removed one.
        """
        known = self._entries.get(entry.name)
        if known is not None and known.position > entry.position:
            return
        if known is None and entry.name in self._retained:
            known = self._retained[entry.name].entry
        if known is not None and known.state_order > entry.state_order:
            return
        if entry.state_order <= self._removed.get(entry.name, _NEVER):
            return
        self._removed.pop(entry.name, None)
        self._entries[entry.name] = entry
        self._retained.pop(entry.name, None)

    def remove(self, now_ms: int, name: str, position: StorePosition | None = None) -> None:
        """Remove an entry, or retain it within the grace period after an outage.

        Parameters
        ----------
        position : StorePosition, optional
            Change that removed it. An entry that was written later stays.
        """
        known = self._entries.get(name)
        if known is not None and position is not None and known.position > position:
            return
        self._remove(name, _find_grace_end(now_ms, self._recovered_ms))

    def entries(self) -> tuple[ServerEntry, ...]:
        """Return the entries that have not been removed."""
        return tuple(self._entries.values())

    def replace(self, now_ms: int, entries: list[ServerEntry]) -> None:
        """Replace all entries by those of a complete read."""
        names = {entry.name for entry in entries}
        grace_end_ms = _find_grace_end(now_ms, self._recovered_ms, self._restored_ms)
        for name in list(self._entries):
            if name not in names:
                self._remove(name, grace_end_ms)
        for entry in entries:
            self.put(entry)

    def expire(self, now_ms: int) -> bool:
        """Drop entries whose grace period has ended; return whether there were any."""
        expired = [
            name for name, retained in self._retained.items() if now_ms >= retained.drop_at_ms
        ]
        for name in expired:
            self._note_removed(self._retained.pop(name).entry)
        return bool(expired)

    def _remove(self, name: str, grace_end_ms: int | None) -> None:
        """Remove an entry, or retain it until the end of the grace period unless it is leaving."""
        entry = self._entries.pop(name, None)
        if entry is None:
            return
        if grace_end_ms is None or entry.is_leaving:
            self._note_removed(entry)
        else:
            self._retained[name] = _RetainedEntry(entry, grace_end_ms)

    def _note_removed(self, entry: ServerEntry) -> None:
        self._removed[entry.name] = entry.state_order
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def make_list(self, services: Container[str] | None = None) -> VmList:
        """Return the list of VMs; of several entries with one address the latest start wins.

        Parameters
        ----------
        services : container of str, optional
            Services of the configuration. An entry of another service may be of another writer and
            hides no server of these.
        """
        self._version += 1
        newest: dict[VmId, tuple[tuple[bool, int, StorePosition], ServerEntry]] = {}
        retained_entries = [retained.entry for retained in self._retained.values()]
        for entry in (*retained_entries, *self._entries.values()):
            is_configured = services is None or entry.vm.service in services
            order = (is_configured, entry.started_ms, entry.position)
            known = newest.get(entry.vm.vm_id)
            if known is None or order >= known[0]:
                newest[entry.vm.vm_id] = (order, entry)
        return VmList(self._version, tuple(newest[vm_id][1].vm for vm_id in sorted(newest)))


def _find_grace_end(now_ms: int, *starts_ms: int | None) -> int | None:
    """Return the end of the grace period that lasts longest; None if all have ended."""
    ends_ms = [start_ms + RECOVERY_GRACE_MS for start_ms in starts_ms if start_ms is not None]
    return max((end_ms for end_ms in ends_ms if end_ms > now_ms), default=None)
