"""Connections between daemons that carry nothing any more, without a reset, are replaced."""

import asyncio
import time

import attrs
import pytest

from .support import PEERS, STABLE_WINDOW_S, Fleet, Machine

pytestmark = pytest.mark.anyio


@attrs.define(eq=False)
class PeerProxy:
    """Passes on what peers send to a daemon, until its present connections are silenced."""

    host: str
    target: str
    silenced: set[asyncio.Event] = attrs.field(factory=set)
    _open: set[asyncio.Event] = attrs.field(factory=set)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _server: asyncio.Server | None = None

    async def async_setup(self) -> None:
        self._server = await asyncio.start_server(self._accept, self.host, PEERS)

    def async_unload(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    def silence(self) -> int:
        """Pass on nothing more on the present connections; return their number."""
        for event in self._open:
            event.set()
        return len(self._open)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # daemons tell each other by their IP addresses
        source = (writer.get_extra_info("peername")[0], 0)
        try:
            other = await asyncio.open_connection(self.target, PEERS, local_addr=source)
        except OSError:
            writer.close()
            return
        is_silent = asyncio.Event()
        self._open.add(is_silent)
        self._writers |= {writer, other[1]}
        for start, end in ((reader, other[1]), (other[0], writer)):
            task = asyncio.create_task(self._pass_on(start, end, is_silent))
            self._tasks.add(task)

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_silent: asyncio.Event
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if not is_silent.is_set():
                    writer.write(data)
        except OSError:
            pass
        if not is_silent.is_set():
            self._open.discard(is_silent)
            writer.close()


async def add_behind_proxy(fleet: Fleet, service: str, zone: str) -> tuple[Machine, PeerProxy]:
    """Start a machine to whose daemon its peers connect through a proxy."""
    machine = fleet._make_machine(service, zone)
    target = fleet.host(200 + len(fleet.machines))
    text = machine.settings.read_text()
    changed = text.replace(f'peers = "{machine.host}:{PEERS}"', f'peers = "{target}:{PEERS}"')
    assert changed != text
    machine.settings.write_text(changed)
    proxy = PeerProxy(machine.host, target)
    await proxy.async_setup()
    await fleet.start_upstream(machine)
    await machine.start()
    return machine, proxy


async def test_calls_are_answered_again_after_all_links_have_gone_silent(fleet: Fleet) -> None:
    """Guards against links without a reset or an answer on which all calls wait in vain."""
    fleet.publish()
    places = [("yield", "a"), ("order", "a"), ("yield", "b"), ("order", "b")]
    pairs = [await add_behind_proxy(fleet, *place) for place in places]
    machines = [machine for machine, _ in pairs]
    for machine in machines:
        await fleet.wait_ready(machine)
    for machine in machines:
        for path in ("/yields/1", "/orders/1"):
            assert (await fleet.call(machine, path, "POST", body=b"{}")).status == 200
    assert sum(proxy.silence() for _, proxy in pairs) > 0
    silenced_s = time.monotonic()
    found: list[tuple[float, str, int]] = []
    while time.monotonic() - silenced_s < STABLE_WINDOW_S + 3:
        sent_s = time.monotonic() - silenced_s
        calls = [fleet.call(one, "/orders/1", "POST", 1_000, b"{}") for one in machines]
        calls += [fleet.call(one, "/yields/1", "GET", 1_000) for one in machines]
        for reply in await asyncio.gather(*calls):
            found.append((round(sent_s, 1), reply.status))
        await asyncio.sleep(0.2)
    for _, proxy in pairs:
        proxy.async_unload()
    assert any(sent_s > STABLE_WINDOW_S for sent_s, _ in found)
    assert [one for one in found if one[0] > STABLE_WINDOW_S and one[1] != 200] == []
    assert [machine.ends for machine in machines] == [[]] * len(machines)
