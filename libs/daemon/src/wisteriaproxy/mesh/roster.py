"""Backend servers in the store, retained across its outages."""

import attrs

from wisteria_core import VmId, VmList

from .entries import ServerEntry

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
    """

    _entries: dict[str, ServerEntry] = attrs.field(factory=dict)
    _retained: dict[str, _RetainedEntry] = attrs.field(factory=dict)
    _removed: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    _recovered_ms: int | None = None
    _outage_since_ms: int | None = None
    _version: int = 0

    def note_outage(self, now_ms: int) -> None:
        if self._outage_since_ms is None:
            self._outage_since_ms = now_ms

    def note_recovery(self, now_ms: int) -> None:
        """Record that the store answers; start the grace period after a long enough outage."""
        since_ms, self._outage_since_ms = self._outage_since_ms, None
        if since_ms is not None and now_ms - since_ms >= MIN_OUTAGE_MS:
            self._recovered_ms = now_ms

    def put(self, entry: ServerEntry) -> None:
        """Add or update an entry; ignore a state older than the known or removed one.

        A delayed write could otherwise make a leaving server ready or restore a removed one.
        """
        known = self._entries.get(entry.name)
        if known is not None and known.revision > entry.revision:
            return
        if known is not None and known.state_order > entry.state_order:
            return
        if entry.state_order <= self._removed.get(entry.name, _NEVER):
            return
        self._removed.pop(entry.name, None)
        self._entries[entry.name] = entry
        self._retained.pop(entry.name, None)

    def remove(self, now_ms: int, name: str) -> None:
        """Remove an entry, or retain it within the grace period unless its server was leaving."""
        entry = self._entries.pop(name, None)
        if entry is not None:
            self._removed[name] = entry.state_order
            if len(self._removed) > MAX_REMOVED:
                del self._removed[next(iter(self._removed))]
        if entry is not None and self._is_in_grace(now_ms) and not entry.is_leaving:
            assert self._recovered_ms is not None
            self._retained[name] = _RetainedEntry(entry, self._recovered_ms + RECOVERY_GRACE_MS)

    def replace(self, now_ms: int, entries: list[ServerEntry]) -> None:
        """Replace all entries by those of a complete read."""
        names = {entry.name for entry in entries}
        for name in list(self._entries):
            if name not in names:
                self.remove(now_ms, name)
        for entry in entries:
            self.put(entry)

    def expire(self, now_ms: int) -> bool:
        """Drop entries whose grace period has ended; return whether there were any."""
        expired = [
            name for name, retained in self._retained.items() if now_ms >= retained.drop_at_ms
        ]
        for name in expired:
            del self._retained[name]
        return bool(expired)

    def make_list(self) -> VmList:
        """Return the list of VMs; of several entries with one address the latest start wins."""
        self._version += 1
        newest: dict[VmId, ServerEntry] = {}
        retained_entries = [retained.entry for retained in self._retained.values()]
        for entry in (*retained_entries, *self._entries.values()):
            known = newest.get(entry.vm.vm_id)
            if known is None or (entry.started_ms, entry.revision) >= (
                known.started_ms,
                known.revision,
            ):
                newest[entry.vm.vm_id] = entry
        return VmList(self._version, tuple(newest[vm_id].vm for vm_id in sorted(newest)))

    def _is_in_grace(self, now_ms: int) -> bool:
        if self._recovered_ms is None:
            return False
        return now_ms - self._recovered_ms < RECOVERY_GRACE_MS
