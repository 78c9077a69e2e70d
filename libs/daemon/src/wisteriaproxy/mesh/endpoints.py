"""Small HTTP ports of the daemon: readiness for the platform, metrics and status."""

import asyncio
import json
from collections.abc import Callable

import attrs

from wisteria_wire import HttpRequest, HttpServerConnection

from .const import STATUS_NOT_FOUND, STATUS_OK, STATUS_UNAVAILABLE
from .settings import read_address

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
JSON_CONTENT_TYPE = "application/json"

PATH_METRICS = "/metrics"
PATH_STATUS = "/status"


@attrs.frozen
class Page:
    """What one path answers."""

    status: int
    content_type: str
    body: bytes


Read = Callable[[], Page]


@attrs.define(eq=False)
class Endpoint:
    """A port that answers GET on a few paths.

    Parameters
    ----------
    pages : dict of str to callable
        What each path answers; the path ``*`` stands for all others.
    """

    pages: dict[str, Read]
    _connections: set[HttpServerConnection] = attrs.field(factory=set)
    _server: asyncio.Server | None = None

    async def async_setup(self, address: str) -> None:
        """Listen."""
        host, port = read_address(address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: HttpServerConnection(self._answer, self._connections), host, port
        )

    async def async_unload(self) -> None:
        """Stop listening and close the connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close_when_idle()

    def _answer(self, request: HttpRequest) -> None:
        path = request.target.partition("?")[0]
        read = self.pages.get(path) or self.pages.get("*")
        page = read() if read is not None else Page(STATUS_NOT_FOUND, "text/plain", b"")
        request.exchange.answer(page.status, ("content-type", page.content_type), page.body)


def make_ready_page(is_ready: Callable[[], bool]) -> Read:
    """Return the page that tells whether the daemon takes calls."""

    def read() -> Page:
        if is_ready():
            return Page(STATUS_OK, "text/plain", b"ready\n")
        return Page(STATUS_UNAVAILABLE, "text/plain", b"not ready\n")

    return read


def make_status_page(describe: Callable[[], dict[str, object]]) -> Read:
    """Return the page that shows the daemon's state as JSON."""
    return lambda: Page(STATUS_OK, JSON_CONTENT_TYPE, json.dumps(describe()).encode())


def make_metrics_page(render: Callable[[], bytes]) -> Read:
    """Return the page that is scraped."""
    return lambda: Page(STATUS_OK, METRICS_CONTENT_TYPE, render())
