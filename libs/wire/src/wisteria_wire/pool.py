"""The daemon's links: one to each peer that it needs, dialed on demand."""

import asyncio
import logging
import ssl

import anyio
import attrs

from wisteria_core import Clock, Refusal, ResultCode, RunState, Vm, VmId

from .const import (
    DEFAULT_DIAL_TIMEOUT_MS,
    DEFAULT_HELLO_TIMEOUT_MS,
    DEFAULT_REDIAL_MAX_MS,
    DEFAULT_REDIAL_MIN_MS,
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
class _Redial:
    """When a peer that could not be reached may be dialed again."""

    not_before_ms: int
    pause_ms: int


class LinkPool:
    """Dials, accepts and keeps links.

    Parameters
    ----------
    owner : LinkHandler
        Receives what arrives on any link.
    vm_id, incarnation
        What this daemon says of itself.
    material : PeerMaterial or None
        Files of the daemon's own certificate and of the authority. Without them links are
        plain TCP and a peer proves its name by its IP number alone, which must be the name.
    clock : Clock
        Source of milliseconds.
    """

    def __init__(
        self,
        owner: LinkHandler,
        vm_id: VmId,
        incarnation: int,
        material: PeerMaterial | None,
        clock: Clock,
    ) -> None:
        self._owner = owner
        self._hello = Hello(PROTOCOL_VERSION, vm_id, incarnation)
        # without certificates the address that a link comes from is the proof of the name
        self._local_addr = (str(vm_id), 0) if material is None else None
        self._dial_context: ssl.SSLContext | None = None
        self._listen_context: ssl.SSLContext | None = None
        if material is not None:
            self._dial_context = make_dial_context(material)
            self._listen_context = make_listen_context(material)
        self._clock = clock
        self._links: dict[VmId, Link] = {}
        self._dialing: dict[VmId, anyio.Event] = {}
        self._redial: dict[VmId, _Redial] = {}
        self._accepted: set[Link] = set()
        self._server: asyncio.Server | None = None

    async def async_setup(self, host: str, port: int) -> int:
        """Listen for peers and return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_accepted, host, port, ssl=self._listen_context
        )
        return int(self._server.sockets[0].getsockname()[1])

    async def async_unload(self) -> None:
        """Stop listening and close every link once what was written has been sent."""
        if self._server is not None:
            self._server.close()
        for link in [*self._links.values(), *self._accepted]:
            link.finish("the daemon stops")

    def find(self, vm_id: VmId) -> Link | None:
        """Return an open link to a peer, dialed or accepted."""
        link = self._links.get(vm_id)
        return link if link is not None and link.is_open else None

    def list_links(self) -> list[Link]:
        """Return the open links, one for each peer."""
        return [link for link in self._links.values() if link.is_open]

    def count_bytes(self) -> tuple[int, int]:
        """Return bytes sent and received over the links that are open now."""
        links = {*self._links.values(), *self._accepted}
        return sum(one.sent_bytes for one in links), sum(one.received_bytes for one in links)

    def add(self, link: Link) -> None:
        """Keep an authenticated link, unless an open one to the same process stands."""
        assert link.peer is not None
        known = self.find(link.peer.vm_id)
        if known is None or known.peer is None or known.peer.incarnation < link.peer.incarnation:
            self._links[link.peer.vm_id] = link

    def remove(self, link: Link) -> None:
        """Forget a link that is closed."""
        self._accepted.discard(link)
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
        if dialing is not None:
            await dialing.wait()
            return self.find(vm.vm_id) or _refuse("the VM can't be reached")
        redial = self._redial.get(vm.vm_id)
        if redial is not None and self._clock.now_ms() < redial.not_before_ms:
            return _refuse("the VM could not be reached a moment ago")
        self._dialing[vm.vm_id] = anyio.Event()
        try:
            return await self._dial(vm)
        finally:
            self._dialing.pop(vm.vm_id).set()

    def _make_accepted(self) -> Link:
        link = Link(self._owner, self._hello, None)
        self._accepted.add(link)
        asyncio.get_running_loop().call_later(
            DEFAULT_HELLO_TIMEOUT_MS / _MS_PER_S, self._close_silent, link
        )
        return link

    def _close_silent(self, link: Link) -> None:
        if link.peer is None:
            link.close("no hello in time")

    async def _dial(self, vm: Vm) -> Link | Refusal:
        loop = asyncio.get_running_loop()
        link = Link(self._owner, self._hello, vm.vm_id)
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
                await link.opened.wait()
            if not link.is_open:
                raise ConnectionAbortedError("the peer closed the link before its hello")
        except (OSError, TimeoutError, ssl.SSLError) as error:
            link.close("dial failed")
            self._postpone(vm.vm_id)
            _LOGGER.info("link_failed", extra={"peer": vm.vm_id, "cause": type(error).__name__})
            return _refuse("the VM can't be reached")
        self._redial.pop(vm.vm_id, None)
        return link

    def _postpone(self, vm_id: VmId) -> None:
        last = self._redial.get(vm_id)
        pause_ms = min(last.pause_ms * 2, DEFAULT_REDIAL_MAX_MS) if last else DEFAULT_REDIAL_MIN_MS
        self._redial[vm_id] = _Redial(self._clock.now_ms() + pause_ms, pause_ms)
