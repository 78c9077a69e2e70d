"""Reverse proxy without overload control, the baseline for comparison with the daemon."""

import asyncio
import itertools
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import attrs
import cattrs
import orjson
import typer

from .client import Answer, Call, Client
from .const import HEADER_CALL, LOOPBACK, MS_PER_S, PATH_READY
from .http import HttpServer, Request, Response, respond_json
from .process import run_until_stopped

_DROPPED_HEADERS = frozenset(
    (b"host", b"connection", b"content-length", b"transfer-encoding", b"authorization", HEADER_CALL)
)
_MAX_ANSWER_BYTES = 64 * 1024 * 1024


@attrs.frozen
class Upstream:
    """Ports of the backend servers for paths that start with `prefix`."""

    prefix: str
    ports: tuple[int, ...]


@attrs.frozen
class PassthroughSpec:
    """Routing and retries of the baseline proxy.

    Parameters
    ----------
    upstreams : tuple of Upstream
        Routes; the longest matching prefix applies, with round robin among its ports.
    attempts : int
        Attempts per call at each hop. They multiply over the hops of a call chain, as the
        proxies share no retry allowance.
    timeout_ms : int or None
        Timeout of one attempt, in milliseconds.
    retry_delay_ms : int
        Delay before each retry, in milliseconds.
    """

    upstreams: tuple[Upstream, ...]
    attempts: int = 3
    timeout_ms: int | None = 10_000
    retry_delay_ms: int = 0


class Passthrough:
    """Forwards calls by round robin and retries failed ones."""

    def __init__(self, spec: PassthroughSpec) -> None:
        self.spec = spec
        self.server = HttpServer(self._handle)
        ports = {port for upstream in spec.upstreams for port in upstream.ports}
        self._clients = {port: Client(port) for port in ports}
        self._port_cycles: dict[str, Iterator[int]] = {
            upstream.prefix: itertools.cycle(upstream.ports) for upstream in spec.upstreams
        }

    async def async_start(self, host: str = LOOPBACK, port: int = 0) -> int:
        """Start to listen and return the port."""
        return await self.server.async_start(host, port)

    async def async_stop(self) -> None:
        """Stop listening and abort each connection."""
        for client in self._clients.values():
            client.close()
        await self.server.async_stop()

    async def _handle(self, request: Request) -> Response | None:
        if request.path == PATH_READY:
            return respond_json({"ready": True})
        matching = [prefix for prefix in self._port_cycles if request.path.startswith(prefix)]
        if not matching:
            return respond_json({"error": "no such path"}, 404)
        answer = await self._forward(request, self._port_cycles[max(matching, key=len)])
        if not answer.complete:
            return respond_json({"error": answer.error}, 504 if answer.error == "timeout" else 502)
        headers = [(b"content-type", answer.headers.get("content-type", "").encode())]
        return Response(answer.status, headers, answer.body)

    async def _forward(self, request: Request, port_cycle: Iterator[int]) -> Answer:
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.headers
            if name not in _DROPPED_HEADERS
        )
        body = bytes(request.body)
        call = Call(request.method, request.target, headers, body, keep_bytes=_MAX_ANSWER_BYTES)
        answer = Answer()
        for attempt in range(self.spec.attempts):
            if attempt and self.spec.retry_delay_ms:
                await asyncio.sleep(self.spec.retry_delay_ms / MS_PER_S)
            answer = await self._clients[next(port_cycle)].async_call(call, self.spec.timeout_ms)
            if answer.complete and answer.status < 500:
                break
        return answer


def main(
    spec: Annotated[Path, typer.Option(help="JSON file with the fields of PassthroughSpec.")],
    port: Annotated[int, typer.Option(help="TCP port on loopback; 0 picks a free one.")] = 0,
) -> None:
    """Forward calls without overload control, as the baseline of the benches."""
    fields = orjson.loads(spec.read_bytes())
    chosen = cattrs.Converter(forbid_extra_keys=True).structure(fields, PassthroughSpec)
    run_until_stopped(lambda: _start(chosen, port))


async def _start(spec: PassthroughSpec, port: int) -> Passthrough:
    passthrough = Passthrough(spec)
    chosen = await passthrough.async_start(port=port)
    typer.echo(f"event=listening standin=passthrough port={chosen}")
    return passthrough


if __name__ == "__main__":
    typer.run(main)
