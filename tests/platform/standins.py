"""Stand-ins for the platform's store and for backend servers that speak its dialect."""

import asyncio
import base64
import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs
import httptools

APP, STORE = 8005, 8006
HEALTH_PATH = "/healthz"


@attrs.define
class Request:
    """Request received by a stand-in; header names are in lower case."""

    method: str = ""
    target: str = ""
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""


@attrs.define
class Reply:
    """Answer of a stand-in.

    Parameters
    ----------
    raw : bytes or None
        Bytes to send unchanged instead of a well-formed answer.
    closes : bool
        Whether the connection is closed afterwards.
    resets : bool
        Whether the connection is reset without an answer.
    """

    status: int = 200
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    raw: bytes | None = None
    closes: bool = False
    resets: bool = False

    def encode(self) -> bytes:
        if self.raw is not None:
            return self.raw
        lines = [f"HTTP/1.1 {self.status} x", f"content-length: {len(self.body)}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        return "\r\n".join([*lines, "", ""]).encode() + self.body


Handler = Callable[[Request], Awaitable[Reply]]


class _Connection(asyncio.Protocol):
    """Connection to a stand-in."""

    def __init__(self, server: "HttpStandin") -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._request = Request()
        self._body = bytearray()
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport: Any = transport
        self._server.connections.add(transport)
        self._server.accepted += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self._transport)
        self._server.silent.discard(self._transport)
        for task in self._tasks:
            task.cancel()

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self._request = Request()
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        self._request.target += url.decode()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._request.headers[name.decode().lower()] = value.decode()

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        self._request.method = self._parser.get_method().decode()
        self._request.body = bytes(self._body)
        task = asyncio.get_running_loop().create_task(self._answer(self._request))
        self._tasks.add(task)

    async def _answer(self, request: Request) -> None:
        try:
            reply = await self._server.handle(request)
        except asyncio.CancelledError:
            self._server.cancelled += 1
            raise
        if reply.resets:
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self._transport.abort()
            return
        if self._transport in self._server.silent:
            return
        self._transport.write(reply.encode())
        if reply.closes:
            self._transport.close()


