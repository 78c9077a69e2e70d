"""HTTP client for the backend server: connection reuse, truncated responses, connection errors."""

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable

import anyio
import attrs
import pytest

from wisteria_core import Clock, ManualClock, Refusal, ResultCode, RunState
from wisteria_wire import HttpCall, HttpClientPool, collect_body, encode_request
from wisteria_wire.const import WINDOW_BYTES
from wisteria_wire.http_client import HttpClientConnection

RunLoop = Callable[[Callable[[], Awaitable[None]]], None]
Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
REQUEST = encode_request("GET", "/", ("host", "test"), b"")


async def serve(handler: Handler) -> tuple[asyncio.Server, HttpClientPool]:
    """Return a server on loopback and a pool of four connections to it."""
    server = await asyncio.start_server(handler, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, HttpClientPool("127.0.0.1", port, 4, Clock())


def answer_with(*parts: bytes) -> Handler:
    """Return a handler that responds to a request with `parts` and closes the connection."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.writelines(parts)
        await writer.drain()
        writer.close()

    return handle


async def answer_each(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Respond to each request of a connection with its target as the body."""
    while not reader.at_eof():
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            break
        target = head.split(b" ")[1]
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(target), target))
    writer.close()


async def fetch(pool: HttpClientPool, target: str) -> bytes:
    """Send a request for `target` and return the response body."""
    call = await pool.send(encode_request("GET", target, ("host", "test"), b""))
    assert isinstance(call, HttpCall)
    body = await collect_body(call.answer.body, 1_000)
    assert isinstance(body, bytes)
    return body


def test_a_reused_connection_gives_each_request_its_own_answer(run_loop: RunLoop) -> None:
    async def body() -> None:
        server, pool = await serve(answer_each)
        found: dict[str, bytes] = {}

        async def ask(target: str) -> None:
            found[target] = await fetch(pool, target)

        async with anyio.create_task_group() as tasks:
            for number in range(200):
                tasks.start_soon(ask, f"/{number}")
        assert found == {f"/{number}": b"/%d" % number for number in range(200)}
        await pool.async_unload()
        server.close()

    run_loop(body)


# guards against requests that hang until their deadline behind an answer that nobody reads
@pytest.mark.parametrize("is_cancelled", [True, False])
def test_a_request_behind_an_unread_answer_on_its_connection_is_answered(
    run_loop: RunLoop, is_cancelled: bool
) -> None:
    is_window_full = asyncio.Event()

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.readline():
            await reader.readuntil(b"\r\n\r\n")
            size = WINDOW_BYTES + 50_000
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size)
            writer.write(bytes(WINDOW_BYTES))
            await is_window_full.wait()
            # a single segment: reading is paused once a part of it has arrived
            writer.write(bytes(size - WINDOW_BYTES))

    async def body() -> None:
        server, pool = await serve(answer)
        unread = await pool.send(REQUEST)
        assert isinstance(unread, HttpCall)
        with anyio.fail_after(2):
            while unread.answer.body.received_bytes < WINDOW_BYTES:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            is_window_full.set()
            while not unread.answer.body.is_ended:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        if is_cancelled:
            unread.cancel()
        with anyio.fail_after(2):
            call = await pool.send(REQUEST)
            assert isinstance(call, HttpCall)
            assert call.connection is unread.connection
            assert await collect_body(call.answer.body, 1_000_000) is not None
        await pool.async_unload()
        server.close()

    run_loop(body)


