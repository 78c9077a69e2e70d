"""Connections between the daemons of a fleet that can go silent."""

import asyncio
import contextlib

import attrs

from .support import PEERS, Fleet, Machine


@attrs.define(eq=False)
class Links:
    """Forwards the connections between daemons.

    A daemon listens for peers at the address that its name maps to in `make_inner`, and this
    stands where the others dial. The forwarded connection keeps the dialer's address, by which
    daemons know one another.
    """

    _servers: list[asyncio.Server] = attrs.field(factory=list)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _open: set[asyncio.Event] = attrs.field(factory=set)

    async def add(self, host: str) -> None:
        """Begin to forward connections to a daemon."""

        async def forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            try:
                dialer = writer.get_extra_info("peername")[0]
                await self._connect(dialer, host, reader, writer)
            finally:
                self._tasks.discard(task)

        self._servers.append(await asyncio.start_server(forward, host, PEERS))

    async def async_unload(self) -> None:
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self) -> None:
        """Pass on nothing more on the open connections; what is sent is still acknowledged."""
        for silent in self._open:
            silent.set()

    async def _connect(
        self, dialer: str, host: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                make_inner(host), PEERS, local_addr=(dialer, 0)
            )
        except OSError:
            writer.transport.abort()
            return
        silent = asyncio.Event()
        self._open.add(silent)
        ways = [(reader, far_writer), (far_reader, writer)]
        try:
            await asyncio.gather(*(_forward(*way, silent) for way in ways))
        finally:
            self._open.discard(silent)
            for end in (writer, far_writer):
                end.transport.abort()


async def _forward(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, silent: asyncio.Event
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65_536):
            if not silent.is_set():
                writer.write(data)
    if silent.is_set():
        # an end of the connection is lost as well
        await asyncio.Event().wait()
    writer.close()


def make_inner(host: str) -> str:
    """Return the address at which the daemon of a VM listens behind the forwarder."""
    return host.replace("127.78.", "127.79.")


@attrs.define(eq=False)
class LinkedFleet(Fleet):
    """A fleet whose daemons reach one another through `links`."""

    links: Links = attrs.field(factory=Links)

    async def async_unload(self) -> None:
        await super().async_unload()
        await self.links.async_unload()

    async def add(self, places: list[tuple[str, str]], *, is_ready: bool = True) -> list[Machine]:
        first = len(self.machines)
        for number in range(len(places)):
            await self.links.add(self.host(10 + first + number))
        return await super().add(places, is_ready=is_ready)

    def _make_settings(self, host: str, service: str, zone: str) -> str:
        settings: str = super()._make_settings(host, service, zone)
        return settings.replace(f'peers = "{host}:', f'peers = "{make_inner(host)}:')
