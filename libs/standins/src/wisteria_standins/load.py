"""Load generator with open-loop and closed-loop arrivals."""

import asyncio
import itertools
import random
import time
import uuid
from pathlib import Path
from typing import Annotated

import attrs
import cattrs
import orjson
import typer

from .client import Answer, Call, Client
from .const import (
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
    HEADER_RESULT,
    HEADER_RUN,
    MS_PER_S,
)
from .load_spec import ClosedLoop, Flow, LoadSpec, OpenLoop, Phase, Target
from .process import run_main
from .report import render_table
from .results import FAILED, OK, REFUSED, TIMEOUT, WRONG, LoadResults, Outcome

_RESULT = HEADER_RESULT.decode()
_RUN = HEADER_RUN.decode()
_REQUEST_ID = HEADER_REQUEST_ID.decode()
_DEADLINE = HEADER_DEADLINE_MS.decode()
_KEY = HEADER_IDEMPOTENCY_KEY.decode()
_DEADLINE_SLACK_MS = 20
_MAX_RETRY_AFTER_S = 30.0


@attrs.define
class _Request:
    """A request, which may take several attempts."""

    flow: Flow
    number: int
    phase: str
    arrived_s: float
    key: str = ""

    def make_call(self, attempt: int) -> Call:
        """Return the call of one attempt, with its own request id."""
        flow = self.flow
        path = flow.path.replace("{n}", str(self.number))
        if flow.echo:
            path += f"{'&' if '?' in path else '?'}echo={self.number}"
        headers = [(_REQUEST_ID, f"{flow.name}-{self.number}-{attempt}")]
        if flow.key:
            headers.append(("Authorization", f"Bearer {flow.key}"))
        if flow.deadline_ms is not None:
            headers.append((_DEADLINE, str(flow.deadline_ms)))
        if flow.with_idempotency_key:
            headers.append((_KEY, self.key))
        wants_digest = bool(flow.expected_digest)
        return Call(flow.method, path, tuple(headers), flow.body, with_digest=wants_digest)

    def classify(self, answer: Answer) -> str:
        """Return the kind of outcome of one attempt."""
        flow = self.flow
        if answer.error == "timeout":
            return TIMEOUT
        if answer.error or not answer.complete:
            return FAILED
        if answer.status >= 400:
            return REFUSED if _RESULT in answer.headers else FAILED
        if flow.expected_bytes is not None and answer.length != flow.expected_bytes:
            return WRONG
        if flow.expected_digest and answer.digest != flow.expected_digest:
            return WRONG
        if flow.echo and f'"echo":"{self.number}"'.encode() not in answer.body:
            return WRONG
        return OK


class Load:
    """Generates a load once."""

    def __init__(self, spec: LoadSpec) -> None:
        self.spec = spec
        self.results = LoadResults()
        self._rng = random.Random(spec.seed)
        self._clients = [
            Client(target.port, target.host, spec.max_connections) for target in spec.targets
        ]
        self._next_client = itertools.cycle(self._clients)
        self._weights = [flow.weight for flow in spec.flows]
        self._numbers = itertools.count()
        self._started_s = 0.0

    async def async_run(self) -> LoadResults:
        """Generate the load, wait for the last response and return the results."""
        self._started_s = time.perf_counter()
        try:
            match self.spec.loop:
                case OpenLoop() as loop:
                    await self._run_open(loop)
                case ClosedLoop() as loop:
                    await self._run_closed(loop)
        finally:
            for client in self._clients:
                client.close()
        self.results.duration_s = self._elapsed_s()
        return self.results

    def _elapsed_s(self) -> float:
        return time.perf_counter() - self._started_s

    def _draw_request(self, phase: str, arrived_s: float) -> _Request:
        flow = self._rng.choices(self.spec.flows, self._weights)[0]
        key = str(uuid.UUID(int=_make_uuid7(self._rng))) if flow.with_idempotency_key else ""
        return _Request(flow, next(self._numbers), phase, arrived_s, key)

    async def _run_open(self, loop: OpenLoop) -> None:
        async with asyncio.TaskGroup() as tasks:
            for at_s, phase in loop.draw_arrivals(self._rng):
                wait_s = at_s - self._elapsed_s()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                lag_ms = (self._elapsed_s() - at_s) * MS_PER_S
                self.results.max_lag_ms = max(self.results.max_lag_ms, lag_ms)
                tasks.create_task(self._send_with_retries(self._draw_request(phase, at_s)))

    async def _run_closed(self, loop: ClosedLoop) -> None:
        async with asyncio.TaskGroup() as tasks:
            for _ in range(loop.clients):
                tasks.create_task(self._run_client(loop))

    async def _run_client(self, loop: ClosedLoop) -> None:
        while self._elapsed_s() < loop.duration_s:
            await self._send_with_retries(self._draw_request("steady", self._elapsed_s()))
            pause_s = loop.draw_pause_s(self._rng)
            if pause_s:
                await asyncio.sleep(pause_s)

    async def _send_with_retries(self, request: _Request) -> None:
        """Send a request, with retries, until success, its deadline or the last attempt."""
        flow = request.flow
        attempts = 0
        while True:
            attempts += 1
            if attempts == 1 and self.spec.latency_from_send:
                request.arrived_s = self._elapsed_s()
            call = request.make_call(attempts)
            answer = await next(self._next_client).async_call(call, self._remaining_ms(request))
            kind = request.classify(answer)
            if kind == OK or attempts >= flow.retry.attempts:
                break
            await asyncio.sleep(_compute_retry_delay_s(flow, answer))
            remaining_ms = self._remaining_ms(request)
            if remaining_ms is not None and remaining_ms <= 0:
                break
        self._record(request, answer, kind, attempts)

    def _remaining_ms(self, request: _Request) -> int | None:
        deadline_ms = request.flow.deadline_ms
        if deadline_ms is None:
            return None
        elapsed_ms = (self._elapsed_s() - request.arrived_s) * MS_PER_S
        return max(0, int(deadline_ms + _DEADLINE_SLACK_MS - elapsed_ms))

    def _record(self, request: _Request, answer: Answer, kind: str, attempts: int) -> None:
        now_s = self._elapsed_s()
        outcome = Outcome(
            kind,
            answer.headers.get(_RESULT, str(answer.status)),
            answer.headers.get(_RUN, ""),
            attempts,
            (now_s - request.arrived_s) * MS_PER_S,
            "retry-after" in answer.headers,
        )
        flow = request.flow
        step = self.spec.find_step(now_s)
        self.results.add(flow.name, flow.account, flow.priority, request.phase, step, outcome)