@pytest.mark.parametrize(("keep_alive", "opened"), [(b"keep-alive: timeout=10\r\n", 2), (b"", 3)])
def test_pauses_between_requests_open_few_connections(
    run_loop: RunLoop, keep_alive: bytes, opened: int
) -> None:
    """The client must not let idle connections expire at the backend server while it is in use.

    Otherwise a later burst has to open them all again.
    """
    accepted: list[asyncio.StreamWriter] = []

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        accepted.append(writer)
        while await reader.readline():
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.01)
            writer.write(b"HTTP/1.1 200 OK\r\n" + keep_alive + b"content-length: 0\r\n\r\n")

    async def body() -> None:
        server, pool = await serve(answer)
        clock = ManualClock()
        pool._clock = clock
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fetch, pool, "/1")
            tasks.start_soon(fetch, pool, "/2")
        for _ in range(6):
            clock.advance(5_000)
            await fetch(pool, "/3")
        call = await pool.send(REQUEST, fresh=True)
        assert isinstance(call, HttpCall)
        await collect_body(call.answer.body, 0)
        clock.advance(5_000)
        call = await pool.send(REQUEST, fresh=True)
        assert isinstance(call, HttpCall)
        await collect_body(call.answer.body, 0)
        assert len(accepted) == opened
        await pool.async_unload()
        server.close()

    run_loop(body)


def test_a_cut_before_the_answer_leaves_the_outcome_unknown(run_loop: RunLoop) -> None:
    async def body() -> None:
        server, pool = await serve(answer_with())
        refusal = await pool.send(REQUEST)
        assert isinstance(refusal, Refusal)
        assert refusal.run_state is RunState.UNKNOWN
        server.close()

    run_loop(body)


def test_a_refused_connection_means_not_run(run_loop: RunLoop) -> None:
    async def body() -> None:
        server, pool = await serve(answer_with())
        server.close()
        await server.wait_closed()
        refusal = await pool.send(REQUEST)
        assert isinstance(refusal, Refusal)
        assert refusal.run_state is RunState.NOT_RUN

    run_loop(body)


def test_a_short_answer_is_never_whole(run_loop: RunLoop) -> None:
    heads = (
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
    )

    async def body() -> None:
        for head in heads:
            server, pool = await serve(answer_with(head, b"short"))
            call = await pool.send(REQUEST)
            assert isinstance(call, HttpCall)
            found = await collect_body(call.answer.body, 1_000)
            assert isinstance(found, Refusal)
            assert found.code is ResultCode.ANSWER_TRUNCATED
            server.close()

    run_loop(body)


def test_unsolicited_bytes_end_the_connection(run_loop: RunLoop) -> None:
    """A duplicate response must not be taken for the response to the next request."""
    doubled = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n"

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(doubled + b"a")
        await writer.drain()
        await anyio.sleep(0.02)
        writer.write(doubled + b"b")
        await writer.drain()
        await reader.read()
        writer.close()

    async def body() -> None:
        server, pool = await serve(handle)
        assert await fetch(pool, "/1") == b"a"
        await anyio.sleep(0.05)
        assert await fetch(pool, "/2") == b"a"
        server.close()

    run_loop(body)


class _Socket:
    """A socket that reports a reset only through its pending error (SO_ERROR)."""

    family = 0

    def __init__(self, error: int) -> None:
        self.error = error

    def getsockopt(self, level: int, option: int) -> int:
        assert (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR)
        return self.error


