"""Which other daemons are leaving or have stopped reporting."""

import attrs

from wisteria_core import VmId

from .const import LEAVING_HOLD_MS, RELAY_SILENCE_MS


@attrs.frozen
class _RelayView:
    """Daemons that one relay reports as leaving or silent."""

    leaving: frozenset[VmId]
    silent: frozenset[VmId]
    heard_ms: int


@attrs.define
class PeerStates:
    """States of the other daemons, without input or output.

    The list of VMs gives the candidates for a call; leaving daemons are excluded by these states,
    and silent ones are chosen less. A silent daemon may be working: calls to it are not given up.
    """

    _told_ms: dict[VmId, int] = attrs.field(factory=dict)
    _views: dict[VmId, _RelayView] = attrs.field(factory=dict)

    def note_leaving(self, now_ms: int, vm_id: VmId, is_leaving: bool) -> bool:
        """Record what a daemon says of itself; return whether it is news."""
        was_leaving = self.is_leaving(vm_id)
        if is_leaving:
            self._told_ms[vm_id] = now_ms
        else:
            self._told_ms.pop(vm_id, None)
        return was_leaving != self.is_leaving(vm_id)

    def note_link_lost(self, vm_id: VmId) -> None:
        """Drop what a daemon said of itself: its next incarnation is not leaving."""
        self._told_ms.pop(vm_id, None)

    def note_view(
        self, now_ms: int, relay: VmId, leaving: frozenset[VmId], silent: frozenset[VmId]
    ) -> bool:
        """Record what a relay reports; return whether the states have changed."""
        known = self._views.get(relay)
        self._views[relay] = _RelayView(leaving, silent, now_ms)
        if known is None:
            return bool(leaving or silent)
        return known.leaving != leaving or known.silent != silent

    def expire(self, now_ms: int) -> bool:
        """Drop what was last told long ago; return whether states may have changed."""
        views = {
            relay: view
            for relay, view in self._views.items()
            if now_ms - view.heard_ms <= RELAY_SILENCE_MS
        }
        told = {
            vm_id: told_ms
            for vm_id, told_ms in self._told_ms.items()
            if now_ms - told_ms <= LEAVING_HOLD_MS
        }
        has_changed = len(views) != len(self._views) or len(told) != len(self._told_ms)
        self._views, self._told_ms = views, told
        return has_changed

    def is_leaving(self, vm_id: VmId) -> bool:
        """Return whether a daemon takes no new calls."""
        return vm_id in self._told_ms or any(vm_id in view.leaving for view in self._views.values())

    def is_silent(self, vm_id: VmId) -> bool:
        """Return whether a relay has not heard of a daemon for a while."""
        return any(vm_id in view.silent for view in self._views.values())

    def summarize(self) -> dict[str, list[VmId]]:
        """Return the daemons that are leaving or silent, according to any source."""
        views = self._views.values()
        return {
            "leaving": sorted({*self._told_ms}.union(*(view.leaving for view in views))),
            "silent": sorted(set[VmId]().union(*(view.silent for view in views))),
        }

    def describe(self, now_ms: int) -> dict[str, dict[str, object]]:
        """Return the relays that report to this daemon, with what they report."""
        return {
            relay: {
                "age_ms": now_ms - view.heard_ms,
                "leaving": sorted(view.leaving),
                "silent": sorted(view.silent),
            }
            for relay, view in self._views.items()
        }
