"""Client of the backend server."""

from collections.abc import Callable

import anyio
import attrs

from wisteria_core import Clock, Refusal, RunState
from wisteria_wire import HttpCall, HttpClientPool, collect_body, encode_request

from .calls import RunningCall
from .dialect import BackendDialect, BackendNotice, NativeBackendDialect
from .settings import BackendSettings

_STATUS_OK = 200
_CONNECT_CHECK_S = 0.5
_DRAIN_LIMIT_S = 0.05
"""Time limit for the body of a rejected answer, which usually arrives with its head."""
_MAX_DRAINED_BYTES = 4_096
_HEALTH_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class BackendServer:
    """Sends calls and health checks to the backend server over pooled connections.

    Parameters
    ----------
    allows_close_delimited : bool
        Whether an answer without length is complete when its connection is closed cleanly.
    on_notice : callable, optional
        Called with each answered call and what the answer says about the backend server.
    """

    settings: BackendSettings
    clock: Clock
    dialect: BackendDialect = attrs.field(factory=NativeBackendDialect)
    allows_close_delimited: bool = False
    on_notice: Callable[[RunningCall, BackendNotice], None] | None = None
    _pool: HttpClientPool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._pool = HttpClientPool(
            self.settings.host,
            self.settings.port,
            self.settings.max_connections,
            self.clock,
            self.allows_close_delimited,
        )

    async def send(self, call: RunningCall) -> HttpCall | Refusal:
        """Send a call and wait for the head of its answer."""
        head = call.head
        remaining_ms = call.deadline_at_ms - self.clock.now_ms()
        headers = self.dialect.make_headers(call, self._pool.authority, remaining_ms)
        # HEAD is sent as GET: the answer to HEAD may state a length without a body, and the
        # parser, which does not know the method, would wait for one; the body of the answer to
        # GET is dropped on the connection to the caller
        method = "GET" if head.method == "HEAD" else head.method
        data = encode_request(method, head.target, headers, head.body)
        http_call = await self._pool.send(data, fresh=not head.repeatable)
        if isinstance(http_call, Refusal):
            return http_call
        notice = self.dialect.read_notice(call, http_call.answer)
        if notice is not None and self.on_notice is not None:
            self.on_notice(call, notice)
        refusal = self.dialect.check_answer(call, http_call.answer)
        if refusal is None:
            return http_call
        if refusal.run_state is RunState.NOT_RUN:
            await self._drain(http_call)
            http_call.cancel()
        else:
            # the answer to this call may still arrive, so the connection must not be reused
            http_call.connection.abort()
        return refusal

    async def _drain(self, http_call: HttpCall) -> None:
        """Read the rest of a small rejected answer, so that its connection can be reused."""
        with anyio.move_on_after(_DRAIN_LIMIT_S):
            await collect_body(http_call.answer.body, _MAX_DRAINED_BYTES)

    async def read_health(self, max_bytes: int) -> bytes | Refusal:
        """Return the body from the health endpoint; empty if its status is not 200."""
        call = await self._ask_health(self.settings.health_path)
        if isinstance(call, Refusal):
            return call
        try:
            body = await collect_body(call.answer.body, max_bytes)
        finally:
            call.cancel()
        if isinstance(body, Refusal):
            return body
        return body if body is not None and call.answer.status == _STATUS_OK else b""

    async def read_cold_ms(self, health_path: str, instance: str) -> int | Refusal | None:
        """Return how long the server stays cold, as its health endpoint says; None if unknown.

        Parameters
        ----------
        health_path : str
            Path of the health endpoint.
        instance : str
            Process that is asked; empty if it is not known.
        """
        with anyio.move_on_after(_HEALTH_TIMEOUT_S):
            call = await self._ask_health(health_path)
            if isinstance(call, Refusal):
                return call
            await self._drain(call)
            call.cancel()
            return self.dialect.read_cold_ms(call.answer, instance)
        return None

    async def _ask_health(self, path: str) -> HttpCall | Refusal:
        headers = ("host", self._pool.authority)
        return await self._pool.send(encode_request("GET", path, headers, b""))

    async def accepts_connections(self) -> bool:
        """Return whether a new connection is accepted now."""
        try:
            with anyio.fail_after(_CONNECT_CHECK_S):
                stream = await anyio.connect_tcp(self.settings.host, self.settings.port)
        except (OSError, TimeoutError):
            return False
        await stream.aclose()
        return True

    async def async_unload(self) -> None:
        await self._pool.async_unload()
