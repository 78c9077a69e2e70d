"""Accepts callers' connections and starts a task for each request."""

import asyncio
from collections.abc import Callable

import attrs

from wisteria_wire import (
    CALLER_BACKLOG,
    ByteBudget,
    CallerLimits,
    HttpRequest,
    HttpServerConnection,
    make_caller_context,
)

from .entry import EntryHandler
from .settings import TlsSettings
from .task_keeper import Spawner


@attrs.define(eq=False)
class CallerListener:
    """Accepts callers, and the backend server that makes child calls."""

    entry: EntryHandler
    spawn: Spawner
    tls: TlsSettings | None
    read_limits: Callable[[], CallerLimits] = CallerLimits
    budget: ByteBudget = attrs.field(factory=ByteBudget)
    _connections: set[HttpServerConnection] = attrs.field(factory=set)
    _server: asyncio.Server | None = None

    @property
    def open_connections(self) -> int:
        """Connections that are open, or are closed once their write buffer has been flushed."""
        return len(self._connections)

    async def async_setup(self, host: str, port: int) -> int:
        """Start listening; return the port number."""
        context = None
        tls = self.tls
        if tls is not None and tls.caller_certificate is not None and tls.caller_key is not None:
            context = make_caller_context(tls.caller_certificate, tls.caller_key)
        self._server = await asyncio.get_running_loop().create_server(
            self._make_connection, host, port, ssl=context, backlog=CALLER_BACKLOG
        )
        return int(self._server.sockets[0].getsockname()[1])

    async def async_unload(self) -> None:
        """Stop listening and close each connection once it has no request in progress."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close_when_idle()

    def _make_connection(self) -> HttpServerConnection:
        return HttpServerConnection(
            self._start_request, self._connections, self.read_limits, self.budget
        )

    def _start_request(self, request: HttpRequest) -> None:
        self.spawn(self.entry.handle, request)
