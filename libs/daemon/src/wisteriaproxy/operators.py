"""Operators' port: metrics, status, audit trail, health, readiness, drain."""

import json
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, cast
from urllib.parse import parse_qs

import anyio
import anyio.lowlevel
import attrs
from anyio.abc import TaskGroup
from hypercorn.asyncio import serve
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework

from wisteria_core import parse_digits

from .audit import AuditTrail
from .metrics import Metrics

_LOGGER = logging.getLogger(__name__)

MAX_CONNECTION_REQUESTS = 1_000_000_000
STOP_TIMEOUT_S = 0.2
READ_TIMEOUT_S = 30
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


@attrs.frozen
class Readiness:
    """Whether the daemon accepts calls, and the reason if not."""

    ready: bool
    reason: str = ""


class DaemonState(Protocol):
    """Daemon as seen by the operators' port."""

    def describe_status(self) -> dict[str, Any]:
        """Return the status, at least: version, digest, age_ms, ready, vm, incarnation, service,
        failure_domain, peers, slots, limits, queues."""

    def check_ready(self) -> Readiness:
        """Return whether the daemon accepts calls, and the reason if not."""

    def start_drain(self) -> None:
        """Begin a graceful stop; further calls have no effect."""


@attrs.frozen
class Answer:
    """HTTP response of the operators' port."""

    status: int
    body: bytes
    headers: dict[str, str]


def _answer_json(status: int, content: object) -> Answer:
    body = json.dumps(content, separators=(",", ":"), default=str).encode()
    return Answer(status, body, {"content-type": "application/json"})


@attrs.frozen
class OperatorApp:
    """ASGI application of the operators' port."""

    state: DaemonState
    metrics: Metrics
    audit: AuditTrail

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Handle an ASGI connection."""
        match scope["type"]:
            case "lifespan":
                await _serve_lifespan(receive, send)
            case "http":
                await _send_answer(await self._answer_safely(scope), send)

    async def _answer_safely(self, scope: dict[str, Any]) -> Answer:
        try:
            return await self.answer(scope)
        except Exception:
            _LOGGER.exception("operator_request_failed", extra={"path": scope["path"]})
            return _answer_json(500, {"error": "internal"})

    async def answer(self, scope: dict[str, Any]) -> Answer:
        query = parse_qs(scope.get("query_string", b"").decode("latin-1"))
        match scope["method"], scope["path"]:
            case "GET", "/metrics":
                return await self._answer_metrics()
            case "GET", "/status":
                return _answer_json(200, self.state.describe_status())
            case "GET", "/audit":
                return self._answer_audit(query)
            case "GET", "/health":
                return _answer_json(200, {"status": "alive"})
            case "GET", "/ready":
                found = self.state.check_ready()
                return _answer_json(200 if found.ready else 503, attrs.asdict(found))
            case "POST", "/drain":
                self.state.start_drain()
                return _answer_json(202, {"status": "draining"})
            case _, "/metrics" | "/status" | "/audit" | "/health" | "/ready" | "/drain":
                return _answer_json(405, {"error": "method not allowed"})
            case _:
                return _answer_json(404, {"error": "no such path"})

    async def _answer_metrics(self) -> Answer:
        parts = []
        for part in self.metrics.render_families():
            parts.append(part)
            await anyio.lowlevel.checkpoint()
        return Answer(200, b"".join(parts), {"content-type": METRICS_CONTENT_TYPE})

    def _answer_audit(self, query: dict[str, list[str]]) -> Answer:
        limit = parse_digits(query.get("limit", ["0"])[-1])
        if limit is None:
            return _answer_json(400, {"error": "limit is not a whole number"})
        records = self.audit.describe(query.get("kind", [""])[-1], limit)
        return _answer_json(200, {"total": self.audit.total, "records": records})


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _send_answer(answer: Answer, send: Send) -> None:
    headers = [(name.lower().encode(), value.encode()) for name, value in answer.headers.items()]
    headers.append((b"content-length", b"%d" % len(answer.body)))
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body})


@attrs.frozen
class OperatorPort:
    """Running server of the operators' port."""

    port: int
    stop: anyio.Event
    stopped: anyio.Event


async def async_setup_operators(
    tasks: TaskGroup, host: str, port: int, app: OperatorApp
) -> OperatorPort:
    """Listen on `host` and `port` (0 selects a free port) and serve in a task of `tasks`.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    listener = _bind(host, port)
    operators = OperatorPort(listener.getsockname()[1], anyio.Event(), anyio.Event())
    tasks.start_soon(_serve, app, listener, operators)
    return operators


async def async_unload_operators(operators: OperatorPort) -> None:
    """Stop the server and wait for it."""
    operators.stop.set()
    await operators.stopped.wait()


async def _serve(app: OperatorApp, listener: socket.socket, operators: OperatorPort) -> None:
    try:
        framework = cast(ASGIFramework, app)
        config = _make_config(listener)
        await serve(framework, config, shutdown_trigger=operators.stop.wait)
    finally:
        operators.stopped.set()


def _bind(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, port))
        listener.listen()
    except OSError:
        listener.close()
        raise
    return listener


def _make_config(listener: socket.socket) -> Config:
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = STOP_TIMEOUT_S
    config.read_timeout = READ_TIMEOUT_S
    config.keep_alive_max_requests = MAX_CONNECTION_REQUESTS
    config.include_server_header = False
    return config
