"""The VMs that the platform's store names, kept through outages of the store."""

import attrs

from wisteria_core import VmId, VmList

from .entries import ServerEntry

RETURN_GRACE_MS = 2_500
"""Time after the store's return in which a live server has registered again: the platform
states two seconds, and a part of a second goes to reading it."""

MAX_REMOVED = 1_000
"""Removed entries that are remembered: those of the last minutes on a fleet of hundreds of VMs."""

LEAST_OUTAGE_MS = 2_000
"""Shortest outage in which entries lapse: they outlive more than two missed heartbeats."""

_NEVER = (-1, -1)


@attrs.define
class _Missing:
    """An entry that was removed and may come back."""

    entry: ServerEntry
    drop_at_ms: int


@attrs.define
class Roster:
    """Entries of backend servers by name, and the list of VMs that follows from them.

    Entries lapse while the store is away, also those of live servers. Within the grace after
    its return a removed entry is kept; one that is still missing then is gone.
    """

    _entries: dict[str, ServerEntry] = attrs.field(factory=dict)
    _missing: dict[str, _Missing] = attrs.field(factory=dict)
    _removed: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    _returned_ms: int | None = None
    _away_since_ms: int | None = None
    _version: int = 0

    def note_outage(self, now_ms: int) -> None:
        """Take in that the store does not answer."""
        if self._away_since_ms is None:
            self._away_since_ms = now_ms

    def note_return(self, now_ms: int) -> None:
        """Take in that the store answers again."""
        since_ms, self._away_since_ms = self._away_since_ms, None
        if since_ms is not None and now_ms - since_ms >= LEAST_OUTAGE_MS:
            self._returned_ms = now_ms

    def put(self, entry: ServerEntry) -> None:
        """Take in an entry as it was written; an older state of it changes nothing.

        A delayed write would make a leaving server ready, or bring a removed one back.
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
        self._missing.pop(entry.name, None)

    def remove(self, now_ms: int, name: str) -> None:
        """Take in that an entry was removed."""
        entry = self._entries.pop(name, None)
        if entry is not None:
            self._removed[name] = entry.state_order
            if len(self._removed) > MAX_REMOVED:
                del self._removed[next(iter(self._removed))]
        if entry is not None and self._is_in_grace(now_ms) and not entry.is_leaving:
            assert self._returned_ms is not None
            self._missing[name] = _Missing(entry, self._returned_ms + RETURN_GRACE_MS)

    def replace(self, now_ms: int, entries: list[ServerEntry]) -> None:
        """Take in all entries that exist."""
        names = {entry.name for entry in entries}
        for name in list(self._entries):
            if name not in names:
                self.remove(now_ms, name)
        for entry in entries:
            self.put(entry)

    def expire(self, now_ms: int) -> bool:
        """Drop entries whose grace is over; return whether there were any."""
        over = [name for name, one in self._missing.items() if now_ms >= one.drop_at_ms]
        for name in over:
            del self._missing[name]
        return bool(over)

    def make_list(self) -> VmList:
        """Return the list of VMs; of two entries with one address the later start counts."""
        self._version += 1
        newest: dict[VmId, ServerEntry] = {}
        kept = [one.entry for one in self._missing.values()]
        for entry in (*kept, *self._entries.values()):
            known = newest.get(entry.vm.vm_id)
            if known is None or (entry.born_ms, entry.revision) >= (known.born_ms, known.revision):
                newest[entry.vm.vm_id] = entry
        return VmList(self._version, tuple(newest[vm_id].vm for vm_id in sorted(newest)))

    def _is_in_grace(self, now_ms: int) -> bool:
        if self._returned_ms is None:
            return False
        return now_ms - self._returned_ms < RETURN_GRACE_MS
