"""A plain reverse proxy in place of the daemon: the baseline without overload control."""

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

_HOP_HEADERS = frozenset(
    (b"host", b"connection", b"content-length", b"transfer-encoding", b"authorization", HEADER_CALL)
)
_MAX_ANSWER_BYTES = 64 * 1024 * 1024


@attrs.frozen
class Upstream:
    """The backend servers that answer the paths that start with `prefix`."""

    prefix: str
    ports: tuple[int, ...]


@attrs.frozen
class PassthroughSpec:
    """How the baseline forwards.

    Parameters
    ----------
    upstreams : tuple of Upstream
        Where calls go; the longest prefix counts, backend servers take turns.
    attempts : int
        Tries of each call at each hop: without a shared allowance they multiply.
    timeout_ms : int or None
        Longest wait for one try, in milliseconds.
    retry_delay_ms : int
        Pause before a further try, in milliseconds.
    """

    upstreams: tuple[Upstream, ...]
    attempts: int = 3
    timeout_ms: int | None = 10_000
    retry_delay_ms: int = 0


class Passthrough:
    """Forwards each call to the next backend server in turn and tries again when it fails."""

    def __init__(self, spec: PassthroughSpec) -> None:
        self.spec = spec
        self.server = HttpServer(self._handle)
        ports = {port for upstream in spec.upstreams for port in upstream.ports}
        self._clients = {port: Client(port) for port in ports}
        self._turns: dict[str, Iterator[int]] = {
            upstream.prefix: itertools.cycle(upstream.ports) for upstream in spec.upstreams
        }

    async def async_start(self, host: str = LOOPBACK, port: int = 0) -> int:
        """Listen, and return the port."""
        return await self.server.async_start(host, port)

    async def async_stop(self) -> None:
        """Stop listening and cut every connection."""
        for client in self._clients.values():
            client.close()
        await self.server.async_stop()

    async def _handle(self, request: Request) -> Response | None:
        if request.path == PATH_READY:
            return respond_json({"ready": True})
        fitting = [prefix for prefix in self._turns if request.path.startswith(prefix)]
        if not fitting:
            return respond_json({"error": "no such path"}, 404)
        answer = await self._forward(request, self._turns[max(fitting, key=len)])
        if not answer.complete:
            return respond_json({"error": answer.error}, 504 if answer.error == "timeout" else 502)
        headers = [(b"content-type", answer.headers.get("content-type", "").encode())]
        return Response(answer.status, headers, answer.body)

    async def _forward(self, request: Request, turn: Iterator[int]) -> Answer:
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.headers
            if name not in _HOP_HEADERS
        )
        body = bytes(request.body)
        call = Call(request.method, request.target, headers, body, keep_bytes=_MAX_ANSWER_BYTES)
        answer = Answer()
        for attempt in range(self.spec.attempts):
            if attempt and self.spec.retry_delay_ms:
                await asyncio.sleep(self.spec.retry_delay_ms / MS_PER_S)
            answer = await self._clients[next(turn)].async_call(call, self.spec.timeout_ms)
            if answer.complete and answer.status < 500:
                break
        return answer


def main(
    spec: Annotated[Path, typer.Option(help="JSON file with the fields of PassthroughSpec.")],
    port: Annotated[int, typer.Option(help="TCP port on loopback; 0 takes a free one.")] = 0,
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
