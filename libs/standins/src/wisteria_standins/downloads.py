"""Downloads from a backend server: entity tags, byte ranges, stalls and truncation."""

import asyncio
from collections.abc import AsyncIterator, Callable

from .behaviour import Behaviour, Rule
from .const import MS_PER_S
from .content import BLOCK_BYTES, make_etag, read_content
from .http import Request, Response

_STALL_S = 3_600.0


def respond_download(
    request: Request, rule: Rule, read_behaviour: Callable[[], Behaviour]
) -> Response:
    """Return the content of `rule`, or the byte range of it that the request asks for.

    `read_behaviour` is called before each chunk, so that a stall or a truncation can be
    configured during the download.
    """
    seed = read_behaviour().content_seed
    size = rule.answer_bytes
    etag = make_etag(seed, size)
    headers = [(b"etag", etag.encode()), (b"accept-ranges", b"bytes")]
    start, end = parse_range(request.header(b"range"), size)
    if request.header(b"if-range") not in ("", etag):
        start, end = 0, size
    if start >= end and size:
        headers.append((b"content-range", b"bytes */%d" % size))
        return Response(416, headers)
    status = 206 if (start, end) != (0, size) else 200
    if status == 206:
        headers.append((b"content-range", b"bytes %d-%d/%d" % (start, end - 1, size)))
    stream = _stream(rule, start, end, read_behaviour)
    return Response(status, headers, stream=stream, stream_bytes=end - start)


def parse_range(value: str, size: int) -> tuple[int, int]:
    """Return the start and the exclusive end of the bytes that a Range header asks for.

    An absent or malformed header, or one with several ranges, selects the whole content.
    The range can't be satisfied if start >= end.
    """
    unit, _, span = value.partition("=")
    first, dash, last = span.partition("-")
    if unit != "bytes" or not dash or "," in span:
        return 0, size
    if not first:
        return (max(0, size - int(last)), size) if last.isdigit() else (0, size)
    if not first.isdigit() or (last and not last.isdigit()):
        return 0, size
    return int(first), min(size, int(last) + 1) if last else size


async def _stream(
    rule: Rule, start: int, end: int, read_behaviour: Callable[[], Behaviour]
) -> AsyncIterator[bytes]:
    position = start
    while position < end:
        behaviour = read_behaviour()
        stall_after = behaviour.stall_after_bytes
        if stall_after is not None and position >= stall_after:
            await asyncio.sleep(_STALL_S)
        cut_after = behaviour.cut_after_bytes
        if cut_after is not None and position >= cut_after:
            return
        chunk_bytes = min(BLOCK_BYTES, end - position)
        yield read_content(behaviour.content_seed, position, chunk_bytes)
        position += chunk_bytes
        if rule.chunk_ms:
            await asyncio.sleep(rule.chunk_ms / MS_PER_S)
