"""Stand-in of the platform: publishes the configuration document and the list of VMs."""

import asyncio
from collections import Counter, deque
from pathlib import Path
from typing import Annotated

import attrs
import orjson
import typer

from wisteria_core import VmList

from .const import (
    DEFAULT_WATCH_MS,
    HEADER_VERSION,
    HEADER_VM,
    LOOPBACK,
    MAX_HISTORY_VERSIONS,
    MS_PER_S,
    PATH_CONFIG,
    PATH_CONTROL,
    PATH_VMS,
)
from .http import HttpServer, Request, Response, respond_json
from .process import run_until_stopped

ANY_READER = "*"
CONFIG = "config"
VMS = "vms"


@attrs.frozen
class Fault:
    """How the platform misbehaves towards a reader.

    Parameters
    ----------
    down : bool
        Every read is answered by status 503.
    reset : bool
        Every read is cut without an answer.
    stale : int
        Versions by which what is served lies behind.
    lag_ms : int
        Time that each answer is held back, in milliseconds.
    """

    down: bool = False
    reset: bool = False
    stale: int = 0
    lag_ms: int = 0


NO_FAULT = Fault()


@attrs.define
class Published:
    """One published value with its latest versions, and the watches that wait for the next."""

    versions: deque[tuple[int, bytes]] = attrs.field(
        factory=lambda: deque(maxlen=MAX_HISTORY_VERSIONS)
    )
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, raw: bytes, version: int | None = None) -> int:
        """Publish `raw` under `version`, by default the next one, and wake the watches."""
        chosen = version if version is not None else self.version + 1
        self.versions.append((chosen, raw))
        self.wake()
        return chosen

    def wake(self) -> None:
        """Let each waiting watch look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    @property
    def version(self) -> int:
        """Return the version that was put last; 0 before the first."""
        return self.versions[-1][0] if self.versions else 0

    def read(self, behind: int = 0) -> tuple[int, bytes] | None:
        """Return version and bytes, `behind` versions before the last."""
        if not self.versions:
            return None
        return self.versions[max(0, len(self.versions) - 1 - behind)]


@attrs.define
class Counts:
    """What the readers cost: each call counts, and a waiting watch as one."""

    reads: int = 0
    watches: int = 0
    waiting: int = 0
    peak_waiting: int = 0
    by_reader: Counter[str] = attrs.field(factory=Counter)
    by_second: Counter[int] = attrs.field(factory=Counter)

    def count(self, reader: str, watch: bool) -> None:
        """Count one read by `reader`."""
        self.reads += 1
        self.watches += watch
        self.by_reader[reader] += 1
        self.by_second[int(asyncio.get_running_loop().time())] += 1

    def describe(self) -> dict[str, object]:
        """Return the counts as plain data."""
        return {
            "reads": self.reads,
            "watches": self.watches,
            "waiting": self.waiting,
            "peak_waiting": self.peak_waiting,
            "peak_reads_per_s": max(self.by_second.values(), default=0),
            "by_reader": dict(self.by_reader),
        }


class Platform:
    """The platform's published values, its faults and its counts, behind one HTTP server."""

    def __init__(self) -> None:
        self.values = {CONFIG: Published(), VMS: Published()}
        self.faults: dict[tuple[str, str], Fault] = {}
        self.counts = Counts()
        self.server = HttpServer(self._handle)

    async def async_start(self, host: str = LOOPBACK, port: int = 0) -> int:
        """Listen, and return the port."""
        return await self.server.async_start(host, port)

    async def async_stop(self) -> None:
        """Stop listening and cut each reader."""
        await self.server.async_stop()

    def put_document(self, raw: bytes, version: int | None = None) -> int:
        """Publish a configuration document and return its version.

        Without `version` it is the one that stands in the document, else the next.
        """
        chosen = version if version is not None else read_version(raw)
        return self.values[CONFIG].put(raw, chosen)

    def put_vms(self, vms: VmList) -> int:
        """Publish a list of VMs under its own version."""
        return self.values[VMS].put(render_vms(vms), vms.version)

    def set_fault(self, fault: Fault, resource: str = "", reader: str = ANY_READER) -> None:
        """Set how reads of `resource` (all by default) by `reader` (all by default) fail."""
        for name in [resource] if resource else list(self.values):
            self.faults[name, reader] = fault
            self.values[name].wake()

    def fault_for(self, resource: str, reader: str) -> Fault:
        """Return the fault that `reader` meets; its own goes before the common one."""
        common = self.faults.get((resource, ANY_READER), NO_FAULT)
        return self.faults.get((resource, reader), common)

    async def _handle(self, request: Request) -> Response | None:
        match request.method, request.path:
            case "GET", "/v1/config":
                return await self._read(CONFIG, request)
            case "GET", "/v1/vms":
                return await self._read(VMS, request)
            case "PUT", "/control/document":
                return self._control_put(CONFIG, request)
            case "PUT", "/control/vms":
                return self._control_put(VMS, request)
            case "POST", "/control/fault":
                return self._control_fault(request)
            case "GET", "/control/counts":
                return respond_json(self.counts.describe())
            case _:
                return respond_json({"error": "no such path"}, 404)

    def _control_put(self, resource: str, request: Request) -> Response:
        version = request.query.get("version")
        chosen = int(version) if version else None
        if chosen is None:
            chosen = read_version(bytes(request.body))
        return respond_json({"version": self.values[resource].put(bytes(request.body), chosen)})

    def _control_fault(self, request: Request) -> Response:
        fields = request.json()
        resource = fields.pop("resource", "")
        readers = fields.pop("readers", [ANY_READER])
        for reader in readers:
            self.set_fault(Fault(**fields), resource, reader)
        return respond_json({"readers": readers})

    async def _read(self, resource: str, request: Request) -> Response | None:
        query = request.query
        reader = request.header(HEADER_VM) or "unnamed"
        watch = "watch" in query
        self.counts.count(reader, watch)
        if not watch:
            return await self._answer(resource, reader)
        timeout_ms = int(query.get("timeout_ms", DEFAULT_WATCH_MS))
        newer = await self._wait(resource, reader, int(query["watch"]), timeout_ms)
        return await self._answer(resource, reader) if newer else Response(304)

    async def _answer(self, resource: str, reader: str) -> Response | None:
        fault = self.fault_for(resource, reader)
        if fault.lag_ms:
            await asyncio.sleep(fault.lag_ms / MS_PER_S)
        if fault.reset:
            return None
        found = self.values[resource].read(fault.stale)
        if fault.down or found is None:
            return respond_json({"error": "unavailable"}, 503)
        version, raw = found
        etag = b'"%d"' % version
        headers = [(b"etag", etag), (HEADER_VERSION, b"%d" % version)]
        return Response(200, headers, raw)

    async def _wait(self, resource: str, reader: str, seen: int, timeout_ms: int) -> bool:
        """Return True when an answer other than "no news" is due before the time is over."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_ms / MS_PER_S
        self.counts.waiting += 1
        self.counts.peak_waiting = max(self.counts.peak_waiting, self.counts.waiting)
        try:
            while not self._is_due(resource, reader, seen):
                left = end - loop.time()
                if left <= 0:
                    return False
                await _wait_event(self.values[resource].changed, left)
            return True
        finally:
            self.counts.waiting -= 1

    def _is_due(self, resource: str, reader: str, seen: int) -> bool:
        fault = self.fault_for(resource, reader)
        found = self.values[resource].read(fault.stale)
        return fault.down or fault.reset or found is None or found[0] > seen


async def _wait_event(event: asyncio.Event, timeout_s: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return


def read_version(raw: bytes) -> int | None:
    """Return the version that stands in a JSON value, or None when there is none."""
    try:
        version = orjson.loads(raw)["version"]
    except (ValueError, KeyError, TypeError):
        return None
    return version if type(version) is int else None


def render_vms(vms: VmList) -> bytes:
    """Return the list as the JSON that the platform publishes."""
    rows = [attrs.asdict(vm) | {"state": vm.state.value} for vm in vms]
    return orjson.dumps({"version": vms.version, "vms": rows})


def main(
    port: Annotated[int, typer.Option(help="TCP port on loopback; 0 takes a free one.")] = 0,
    document: Annotated[Path | None, typer.Option(help="First configuration document.")] = None,
    vms: Annotated[Path | None, typer.Option(help="First list of VMs, as JSON.")] = None,
) -> None:
    """Publish a configuration document and a list of VMs on loopback.

    Readers use GET /v1/config and GET /v1/vms, with ?watch=VERSION&timeout_ms=N to wait for a
    later version. Tests use PUT /control/document, PUT /control/vms, POST /control/fault and
    GET /control/counts.
    """
    platform = Platform()
    if document is not None:
        platform.put_document(document.read_bytes())
    if vms is not None:
        raw = vms.read_bytes()
        platform.values[VMS].put(raw, read_version(raw))
    run_until_stopped(lambda: _start(platform, port))


async def _start(platform: Platform, port: int) -> Platform:
    chosen = await platform.async_start(port=port)
    typer.echo(f"event=listening standin=platform port={chosen} paths={PATH_CONFIG},{PATH_VMS}")
    typer.echo(f"event=control prefix={PATH_CONTROL}")
    return platform


if __name__ == "__main__":
    typer.run(main)
