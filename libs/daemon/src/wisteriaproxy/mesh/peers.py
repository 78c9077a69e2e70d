"""What a daemon in a mesh knows of the others: who is leaving, who has fallen silent."""

import attrs

from wisteria_core import VmId

from .const import LINK_SILENCE_MS
from .messages import PeerNews


@attrs.define
class _Peer:
    """The last news of one daemon."""

    leaving: bool
    heard_ms: int


@attrs.define
class PeerBoard:
    """News of the other daemons, as a pure state.

    The list of VMs names the candidates; this says which of them not to choose.
    """

    _peers: dict[VmId, _Peer] = attrs.field(factory=dict)

    def note_news(self, now_ms: int, vm_id: VmId, news: PeerNews) -> bool:
        """Take in the news of a daemon; return whether it has begun or ceased to leave."""
        known = self._peers.get(vm_id)
        was_leaving = known is not None and known.leaving
        self._peers[vm_id] = _Peer(news.leaving, now_ms)
        return was_leaving != news.leaving

    def note_leaving(self, now_ms: int, vm_id: VmId, is_leaving: bool) -> bool:
        """Take in what an answer said; return whether it is news."""
        known = self._peers.get(vm_id)
        if known is None:
            known = self._peers[vm_id] = _Peer(False, now_ms)
        is_news = known.leaving != is_leaving
        known.leaving = is_leaving
        return is_news

    def note_link_lost(self, vm_id: VmId) -> None:
        """Forget what a daemon said of leaving: the next incarnation does not leave."""
        self._peers.pop(vm_id, None)

    def is_leaving(self, vm_id: VmId) -> bool:
        """Return whether a daemon takes no new work."""
        known = self._peers.get(vm_id)
        return known is not None and known.leaving

    def is_silent(self, now_ms: int, vm_id: VmId, opened_ms: int) -> bool:
        """Return whether an open link has brought no news for too long.

        Parameters
        ----------
        opened_ms : int
            When the link was opened.
        """
        known = self._peers.get(vm_id)
        heard_ms = max(opened_ms, known.heard_ms if known is not None else 0)
        return now_ms - heard_ms > LINK_SILENCE_MS

    def describe(self, now_ms: int) -> dict[str, dict[str, object]]:
        """Return the state of each daemon that was heard."""
        return {
            vm_id: {"leaving": peer.leaving, "age_ms": now_ms - peer.heard_ms}
            for vm_id, peer in self._peers.items()
        }
