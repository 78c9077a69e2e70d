"""Control messages between mesh daemons: connects the control node to links and the platform."""

import logging
import time
from collections.abc import Callable

import anyio
import attrs

from wisteria_core import Clock, FailureDomain, Vm, VmId, VmList
from wisteria_limits import SharedRateLimiter
from wisteria_wire import Link, LinkPool

from ..control.plane import ControlPlane
from .const import BROADCAST_OFFSET_MS, REPORT_INTERVAL_MS, SUMMARY_OFFSET_MS
from .directory import Applied, EntryChanges
from .entries import StorePosition
from .leaving import LeavingServers
from .messages import (
    DocumentAsk,
    DomainNews,
    Evacuations,
    MemberReport,
    PeerNews,
    PublishedDocument,
    RelayNews,
    Subscription,
)
from .node import ControlNode
from .peers import PeerStates
from .sources import PublishedConfig, Source

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000


def time_to_report(wall_s: float) -> float:
    """Return the time until the next report, in seconds.

    Report times are aligned to the wall clock, so that daemons with synchronized clocks report at
    the same time: a receiver is woken once for reports that arrive together.
    """
    interval_s = REPORT_INTERVAL_MS / _MS_PER_S
    return interval_s - wall_s % interval_s


@attrs.define(eq=False)
class ReportExchange:
    """Drives the control node and carries out what it decides.

    Parameters
    ----------
    is_leaving : callable
        Whether this daemon takes no new calls.
    read_published : callable
        Returns the configuration in force, or None.
    read_vm_list : callable
        Returns the list of VMs, or None.
    update_document : callable
        Called with a received configuration and its origin.
    update_vm_list : callable
        Called with a new list of VMs.
    on_change : callable
        Called when a peer or a backend server starts or stops leaving.
    on_evacuations : callable
        Called when an evacuation of a failure domain begins or ends.
    """

    vm_id: VmId
    failure_domain: FailureDomain
    clock: Clock
    links: LinkPool
    control: ControlPlane
    rate_limiter: SharedRateLimiter
    source: Source
    is_leaving: Callable[[], bool]
    read_published: Callable[[], PublishedConfig | None]
    read_vm_list: Callable[[], VmList | None]
    update_document: Callable[[PublishedConfig, str], None]
    update_vm_list: Callable[[VmList], None]
    on_change: Callable[[], None]
    on_evacuations: Callable[[], None]
    leaving_servers: LeavingServers = attrs.field(factory=LeavingServers)
    node: ControlNode = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.node = ControlNode(
            self.vm_id,
            self.failure_domain,
            self.rate_limiter,
            send=self.control.send,
            send_document=self._send_document,
            set_reading=self._set_reading,
            on_list=self.update_list,
            on_states=self._handle_states,
            on_evacuations=self.on_evacuations,
        )
        self.control.register(
            self._handle,
            PeerNews,
            Subscription,
            EntryChanges,
            MemberReport,
            DomainNews,
            RelayNews,
            Evacuations,
        )
        self.control.register(self._handle_document_request, DocumentAsk)
        self.control.register(self._handle_document, PublishedDocument)
        self.control.on_unreachable = lambda vm_id: self.node.note_unreachable(
            self.clock.now_ms(), vm_id
        )

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        published = self.read_published()
        return published.document.version if published is not None else 0

    @property
    def peer_states(self) -> PeerStates:
        return self.node.peer_states

    def note_link_open(self, link: Link) -> None:
        """Tell a new peer if this daemon takes no calls."""
        assert link.peer is not None
        if self.is_leaving():
            self.control.send(link.peer.vm_id, self.node.make_peer_news())

    def note_link_closed(self, link: Link, reason: str) -> None:
        """Remove a link, and the state of its peer if no other link to it is open."""
        if link.peer is None or self.links.find(link.peer.vm_id) is not None:
            return
        _LOGGER.info("peer_lost", extra={"peer": link.peer.vm_id, "reason": reason})
        self.node.note_link_lost(self.clock.now_ms(), link.peer.vm_id)

    def note_call(self, vm_id: VmId, *, was_reached: bool) -> None:
        """Ignore whether a call reached a daemon: its relays tell whether it is silent."""

    def note_leaving(self, vm_id: VmId, is_leaving: bool) -> None:
        self.node.note_leaving(self.clock.now_ms(), vm_id, is_leaving)

    def note_server_leaving(self, vm: Vm) -> None:
        self._note_process_leaving(vm.vm_id, vm.instance, vm.started_ms)

    def note_own_server_leaving(self, instance: str) -> None:
        """Record that a process of this VM's backend server has announced that it leaves."""
        vm_list = self.read_vm_list()
        own = vm_list.find(self.vm_id) if vm_list is not None else None
        is_listed = own is not None and own.instance == instance
        started_ms = own.started_ms if own is not None and is_listed else 0
        self._note_process_leaving(self.vm_id, instance, started_ms)

    def _note_process_leaving(self, vm_id: VmId, instance: str, started_ms: int) -> None:
        if self._is_replaced(vm_id, instance, started_ms):
            return
        if self.leaving_servers.note_leaving(vm_id, instance, started_ms):
            _LOGGER.info("backend_server_leaving", extra={"vm": vm_id, "instance": instance})
            self.on_change()

    def _is_replaced(self, vm_id: VmId, instance: str, started_ms: int) -> bool:
        """Return whether the list names a process on the VM that came after the given one."""
        vm_list = self.read_vm_list()
        listed = vm_list.find(vm_id) if vm_list is not None else None
        if listed is None or (listed.instance, listed.started_ms) == (instance, started_ms):
            return False
        return listed.started_ms >= started_ms

    def update_list(self) -> None:
        """Make the list of VMs anew, from the entries and the services that are known now."""
        published = self.read_published()
        services = published.services if published is not None else None
        self.update_vm_list(self.node.directory.make_list(services))

    def apply_list(self, vm_list: VmList) -> None:
        """Rank relays, and record which processes leave and which have been replaced."""
        self.leaving_servers.apply_list(vm_list)
        self.node.apply_list(vm_list)

    def is_usable(self, vm_id: VmId) -> bool:
        """Return whether neither the daemon nor the backend server of a VM is leaving."""
        if self.leaving_servers.is_leaving(vm_id):
            return False
        return not self.peer_states.is_leaving(vm_id)

    def is_responsive(self, vm_id: VmId) -> bool:
        """Return whether no relay reports a daemon as silent."""
        return not self.peer_states.is_silent(vm_id)

    def apply_store_changes(self, changes: EntryChanges) -> bool:
        """Apply what was read from the store; return whether changes before it are missing."""
        return self.node.apply_changes(self.clock.now_ms(), changes) is Applied.GAP

    def apply_evacuations(self, position: StorePosition, domains: frozenset[FailureDomain]) -> None:
        """Apply evacuations that were read from the store."""
        self.node.apply_evacuations(self.clock.now_ms(), position, domains)

    @property
    def evacuated(self) -> frozenset[FailureDomain]:
        """Failure domains whose backend servers must get no calls."""
        return self.node.evacuations.in_force

    def note_store(self, *, is_reached: bool) -> None:
        self.node.note_store(self.clock.now_ms(), is_reached=is_reached)

    def note_document(self) -> None:
        """Pass on the configuration that has come into force."""
        self.node.note_document(self.version)

    def announce_leaving(self) -> None:
        """Tell every linked peer and the primary relay whether this daemon is leaving."""
        self._update_node()
        self.control.broadcast(self.node.make_peer_news())
        self.node.report(self.clock.now_ms())

    def handle_gap(self) -> None:
        """Discard what is outdated after a pause of this process."""
        self.node.reset(self.clock.now_ms())

    def describe(self, now_ms: int) -> dict[str, object]:
        """Return relays, members and the states that they report."""
        return {
            "relays": self.node.relays.subscribed(),
            "is_relay": self.node.is_relay,
            "reads": self.node.is_reading,
            "subscribers": len(self.node.subscribers),
            "reports": self.peer_states.describe(now_ms),
        }

    async def run(self) -> None:
        """Report to relays, and as a relay to others, until cancelled."""
        while True:
            await anyio.sleep(time_to_report(time.time()))
            self._update_node()
            self.node.report(self.clock.now_ms())
            if self.node.is_relay:
                await anyio.sleep(SUMMARY_OFFSET_MS / _MS_PER_S)
                self.node.exchange_domains(self.clock.now_ms())
                await anyio.sleep(BROADCAST_OFFSET_MS / _MS_PER_S)
                self.node.broadcast(self.clock.now_ms())

    def _handle_states(self) -> None:
        _LOGGER.info("peers_changed", extra=self.peer_states.summarize())
        self.on_change()

    def _set_reading(self, is_reading: bool) -> None:
        _LOGGER.info("platform_reading", extra={"on": is_reading, "relay": self.node.is_relay})
        self.source.set_reading(is_reading)

    def _update_node(self) -> None:
        self.node.is_leaving = self.is_leaving()

    def _handle(self, sender: VmId, _incarnation: int, message: object) -> None:
        self.node.handle(self.clock.now_ms(), sender, message)

    def _send_document(self, vm_id: VmId) -> None:
        published = self.read_published()
        if published is not None:
            document = PublishedDocument(published.document.version, published.content)
            self.control.send(vm_id, document)

    def _handle_document_request(
        self, sender: VmId, _incarnation: int, request: DocumentAsk
    ) -> None:
        if self.version > request.above:
            self._send_document(sender)

    def _handle_document(self, sender: VmId, _incarnation: int, reply: PublishedDocument) -> None:
        if reply.version <= self.version:
            return
        published = self.source.decode_document(reply.content)
        if published is None:
            _LOGGER.warning("document_unreadable", extra={"peer": sender, "version": reply.version})
            return
        self.update_document(published, sender)