class HttpStandin:
    """HTTP server that answers with the replies of a handler."""

    def __init__(self, host: str, port: int, handle: Handler) -> None:
        self.host, self.port, self.handle = host, port, handle
        self.connections: set[Any] = set()
        self.silent: set[Any] = set()
        self.accepted = 0
        self.cancelled = 0
        self._server: asyncio.Server | None = None

    async def async_setup(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), self.host, self.port)

    def silence_connections(self) -> None:
        """Answer nothing more on the connections that are open; new ones work."""
        self.silent |= self.connections

    async def async_unload(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for transport in list(self.connections):
            transport.abort()


@attrs.frozen
class StoreCopy:
    """Contents of the store at one moment."""

    items: dict[str, dict[str, Any]]
    revision: int


class Store:
    """The platform's store: items, change events and watches, with injected faults.

    Parameters
    ----------
    epoch : int
        Number of restores from a copy, sent with each answer.
    intercept : callable or None
        Returns a reply to send instead of the store's own, or None.
    """

    def __init__(self, host: str) -> None:
        self.http = HttpStandin(host, STORE, self._handle)
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 1
        self.epoch = 1
        self.compacted_revision = 0
        self.page_size = 3
        self.calls: list[str] = []
        self.intercept: Callable[[Request], Reply | None] | None = None
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_rev": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._append_event(item)

    def remove(self, key: str) -> None:
        self.revision += 1
        self.items.pop(key, None)
        self._append_event({"key": key, "revision": self.revision, "tombstone": True})

    def make_copy(self) -> StoreCopy:
        return StoreCopy(dict(self.items), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy: later changes are lost and their revisions are given out again."""
        self.items = dict(copy.items)
        self.revision = copy.revision
        self.events = [event for event in self.events if event["revision"] <= copy.revision]
        self.epoch += 1
        for connection in list(self.http.connections):
            connection.abort()

    def compact_history(self) -> None:
        """Drop the change history: watches from earlier revisions are answered with 410."""
        self.compacted_revision = self.revision + 1
        self.revision += 1
        self.events.clear()
        self._notify_watches()

    def _append_event(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request) -> Reply:
        path, _, text = request.target.partition("?")
        query = dict(part.split("=", 1) for part in text.split("&"))
        self.calls.append(path)
        reply = self.intercept(request) if self.intercept is not None else None
        if reply is None:
            reply = await self._answer(path, query)
        reply.headers["Store-Era"] = str(self.epoch)
        return reply

    async def _answer(self, path: str, query: dict[str, str]) -> Reply:
        prefix = query.get("prefix", "").replace("%2F", "/")
        match path:
            case "/kv-key":
                item = self.items.get(query["key"].replace("%2F", "/"))
                if item is None:
                    return _reply({"as_of": self.revision}, 404)
                return _reply({**item, "as_of": self.revision})
            case "/kv-range":
                after = query.get("after", "").replace("%2F", "/")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                found = [self.items[key] for key in keys[: self.page_size]]
                more = len(keys) > self.page_size
                return _reply({"items": found, "more_pages": more, "as_of": self.revision})
            case _:
                return await self._watch(prefix, int(query["after"]), int(query["wait_ms"]))

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> Reply:
        with anyio.move_on_after(wait_ms / 1_000):
            while True:
                if after < self.compacted_revision or after > self.revision:
                    return Reply(410)
                found = [
                    event
                    for event in self.events
                    if event["key"].startswith(prefix) and event["revision"] > after
                ]
                if found:
                    return _reply({"events": found, "as_of": self.revision})
                await self._changed.wait()
        return _reply({"events": [], "as_of": self.revision})


def _reply(body: dict[str, Any], status: int = 200) -> Reply:
    return Reply(status, {"content-type": "application/json"}, json.dumps(body).encode())


def make_rejection(reason: str) -> Reply:
    """Return the answer of a backend server that is full and doesn't run the request."""
    return Reply(503, {"Wisteriaproxy-Not-Executed": reason})


class Upstream:
    """Backend server that speaks the platform's dialect.

    Parameters
    ----------
    answer : callable or None
        Returns a reply to send instead of a signed success, or None.
    headers : dict of str to str
        Added to each answer.
    cold_until : float
        Time of the event loop until which it is cold, as its health endpoint says.
    arrivals : list of float
        Times of the event loop at which requests that it counts arrived, health checks included.
    checks : int
        Health checks.
    """

    def __init__(self, host: str, instance: str) -> None:
        self.instance = instance
        self.headers: dict[str, str] = {}
        self.http = HttpStandin(host, APP, self._handle)
        self.ran: list[Request] = []
        self.cold_until = 0.0
        self.arrivals: list[float] = []
        self.checks = 0
        self.answer: Callable[[Request], Awaitable[Reply | None]] | None = None

    def sign(self, request: Request, status: int = 200, body: bytes = b"yield") -> Reply:
        headers = {
            "Wisteriaproxy-Attempt-Id": request.headers["wisteriaproxy-attempt-id"],
            "Wisteriaproxy-Response-Signature": "s.1",
            "Wisteriaproxy-Server-Load": "1,0,8",
        }
        return Reply(status, headers, body)

    def _report_health(self) -> Reply:
        remaining_s = self.cold_until - asyncio.get_running_loop().time()
        headers = {"Wisteriaproxy-Instance-Id": self.instance}
        if remaining_s > 0:
            headers["Wisteriaproxy-Cold-Ms"] = str(round(remaining_s * 1_000))
        return Reply(200, headers)

    async def _handle(self, request: Request) -> Reply:
        expected = request.headers.get("wisteriaproxy-target-instance")
        if expected not in (None, self.instance):
            return Reply(421, {"Wisteriaproxy-Instance-Id": self.instance})
        self.arrivals.append(asyncio.get_running_loop().time())
        if request.target == HEALTH_PATH:
            self.checks += 1
            return self._report_health()
        reply = await self.answer(request) if self.answer is not None else None
        if reply is None or "Wisteriaproxy-Not-Executed" not in reply.headers:
            self.ran.append(request)
        reply = reply if reply is not None else self.sign(request)
        reply.headers |= self.headers
        return reply
