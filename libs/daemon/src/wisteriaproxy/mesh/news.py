"""News between daemons: version in force, leaving, what accounts use; and documents on request."""

import logging
import time
from collections.abc import Callable

import anyio
import attrs
from anyio.abc import TaskGroup

from wisteria_core import Clock, VmId, VmList
from wisteria_limits import SharedRateLimiter
from wisteria_wire import Link, LinkPool

from ..control.plane import ControlPlane
from .const import FORGET_INTERVAL_MS, NEWS_INTERVAL_MS
from .messages import DocumentAsk, PeerNews, PublishedDocument
from .peers import PeerBoard
from .sources import Published, Source

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000


def time_to_report(wall_s: float) -> float:
    """Return the time until the next report, in seconds.

    All daemons report at the same moments of the day, as far as their clocks agree: reports that
    arrive together wake their reader once.
    """
    interval_s = NEWS_INTERVAL_MS / _MS_PER_S
    return interval_s - wall_s % interval_s


@attrs.define(eq=False)
class NewsExchange:
    """Tells the peers what this daemon knows, and takes in what they tell.

    Parameters
    ----------
    is_leaving : callable
        Whether this daemon takes no new work.
    read_published : callable
        Returns the configuration in force, or None.
    read_list : callable
        Returns the list of VMs, or None.
    put_document : callable
        Takes in a configuration and where it comes from.
    on_change : callable
        Called when a peer has begun or ceased to leave, or its link was opened or lost.
    """

    vm_id: VmId
    clock: Clock
    tasks: TaskGroup
    links: LinkPool
    control: ControlPlane
    shares: SharedRateLimiter
    source: Source
    is_leaving: Callable[[], bool]
    read_published: Callable[[], Published | None]
    read_list: Callable[[], VmList | None]
    put_document: Callable[[Published, str], None]
    on_change: Callable[[], None]
    board: PeerBoard = attrs.field(factory=PeerBoard)
    _opened_ms: dict[Link, int] = attrs.field(factory=dict)
    _swept_ms: int = 0

    def __attrs_post_init__(self) -> None:
        self.control.register(self._handle_news, PeerNews)
        self.control.register(self._handle_ask, DocumentAsk)
        self.control.register(self._handle_document, PublishedDocument)

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first one."""
        published = self.read_published()
        return published.document.version if published is not None else 0

    def note_link_open(self, link: Link) -> None:
        """Tell a new peer the news."""
        assert link.peer is not None
        self._opened_ms[link] = self.clock.now_ms()
        self.on_change()
        self.control.send(link.peer.vm_id, self._make_news())

    def note_link_closed(self, link: Link, reason: str) -> None:
        """Forget a link, and what its peer said when it was the last one."""
        self._opened_ms.pop(link, None)
        if link.peer is None or self.links.find(link.peer.vm_id) is not None:
            return
        _LOGGER.info("peer_lost", extra={"peer": link.peer.vm_id, "reason": reason})
        self.board.note_link_lost(link.peer.vm_id)
        self.on_change()

    def note_call(self, vm_id: VmId, *, was_reached: bool) -> None:
        """Take in whether a call reached a daemon; the link itself says the rest."""

    def note_leaving(self, vm_id: VmId, is_leaving: bool) -> None:
        """Take in what an answer said of whether a VM takes new work."""
        if self.board.note_leaving(self.clock.now_ms(), vm_id, is_leaving):
            self._tell_leaving(vm_id, is_leaving)

    def spread(self) -> None:
        """Tell every peer the news."""
        self.control.spread(self._make_news())

    def dial_missing(self) -> None:
        """Open links to the VMs of the list that have none."""
        for vm in self.read_list() or ():
            if vm.vm_id != self.vm_id and self.links.find(vm.vm_id) is None:
                self.tasks.start_soon(self.links.obtain, vm)

    async def run(self) -> None:
        """Tell the news, close silent links, dial missing ones; until cancelled."""
        while True:
            await anyio.sleep(time_to_report(time.time()))
            now_ms = self.clock.now_ms()
            for link, opened_ms in list(self._opened_ms.items()):
                if link.peer and self.board.is_silent(now_ms, link.peer.vm_id, opened_ms):
                    link.close("silent")
            self.spread()
            if now_ms - self._swept_ms >= FORGET_INTERVAL_MS:
                self._swept_ms = now_ms
                self.shares.drop_stale_reports(now_ms)
                self.dial_missing()

    def _make_news(self) -> PeerNews:
        return PeerNews(self.version, self.is_leaving(), self.shares.report(self.clock.now_ms()))

    def _tell_leaving(self, vm_id: VmId, is_leaving: bool) -> None:
        _LOGGER.info("peer_leaving", extra={"peer": vm_id, "leaving": is_leaving})
        self.on_change()

    def _handle_news(self, sender: VmId, incarnation: int, news: PeerNews) -> None:
        now_ms = self.clock.now_ms()
        if self.board.note_news(now_ms, sender, news):
            self._tell_leaving(sender, news.leaving)
        self.shares.note_report(now_ms, sender, incarnation, news.uses)
        if news.config_version > self.version:
            self.control.send(sender, DocumentAsk(self.version))

    def _handle_ask(self, sender: VmId, _incarnation: int, ask: DocumentAsk) -> None:
        published = self.read_published()
        if published is not None and published.document.version > ask.above:
            found = PublishedDocument(published.document.version, published.content)
            self.control.send(sender, found)

    def _handle_document(self, sender: VmId, _incarnation: int, found: PublishedDocument) -> None:
        if found.version <= self.version:
            return
        published = self.source.decode_document(found.content)
        if published is None:
            _LOGGER.warning("document_unreadable", extra={"peer": sender, "version": found.version})
            return
        self.put_document(published, sender)
