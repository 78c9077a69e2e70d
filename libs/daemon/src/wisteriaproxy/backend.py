"""The backend server of this VM: sends calls to it and reads its health."""

import anyio
import attrs

from wisteria_core import Clock, Priority, Refusal
from wisteria_wire import CallHead, HttpCall, HttpClientPool, collect_body, encode_request

from .calls import RunningCall
from .headers import (
    HEADER_ACCOUNT,
    HEADER_CALL_TOKEN,
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_PRIORITY,
    HEADER_REQUEST_ID,
)
from .settings import BackendSettings

_STATUS_OK = 200
_CONNECT_CHECK_S = 0.5
_PRIORITY_NAMES = {priority: priority.name.lower() for priority in Priority}


def make_backend_headers(
    head: CallHead, call: RunningCall, authority: str, remaining_ms: int
) -> tuple[str, ...]:
    """Return the headers that the backend server sees, names and values in turn."""
    own = (
        "host",
        authority,
        HEADER_CALL_TOKEN,
        call.token,
        HEADER_ACCOUNT,
        head.account,
        HEADER_PRIORITY,
        _PRIORITY_NAMES[head.priority],
        HEADER_DEADLINE_MS,
        str(max(remaining_ms, 0)),
        HEADER_REQUEST_ID,
        head.request_id,
    )
    if not head.idempotency_key:
        return own + head.headers
    return (*own, HEADER_IDEMPOTENCY_KEY, head.idempotency_key, *head.headers)


@attrs.define(eq=False)
class BackendServer:
    """Sends calls to the backend server over kept connections."""

    settings: BackendSettings
    clock: Clock
    _pool: HttpClientPool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._pool = HttpClientPool(
            self.settings.host, self.settings.port, self.settings.max_connections, self.clock
        )

    async def send(self, call: RunningCall) -> HttpCall | Refusal:
        """Send a call and return it once the head of its answer has arrived."""
        head = call.head
        remaining_ms = call.deadline_at_ms - self.clock.now_ms()
        headers = make_backend_headers(head, call, self._pool.authority, remaining_ms)
        # an answer to HEAD has a length and no body, which a parser that does not know the
        # method waits for; the body of GET is dropped at the caller's side
        method = "GET" if head.method == "HEAD" else head.method
        data = encode_request(method, head.target, headers, head.body)
        return await self._pool.send(data, fresh=not head.repeatable)

    async def read_health(self, max_bytes: int) -> bytes | Refusal:
        """Return the body of the health endpoint, empty when it answers with an error."""
        headers = ("host", self._pool.authority)
        call = await self._pool.send(encode_request("GET", self.settings.health_path, headers, b""))
        if isinstance(call, Refusal):
            return call
        try:
            body = await collect_body(call.answer.body, max_bytes)
        finally:
            call.cancel()
        if isinstance(body, Refusal):
            return body
        return body if body is not None and call.answer.status == _STATUS_OK else b""

    async def accepts_connections(self) -> bool:
        """Return whether the backend server accepts a new connection at this moment."""
        try:
            with anyio.fail_after(_CONNECT_CHECK_S):
                stream = await anyio.connect_tcp(self.settings.host, self.settings.port)
        except (OSError, TimeoutError):
            return False
        await stream.aclose()
        return True

    async def async_unload(self) -> None:
        """Close the connections."""
        await self._pool.async_unload()