def _compute_retry_delay_s(flow: Flow, answer: Answer) -> float:
    pause_s = flow.retry.delay_ms / MS_PER_S
    retry_after = answer.headers.get("retry-after", "")
    if flow.retry.heeds_retry_after and retry_after.isdigit():
        pause_s = max(pause_s, min(float(retry_after), _MAX_RETRY_AFTER_S))
    return pause_s


def _make_uuid7(rng: random.Random) -> int:
    """Return a UUIDv7 of the current time, with seeded random bits, as an integer."""
    timestamp_ms = time.time_ns() // 1_000_000
    high = (timestamp_ms << 16) | 0x7000 | rng.getrandbits(12)
    return (high << 64) | (0b10 << 62) | rng.getrandbits(62)


async def async_run_load(spec: LoadSpec) -> LoadResults:
    return await Load(spec).async_run()


def main(
    target: Annotated[
        list[str], typer.Option("--target", help="HOST:PORT to send requests to; may be repeated.")
    ],
    path: Annotated[
        str, typer.Option(help="Path; {n} is replaced by the number of the request.")
    ] = "/",
    method: Annotated[str, typer.Option(help="HTTP method.")] = "GET",
    key: Annotated[
        str, typer.Option(help="API key sent with the requests.", envvar="WISTERIA_KEY")
    ] = "",
    rate: Annotated[float, typer.Option(help="Open loop: requests per second.")] = 100.0,
    arrivals: Annotated[str, typer.Option(help="Open loop: poisson or constant.")] = "poisson",
    clients: Annotated[
        int, typer.Option(help="Number of closed-loop clients; 0 for an open loop.")
    ] = 0,
    seconds: Annotated[float, typer.Option(help="Duration in seconds.")] = 5.0,
    deadline_ms: Annotated[
        int, typer.Option(help="Deadline of each request, in milliseconds.")
    ] = 10_000,
    flows: Annotated[
        Path | None, typer.Option(help="JSON list of flows; replaces path, method and key.")
    ] = None,
    seed: Annotated[int, typer.Option(help="Seed of arrivals and flow choice.")] = 1,
) -> None:
    """Generate a load and print a table; the last line is a JSON object.

    Example: python -m wisteria_standins.load --target 127.0.0.1:8001 --path /stalls/{n}
    --rate 115 --seconds 10
    """
    chosen: tuple[Flow, ...] = (Flow("calls", path, method, key=key, deadline_ms=deadline_ms),)
    if flows is not None:
        rows = orjson.loads(flows.read_bytes())
        chosen = cattrs.Converter(forbid_extra_keys=True).structure(rows, tuple[Flow, ...])
    loop: OpenLoop | ClosedLoop = OpenLoop((Phase(seconds, rate),), arrivals)
    if clients:
        loop = ClosedLoop(clients, seconds)
    spec = LoadSpec(tuple(_parse_target(one) for one in target), chosen, loop, seed=seed)
    results = run_main(async_run_load(spec))
    typer.echo(render_table(results))
    typer.echo(orjson.dumps(results.describe()).decode())


def _parse_target(text: str) -> Target:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise typer.BadParameter(f"{text!r} is not HOST:PORT")
    try:
        return Target(int(port), host.strip("[]"))
    except ValueError as error:
        raise typer.BadParameter(str(error)) from error


if __name__ == "__main__":
    typer.run(main)
