"""Stand-in for a backend server: slots, service times, faults, child calls, run counters."""

import asyncio
import os
import random
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Annotated

import orjson
import typer

from .behaviour import Behaviour, ChildCall, Rule, change_behaviour, structure_behaviour
from .client import Answer, Call, Client
from .const import (
    HEADER_CALL,
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
    LOOPBACK,
    MS_PER_S,
    PATH_CONTROL,
    PATH_DRAIN,
    PATH_HEALTH,
    PATH_LOAD,
)
from .content import read_content
from .downloads import respond_download
from .http import HttpServer, Request, Response, respond_json
from .process import run_until_stopped
from .runs import Runs
from .slots import Slots

EXIT_CRASHED = 70
_RETRY_AFTER_S = b"1"


class Backend:
    """A simulated backend server.

    Parameters
    ----------
    behaviour : Behaviour
        Service times, limits and faults; may be replaced while the server runs.
    daemon_port : int
        Caller port of the local daemon, which forwards child calls; 0 disables child calls.
    name : str
        Name included in JSON responses.
    """

    def __init__(
        self, behaviour: Behaviour, daemon_port: int = 0, name: str = "backend-server"
    ) -> None:
        self.behaviour = behaviour
        self.name = name
        self.runs = Runs()
        self.draining = False
        self.server = HttpServer(self._handle)
        self._daemon_client = Client(daemon_port) if daemon_port else None
        self._rng = random.Random(behaviour.seed)
        self._slots = Slots(behaviour.slots)
        self._started_s = 0.0
        self._load_report = (0.0, 0)
        self._restart: asyncio.Task[None] | None = None

    async def async_start(self, host: str = LOOPBACK, port: int = 0) -> int:
        """Start to listen and return the port."""
        self._started_s = asyncio.get_running_loop().time()
        return await self.server.async_start(host, port)

    async def async_stop(self) -> None:
        """Stop listening and abort each connection."""
        if self._restart is not None:
            self._restart.cancel()
        if self._daemon_client is not None:
            self._daemon_client.close()
        await self.server.async_stop()

    async def _handle(self, request: Request) -> Response | None:
        path = request.path
        if path.startswith(PATH_CONTROL):
            return self._handle_control(request)
        match path:
            case "/health" if request.method == "GET":
                return self._report_health()
            case "/load" if request.method == "GET":
                return respond_json(
                    {"in_flight": self._report_load(), "slots": self.behaviour.slots}
                )
            case "/drain" if request.method == "POST":
                self.draining = True
                return respond_json({"status": "draining"})
            case _:
                return await self._serve(request)

    def _handle_control(self, request: Request) -> Response:
        match request.method, request.path:
            case "GET", "/control/runs":
                return respond_json(self.runs.describe("summary" not in request.query))
            case "POST", "/control/set":
                self.behaviour = change_behaviour(self.behaviour, request.json())
                return respond_json({"set": True})
            case "POST", "/control/reset":
                self.runs = Runs()
                return respond_json({"reset": True})
            case _:
                return respond_json({"error": "no such path"}, 404)

    def _report_health(self) -> Response:
        if not self.behaviour.healthy:
            return respond_json({"status": "failing"}, 503)
        return respond_json({"status": "draining" if self.draining else "ok"})

    def _report_load(self) -> int:
        if self.behaviour.reported_load is not None:
            return self.behaviour.reported_load
        now = asyncio.get_running_loop().time()
        if (now - self._load_report[0]) * MS_PER_S >= self.behaviour.report_lag_ms:
            self._load_report = (now, self._slots.in_use + self._slots.queued)
        return self._load_report[1]

    async def _serve(self, request: Request) -> Response | None:
        behaviour = self.behaviour
        self.runs.record_key_leaks(request, behaviour.key_marker)
        if self._slots.queued >= behaviour.max_queue:
            self.runs.shed += 1
            return respond_overloaded()
        if not await self._acquire_slot(request):
            self.runs.expired += 1
            return respond_json({"error": "deadline passed in the queue"}, 504)
        self.runs.record_start(request)
        slot_passed_on = False
        try:
            response = await self._run(request, behaviour)
            if response is not None and response.stream is not None:
                response.stream = self._stream_with_slot(response.stream, response.stream_bytes)
                slot_passed_on = True
            return response
        except asyncio.CancelledError:
            self.runs.cancelled += 1
            raise
        finally:
            if not slot_passed_on:
                self._slots.release()

    async def _acquire_slot(self, request: Request) -> bool:
        self._slots.size = self.behaviour.slots
        try:
            return await self._slots.acquire(read_deadline(request))
        except asyncio.CancelledError:
            self.runs.cancelled += 1
            raise

    async def _stream_with_slot(
        self, stream: AsyncIterator[bytes], length: int
    ) -> AsyncIterator[bytes]:
        """Yield the chunks of a download and release its slot at the end."""
        sent_bytes = 0
        try:
            async for chunk in stream:
                sent_bytes += len(chunk)
                yield chunk
        finally:
            self.runs.cut_downloads += sent_bytes < length
            self._slots.release()

    async def _run(self, request: Request, behaviour: Behaviour) -> Response | None:
        started_s = asyncio.get_running_loop().time()
        rule = behaviour.find_rule(request.path)
        if behaviour.poison_marker.encode() in request.body:
            self._crash()
            return None
        await self._simulate_work(rule)
        if self._rng.random() < behaviour.failure_rate:
            self.runs.failed += 1
            return respond_json({"error": "failed"}, 500)
        children = await self._call_children(request, rule)
        if any(not child.complete or child.status >= 400 for child in children):
            self.runs.failed += 1
            worst = max(child.status or 502 for child in children)
            return respond_json({"error": "child call failed", "status": worst}, 502)
        self.runs.finished += 1
        self.runs.wasted += deadline_has_passed(request, started_s)
        return self._build_response(request, rule, children)

    async def _simulate_work(self, rule: Rule) -> None:
        behaviour = self.behaviour
        age_ms = (asyncio.get_running_loop().time() - self._started_s) * MS_PER_S
        factor = behaviour.cold_factor if age_ms < behaviour.cold_ms else 1.0
        time_ms = rule.service.draw_ms(self._rng) * behaviour.slow_factor * factor
        sleep = asyncio.sleep(time_ms / MS_PER_S)
        if behaviour.ignore_cancellation:
            await asyncio.shield(sleep)
        elif time_ms > 0:
            await sleep
        else:
            sleep.close()

    def _crash(self) -> None:
        """Simulate a crash: abort all connections, then restart or exit the process."""
        self.runs.crashes += 1
        restart_ms = self.behaviour.restart_ms
        if restart_ms == 0:
            os._exit(EXIT_CRASHED)
        self._restart = asyncio.get_running_loop().create_task(self._restart_after(restart_ms))

    async def _restart_after(self, restart_ms: int) -> None:
        port = self.server.port
        await self.server.async_stop()
        await asyncio.sleep(restart_ms / MS_PER_S)
        self.draining = False
        await self.async_start(port=port)

    async def _call_children(self, request: Request, rule: Rule) -> list[Answer]:
        calls = [child for child in rule.children for _ in range(child.count)]
        if not calls or self._daemon_client is None:
            return []
        pending = [self._call_child(request, child, index) for index, child in enumerate(calls)]
        if rule.parallel:
            return list(await asyncio.gather(*pending))
        return [await one for one in pending]

    async def _call_child(self, request: Request, child: ChildCall, index: int) -> Answer:
        assert self._daemon_client is not None
        headers = [
            (name.decode(), request.header(name))
            for name in (HEADER_CALL, HEADER_REQUEST_ID)
            if request.header(name)
        ]
        if child.with_key:
            parent = request.header(HEADER_IDEMPOTENCY_KEY)
            headers.append((HEADER_IDEMPOTENCY_KEY.decode(), f"{parent}-{index}"))
        call = Call(child.method, child.path, tuple(headers))
        return await self._daemon_client.async_call(call, read_deadline(request))

    def _build_response(self, request: Request, rule: Rule, children: list[Answer]) -> Response:
        if rule.download:
            return respond_download(request, rule, lambda: self.behaviour)
        if rule.answer_bytes:
            return Response(
                200, [], read_content(self.behaviour.content_seed, 0, rule.answer_bytes)
            )
        return respond_json(
            {
                "by": self.name,
                "path": request.path,
                "id": request.header(HEADER_REQUEST_ID),
                "echo": request.query.get("echo", ""),
                "children": [orjson.Fragment(child.body or b"null") for child in children],
            }
        )


