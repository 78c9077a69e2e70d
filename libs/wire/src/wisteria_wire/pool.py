"""Pool of the daemon's links: at most one per peer, dialed on demand."""

import asyncio
import logging
import math
import ssl

import anyio
import attrs

from wisteria_core import Clock, Refusal, ResultCode, RunState, Vm, VmId

from .budget import ByteBudget
from .const import (
    DEFAULT_DIAL_TIMEOUT_MS,
    DEFAULT_HELLO_TIMEOUT_MS,
    DEFAULT_REDIAL_MAX_MS,
    DEFAULT_REDIAL_MIN_MS,
    IDLE_PROBES_PER_CHECK,
    LINK_CHECK_INTERVAL_MS,
    PROTOCOL_VERSION,
)
from .link import Link, LinkHandler
from .models import Hello
from .tls import PeerMaterial, make_dial_context, make_listen_context

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000


def _refuse(reason: str) -> Refusal:
    return Refusal(ResultCode.LINK_LOST, reason, RunState.NOT_RUN)


@attrs.define
class _RedialBackoff:
    """Back-off of a peer whose last dial failed."""

    not_before_ms: int
    backoff_ms: int


class LinkPool:
    """Dials, accepts and tracks links.

    Parameters
    ----------
    handler : LinkHandler
        Receives the calls, control messages and state changes of every link.
    vm_id, incarnation
        Identity that this daemon announces.
    material : PeerMaterial or None
        Files of the daemon's certificate and of the certificate authority. When None, links are
        plain TCP and a peer is identified by its IP address alone, which must be its VM id.
    clock : Clock
        Source of milliseconds.
    budget : ByteBudget, optional
        Memory for long calls of all peers.
    """

    def __init__(
        self,
        handler: LinkHandler,
        vm_id: VmId,
        incarnation: int,
        material: PeerMaterial | None,
        clock: Clock,
        budget: ByteBudget | None = None,
    ) -> None:
        self.budget = budget or ByteBudget()
        self._handler = handler
        self._hello = Hello(PROTOCOL_VERSION, vm_id, incarnation, answers_probes=True)
        # without certificates the peer identifies this VM by the source address
        self._local_addr = (str(vm_id), 0) if material is None else None
        self._dial_context: ssl.SSLContext | None = None
        self._listen_context: ssl.SSLContext | None = None
        if material is not None:
            self._dial_context = make_dial_context(material)
            self._listen_context = make_listen_context(material)
        self._clock = clock
        self._links: dict[VmId, Link] = {}
        self._dialing: dict[VmId, asyncio.Task[Link | Refusal]] = {}
        self._redial_backoffs: dict[VmId, _RedialBackoff] = {}
        # includes links that another one to the same peer has superseded
        self._all: set[Link] = set()
        self._server: asyncio.Server | None = None
        self._checks: asyncio.TimerHandle | None = None

    async def async_setup(self, host: str, port: int) -> int:
        """Start listening for peers and return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept_link, host, port, ssl=self._listen_context
        )
        self._schedule_checks()
        return int(self._server.sockets[0].getsockname()[1])

    async def async_unload(self) -> None:
        """Stop listening and close every link after its write buffer has been flushed."""
        if self._server is not None:
            self._server.close()
        if self._checks is not None:
            self._checks.cancel()
        for dialing in self._dialing.values():
            dialing.cancel()
        for link in list(self._all):
            link.finish("the daemon stops")

    def count_unflushed(self) -> int:
        """Return the links whose peers have not acknowledged all that was written."""
        return sum(1 for link in self._all if not link.is_flushed)

    def count_unclosed(self) -> int:
        """Return the links that neither side has closed completely."""
        return sum(1 for link in self._all if not link.closed.is_set())

    def find(self, vm_id: VmId) -> Link | None:
        """Return the open link to a peer, dialed or accepted, or None."""
        link = self._links.get(vm_id)
        return link if link is not None and link.is_open else None

    def list_links(self) -> list[Link]:
        """Return the open links, one for each peer."""
        return [link for link in self._links.values() if link.is_open]

    def count_bytes(self) -> tuple[int, int]:
        """Return the bytes sent and received over the current links."""
        links = self._all
        return sum(one.sent_bytes for one in links), sum(one.received_bytes for one in links)

    def add(self, link: Link) -> None:
        """Add an authenticated link, unless one to the same or a newer process is open."""
        assert link.peer is not None
        known = self.find(link.peer.vm_id)
        if known is None or known.peer is None or known.peer.incarnation < link.peer.incarnation:
            self._links[link.peer.vm_id] = link

    def remove(self, link: Link) -> None:
        self._all.discard(link)
        if link.peer is None:
            return
        if self._links.get(link.peer.vm_id) is link:
            del self._links[link.peer.vm_id]

    async def obtain(self, vm: Vm) -> Link | Refusal:
        """Return an open link to `vm`, dialing it when there is none."""
        link = self.find(vm.vm_id)
        if link is not None:
            return link
        dialing = self._dialing.get(vm.vm_id)
        if dialing is None:
            backoff = self._redial_backoffs.get(vm.vm_id)
            if backoff is not None and self._clock.now_ms() < backoff.not_before_ms:
                return _refuse("the VM could not be reached a moment ago")
            dialing = asyncio.create_task(self._dial(vm))
            dialing.add_done_callback(lambda _: self._dialing.pop(vm.vm_id))
            self._dialing[vm.vm_id] = dialing
        # others may wait for the same link when a caller is cancelled
        dialed = await asyncio.shield(dialing)
        return dialed if isinstance(dialed, Link) else self.find(vm.vm_id) or dialed

    def _schedule_checks(self) -> None:
        delay_s = LINK_CHECK_INTERVAL_MS / _MS_PER_S
        self._checks = asyncio.get_running_loop().call_later(delay_s, self._check_links)

    def _check_links(self) -> None:
        idle_checks = max(1, math.ceil(len(self._all) / IDLE_PROBES_PER_CHECK))
        for link in list(self._all):
            link.check_liveness(idle_checks)
        self._schedule_checks()

    def _accept_link(self) -> Link:
        link = Link(self._handler, self._hello, None, self.budget)
        self._all.add(link)
        asyncio.get_running_loop().call_later(
            DEFAULT_HELLO_TIMEOUT_MS / _MS_PER_S, self._close_without_hello, link
        )
        return link

    def _close_without_hello(self, link: Link) -> None:
        if link.peer is None:
            link.close("no hello in time")

    async def _dial(self, vm: Vm) -> Link | Refusal:
        loop = asyncio.get_running_loop()
        link = Link(self._handler, self._hello, vm.vm_id, self.budget)
        try:
            with anyio.fail_after(DEFAULT_DIAL_TIMEOUT_MS / _MS_PER_S):
                await loop.create_connection(
                    lambda: link,
                    vm.host,
                    vm.peer_port,
                    ssl=self._dial_context,
                    local_addr=self._local_addr,
                    server_hostname=vm.host if self._dial_context is not None else None,
                )
                self._all.add(link)
                await link.opened.wait()
            if not link.is_open:
                raise ConnectionAbortedError("the peer closed the link before its hello")
        # ValueError: a host name that can't be resolved, such as one with an empty label
        except (OSError, TimeoutError, ssl.SSLError, ValueError) as error:
            self._discard(link, "dial failed")
            self._back_off(vm.vm_id)
            _LOGGER.info("link_failed", extra={"peer": vm.vm_id, "cause": type(error).__name__})
            return _refuse("the VM can't be reached")
        except BaseException:
            self._discard(link, "dial cancelled")
            raise
        self._redial_backoffs.pop(vm.vm_id, None)
        return link

    def _discard(self, link: Link, reason: str) -> None:
        link.discard(reason)
        # it may have been closed before it was added
        self._all.discard(link)

    def _back_off(self, vm_id: VmId) -> None:
        last = self._redial_backoffs.get(vm_id)
        backoff_ms = (
            min(last.backoff_ms * 2, DEFAULT_REDIAL_MAX_MS) if last else DEFAULT_REDIAL_MIN_MS
        )
        self._redial_backoffs[vm_id] = _RedialBackoff(self._clock.now_ms() + backoff_ms, backoff_ms)