class _Transport(asyncio.Transport):
    """A transport over such a socket that discards what is written."""

    def __init__(self, error: int) -> None:
        super().__init__({"socket": _Socket(error)})

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Discard the data."""

    def is_closing(self) -> bool:
        return False

    def close(self) -> None:
        """Do nothing."""


@pytest.mark.parametrize(("error", "is_whole"), [(0, True), (errno.ECONNRESET, False)])
def test_an_unframed_answer_that_was_reset_behind_its_bytes_is_not_whole(
    run_loop: RunLoop, error: int, is_whole: bool
) -> None:
    async def body() -> None:
        pool = HttpClientPool("127.0.0.1", 1, 1, Clock(), allows_close_delimited=True)
        connection = HttpClientConnection(pool)
        connection.connection_made(_Transport(error))
        asyncio.get_running_loop().call_soon(
            connection.data_received, b"HTTP/1.1 200 OK\r\n\r\nshort"
        )
        answer = await connection.send(REQUEST)
        assert not isinstance(answer, Refusal)
        connection.eof_received()
        connection.connection_lost(None)
        found = await collect_body(answer.body, 1_000)
        assert isinstance(found, bytes) == is_whole

    run_loop(body)


ENDLESS_LIMIT_BYTES = 64_000_000
"""Bytes after which the stand-in gives up; far above the size limit of a head."""
PAD = b"x" * 16_384
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = OK_HEAD + b"transfer-encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"


@attrs.define
class EndlessServer:
    """Sends a prefix, then the same bytes until the caller closes the connection."""

    prefix: bytes
    repeated: bytes
    sent_bytes: int = 0
    was_closed: bool = False

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.prefix)
        try:
            while self.sent_bytes < ENDLESS_LIMIT_BYTES:
                writer.write(self.repeated)
                self.sent_bytes += len(self.repeated)
                await writer.drain()
        except ConnectionError:
            self.was_closed = True
        writer.close()


# guards against bytes that are no answer and hold memory and a slot until the deadline
@pytest.mark.parametrize(
    ("prefix", "repeated"),
    [
        pytest.param(b"HTTP/1.1 200 ", PAD, id="status line"),
        pytest.param(OK_HEAD + b"padding: ", PAD, id="header value"),
        pytest.param(OK_HEAD, PAD, id="header name"),
        pytest.param(OK_HEAD, b"a: b\r\n" * 2_000, id="header lines"),
        pytest.param(b"", INTERIM * 500, id="interim responses"),
        pytest.param(b"", b"\x00" * 16_384, id="garbage"),
        pytest.param(CHUNKED_HEAD + b"1;", PAD, id="chunk extension"),
        pytest.param(CHUNKED_HEAD + b"1\r\nx\r\n0\r\npadding: ", PAD, id="trailer value"),
        pytest.param(CHUNKED_HEAD + b"1\r\nx\r\n0\r\n", b"a: b\r\n" * 2_000, id="trailers"),
    ],
)
def test_bytes_without_end_that_are_no_answer_end_the_call(
    run_loop: RunLoop, prefix: bytes, repeated: bytes
) -> None:
    async def body() -> None:
        endless = EndlessServer(prefix, repeated)
        server, pool = await serve(endless.answer)
        with anyio.fail_after(20):
            found = await pool.send(REQUEST)
            if isinstance(found, HttpCall):
                found = await collect_body(found.answer.body, 1_000)  # type: ignore[assignment]
            assert isinstance(found, Refusal)
            assert found.run_state is not RunState.NOT_RUN
            while not endless.was_closed:  # noqa: ASYNC110
                await anyio.sleep(0.01)
        assert endless.sent_bytes < ENDLESS_LIMIT_BYTES
        server.close()

    run_loop(body)


# guards against a body without end that is held in memory faster than its reader takes it
def test_a_body_without_end_is_held_within_the_window(run_loop: RunLoop) -> None:
    async def body() -> None:
        endless = EndlessServer(OK_HEAD + b"\r\n", PAD)
        server, pool = await serve(endless.answer)
        call = await pool.send(REQUEST)
        assert isinstance(call, HttpCall)
        await anyio.sleep(0.5)
        held = call.answer.body.received_bytes
        assert held <= 2 * WINDOW_BYTES
        call.cancel()
        with anyio.fail_after(10):
            while not endless.was_closed:  # noqa: ASYNC110
                await anyio.sleep(0.01)
        server.close()

    run_loop(body)


# guards against taking many small chunks, or interim responses, for bytes without end
def test_small_chunks_and_a_few_interim_responses_are_an_answer(run_loop: RunLoop) -> None:
    async def body() -> None:
        chunks = b"1;a=b\r\nx\r\n" * 50_000
        handler = answer_with(INTERIM * 3, CHUNKED_HEAD, chunks, b"0\r\na: b\r\n\r\n")
        server, pool = await serve(handler)
        call = await pool.send(REQUEST)
        assert isinstance(call, HttpCall)
        assert await collect_body(call.answer.body, 100_000) == b"x" * 50_000
        server.close()

    run_loop(body)
