"""HTTP server for callers: request smuggling, size limits, pipelining, truncated responses."""

import asyncio
from collections.abc import Awaitable, Callable

import anyio
import pytest

from wisteria_core import ResultCode
from wisteria_wire import ByteBudget, HttpRequest, HttpServerConnection
from wisteria_wire.const import MAX_HEADER_BYTES, MAX_REQUEST_BODY_BYTES

RunLoop = Callable[[Callable[[], Awaitable[None]]], None]
HOST = "127.0.0.1"


def answer_by_target(request: HttpRequest) -> None:
    """Respond with the request target, or with the number of the fault."""
    if request.fault is not ResultCode.OK:
        request.exchange.answer(400, (), str(int(request.fault)).encode())
        return
    request.exchange.answer(200, ("x-method", request.method), request.target.encode())


async def exchange(
    data: bytes,
    handler: Callable[[HttpRequest], None] = answer_by_target,
    budget: ByteBudget | None = None,
) -> bytes:
    """Return what the server sends for `data` until it closes or 0.3 s have passed."""
    loop = asyncio.get_running_loop()
    connections: set[HttpServerConnection] = set()
    server = await loop.create_server(
        lambda: HttpServerConnection(handler, connections, budget=budget), HOST, 0
    )
    reader, writer = await asyncio.open_connection(HOST, server.sockets[0].getsockname()[1])
    writer.write(data)
    found = b""
    with anyio.move_on_after(0.3):
        while chunk := await reader.read(65_536):
            found += chunk
    writer.close()
    server.close()
    return found


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (
            b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n"
            b"transfer-encoding: chunked\r\n\r\n"
            b"0\r\n\r\nGET /smuggled HTTP/1.1\r\nhost: x\r\n\r\n",
            ResultCode.BAD_REQUEST,
        ),
        (
            b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
            ResultCode.BAD_REQUEST,
        ),
        (
            b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked, identity\r\n\r\nab",
            ResultCode.BAD_REQUEST,
        ),
        (b"GET /a HTTP/1.1\r\nhost : x\r\n\r\n", ResultCode.BAD_REQUEST),
        (b"\x16\x03\x01\x02\x00 not http at all\r\n\r\n", ResultCode.BAD_REQUEST),
        (
            b"GET /a HTTP/1.1\r\nx: " + b"a" * (MAX_HEADER_BYTES + 1) + b"\r\n\r\n",
            ResultCode.HEADER_TOO_LARGE,
        ),
        (b"GET /" + b"a" * (MAX_HEADER_BYTES + 1), ResultCode.HEADER_TOO_LARGE),
        (
            b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 1000001\r\n\r\n"
            + b"a" * (MAX_REQUEST_BODY_BYTES + 1),
            ResultCode.BODY_TOO_LARGE,
        ),
    ],
)
def test_a_hostile_request_gets_a_numbered_result(
    data: bytes, code: ResultCode, run_loop: RunLoop
) -> None:
    async def body() -> None:
        found = await exchange(data)
        assert found.count(b"HTTP/1.1 ") == 1
        assert found.endswith(str(int(code)).encode())
        assert b"smuggled" not in found

    run_loop(body)


def test_pipelined_requests_are_answered_in_order(run_loop: RunLoop) -> None:
    async def body() -> None:
        data = b"".join(b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n" % n for n in range(40))
        found = await exchange(data)
        bodies = [part.rpartition(b"\r\n\r\n")[2] for part in found.split(b"HTTP/1.1 ")[1:]]
        assert bodies == [b"/%d" % n for n in range(40)]

    run_loop(body)


def test_a_cut_answer_never_looks_whole(run_loop: RunLoop) -> None:
    async def body() -> None:
        async with anyio.create_task_group() as tasks:

            async def cut(request: HttpRequest) -> None:
                request.exchange.start(200, (), None)
                await request.exchange.send(b"part")
                request.exchange.abort()

            found = await exchange(
                b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n",
                lambda request: tasks.start_soon(cut, request),
            )
        assert not found.endswith(b"0\r\n\r\n")

    run_loop(body)


def test_an_answer_to_head_has_no_body(run_loop: RunLoop) -> None:
    async def body() -> None:
        found = await exchange(b"HEAD /abc HTTP/1.1\r\nhost: x\r\n\r\n")
        assert b"content-length: 4" in found
        assert found.endswith(b"\r\n\r\n")

    run_loop(body)


# guards against a request head or chunk extension without end that is held until the time-out
@pytest.mark.parametrize(
    "prefix",
    [
        pytest.param(b"GET /a HTTP/1.1\r\nx: ", id="header value"),
        pytest.param(b"GET /a HTTP/1.1\r\n", id="header name"),
        pytest.param(
            b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n1;",
            id="chunk extension",
        ),
    ],
)
def test_a_request_that_goes_on_without_a_head_or_body_is_refused(
    prefix: bytes, run_loop: RunLoop
) -> None:
    async def body() -> None:
        found = await exchange(prefix + b"x" * 1_000_000)
        assert found.endswith(str(int(ResultCode.HEADER_TOO_LARGE)).encode())

    run_loop(body)


# guards against counting the framing of small chunks towards the size limit of the head
def test_a_body_of_many_small_chunks_is_accepted(run_loop: RunLoop) -> None:
    async def body() -> None:
        chunks = b"1;a=b\r\nx\r\n" * 50_000 + b"0\r\n\r\n"
        head = b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
        assert (await exchange(head + chunks)).endswith(b"/a")

    run_loop(body)


@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_request_without_memory_is_read_and_refused(run_loop: RunLoop, is_chunked: bool) -> None:
    """Guards against bodies within the limit that together exceed the memory of the daemon."""
    size = 200_000
    head = b"POST /%s HTTP/1.1\r\nhost: x\r\n"
    body = bytes(size)
    if is_chunked:
        framed = b"transfer-encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (size, body)
    else:
        framed = b"content-length: %d\r\n\r\n%s" % (size, body)
    budget = ByteBudget(size - 1)

    async def main() -> None:
        first = head % b"long" + framed
        second = head % b"short" + b"content-length: 2\r\n\r\nab"
        found = await exchange(first + second, budget=budget)
        code = int(ResultCode.MEMORY_FULL)
        assert found.startswith(b"HTTP/1.1 400 ")
        assert b"\r\n\r\n%d" % code in found
        assert found.endswith(b"x-method: POST\r\ncontent-length: 6\r\n\r\n/short")
        assert budget.held_bytes == 0

    run_loop(main)


def test_memory_of_lost_requests_is_released(run_loop: RunLoop) -> None:
    """Guards against callers that disconnect and keep memory reserved for good."""
    budget = ByteBudget(1_000_000)
    held: list[int] = []

    def keep(_request: HttpRequest) -> None:
        held.append(budget.held_bytes)

    async def main() -> None:
        post = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\n"
        # one that is served, one that waits behind it, and a part of a third
        await exchange(2 * (post + bytes(1_000)) + post + bytes(7), keep, budget)
        await anyio.sleep(0.05)
        assert held == [1_000]
        assert budget.held_bytes == 0

    run_loop(main)