def respond_overloaded() -> Response:
    """Return the response to a request rejected before execution because the queue is full."""
    response = respond_json({"error": "overloaded"}, 503)
    response.headers.append((b"retry-after", _RETRY_AFTER_S))
    return response


def read_deadline(request: Request) -> int | None:
    """Return the remaining time of the request in milliseconds; None without a deadline."""
    value = request.header(HEADER_DEADLINE_MS)
    return int(value) if value.isdigit() else None


def deadline_has_passed(request: Request, started_s: float) -> bool:
    """Return True if the deadline passed after `started_s`, so that the result is useless."""
    remaining_ms = read_deadline(request)
    elapsed_ms = (asyncio.get_running_loop().time() - started_s) * MS_PER_S
    return remaining_ms is not None and elapsed_ms > remaining_ms


def main(
    port: Annotated[int, typer.Option(help="TCP port on loopback; 0 picks a free one.")] = 0,
    daemon_port: Annotated[
        int, typer.Option(help="Caller port of the local daemon, for child calls.")
    ] = 0,
    name: Annotated[str, typer.Option(help="Name included in JSON responses.")] = "backend-server",
    behaviour: Annotated[
        Path | None, typer.Option(help="JSON file with the fields of Behaviour.")
    ] = None,
) -> None:
    """Simulate a backend server on loopback.

    The local daemon uses GET /health, GET /load and POST /drain; tests use
    GET /control/runs, POST /control/set (any field of Behaviour) and POST /control/reset.
    """
    fields = orjson.loads(behaviour.read_bytes()) if behaviour is not None else {}
    run_until_stopped(lambda: _start(port, daemon_port, name, structure_behaviour(fields)))


async def _start(port: int, daemon_port: int, name: str, behaviour: Behaviour) -> Backend:
    backend = Backend(behaviour, daemon_port, name)
    chosen = await backend.async_start(port=port)
    endpoints = ",".join((PATH_HEALTH, PATH_LOAD, PATH_DRAIN, PATH_CONTROL))
    typer.echo(f"event=listening standin=backend port={chosen} paths={endpoints}")
    return backend


if __name__ == "__main__":
    typer.run(main)
