"""TCP relay between daemons and what they connect to: the store, or another daemon."""

import asyncio
import contextlib

import attrs


@attrs.define(eq=False)
class Relay:
    """Passes bytes on, resets connections, or lets them fall silent.

    Parameters
    ----------
    mode : str
        ``pass``, ``reset`` or ``silent``; of new connections.
    """

    host: str
    port: int
    target: tuple[str, int]
    mode: str = "pass"
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _muted: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def async_setup(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    def set_mode(self, mode: str, *, includes_open: bool = True) -> None:
        """Change the mode of new connections, and of those that are open."""
        self.mode = mode
        if mode == "reset":
            self.reset()
        elif mode == "silent" and includes_open:
            self.mute()

    def mute(self) -> int:
        """Let all open connections fall silent for good; return their number."""
        self._muted |= self._writers
        return len(self._writers)

    def reset(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def async_unload(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode == "reset":
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        if self.mode == "silent":
            self._muted.add(writer)
        far: asyncio.StreamWriter | None = None
        try:
            # daemons know each other by their addresses
            near = (writer.get_extra_info("peername")[0], 0)
            far_reader, far = await asyncio.open_connection(*self.target, local_addr=near)
            ways = (self._pump(reader, far, writer), self._pump(far_reader, writer, writer))
            await asyncio.gather(*ways)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            self._muted.discard(writer)
            writer.transport.abort()
            if far is not None:
                far.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, target: asyncio.StreamWriter, near: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            if near not in self._muted:
                target.write(data)
                with contextlib.suppress(OSError):
                    await target.drain()
        if near not in self._muted:
            raise ConnectionResetError("closed by one side")
