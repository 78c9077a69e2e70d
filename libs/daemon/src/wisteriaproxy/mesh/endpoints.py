"""HTTP endpoints: readiness, metrics and status."""

import asyncio
import json
from collections.abc import Callable

import attrs

from wisteria_wire import HttpRequest, HttpServerConnection

from .const import STATUS_NOT_FOUND, STATUS_OK, STATUS_UNAVAILABLE
from .settings import parse_address

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
JSON_CONTENT_TYPE = "application/json"

PATH_METRICS = "/metrics"
PATH_STATUS = "/status"


@attrs.frozen
class Page:
    """Response of one path."""

    status: int
    content_type: str
    body: bytes


PageHandler = Callable[[], Page]


@attrs.define(eq=False)
class Endpoint:
    """HTTP server with one page for each path; the method of a request is ignored.

    Parameters
    ----------
    pages : dict of str to callable
        Makes the page of each path; ``*`` matches all other paths.
    """

    pages: dict[str, PageHandler]
    _connections: set[HttpServerConnection] = attrs.field(factory=set)
    _server: asyncio.Server | None = None

    async def async_setup(self, address: str) -> None:
        """Start listening."""
        host, port = parse_address(address)
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
        handler = self.pages.get(path) or self.pages.get("*")
        page = handler() if handler is not None else Page(STATUS_NOT_FOUND, "text/plain", b"")
        request.exchange.answer(page.status, ("content-type", page.content_type), page.body)


def make_ready_page(is_ready: Callable[[], bool]) -> PageHandler:
    def handler() -> Page:
        if is_ready():
            return Page(STATUS_OK, "text/plain", b"ready\n")
        return Page(STATUS_UNAVAILABLE, "text/plain", b"not ready\n")

    return handler


def make_status_page(describe: Callable[[], dict[str, object]]) -> PageHandler:
    return lambda: Page(STATUS_OK, JSON_CONTENT_TYPE, json.dumps(describe()).encode())


def make_metrics_page(render: Callable[[], bytes]) -> PageHandler:
    return lambda: Page(STATUS_OK, METRICS_CONTENT_TYPE, render())
