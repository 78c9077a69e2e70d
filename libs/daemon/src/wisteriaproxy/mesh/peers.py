"""Which other daemons are leaving or have stopped reporting."""

import attrs

from wisteria_core import VmId

from .const import LINK_SILENCE_MS
from .messages import PeerNews


@attrs.define
class _Peer:
    """Last report of a daemon."""

    leaving: bool
    last_report_ms: int


@attrs.define
class PeerStates:
    """States of the other daemons, without input or output.

    The list of VMs gives the candidates for a call; leaving daemons are excluded by these states.
    """

    _peers: dict[VmId, _Peer] = attrs.field(factory=dict)

    def record_report(self, now_ms: int, vm_id: VmId, message: PeerNews) -> bool:
        """Record a report; return whether the daemon has started or stopped leaving."""
        known = self._peers.get(vm_id)
        was_leaving = known is not None and known.leaving
        self._peers[vm_id] = _Peer(message.leaving, now_ms)
        return was_leaving != message.leaving

    def note_leaving(self, now_ms: int, vm_id: VmId, is_leaving: bool) -> bool:
        """Record the flag of a call's answer; return whether it changed."""
        known = self._peers.get(vm_id)
        if known is None:
            known = self._peers[vm_id] = _Peer(False, now_ms)
        has_changed = known.leaving != is_leaving
        known.leaving = is_leaving
        return has_changed

    def note_link_lost(self, vm_id: VmId) -> None:
        """Drop the state: the next incarnation is not leaving."""
        self._peers.pop(vm_id, None)

    def is_leaving(self, vm_id: VmId) -> bool:
        """Return whether a daemon takes no new calls."""
        known = self._peers.get(vm_id)
        return known is not None and known.leaving

    def is_silent(self, now_ms: int, vm_id: VmId, opened_ms: int) -> bool:
        """Return whether no report has arrived over an open link for too long.

        Parameters
        ----------
        opened_ms : int
            When the link was opened.
        """
        known = self._peers.get(vm_id)
        last_report_ms = max(opened_ms, known.last_report_ms if known is not None else 0)
        return now_ms - last_report_ms > LINK_SILENCE_MS

    def describe(self, now_ms: int) -> dict[str, dict[str, object]]:
        return {
            vm_id: {"leaving": peer.leaving, "age_ms": now_ms - peer.last_report_ms}
            for vm_id, peer in self._peers.items()
        }
