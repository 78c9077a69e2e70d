"""Stand-in for the platform: publishes the configuration document and the VM list."""

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
    """Simulated fault in the responses to a reader.

    Parameters
    ----------
    down : bool
        Every read gets status 503.
    reset : bool
        Every connection is aborted without a response.
    stale : int
        Number of versions by which the served value lags behind the latest one.
    lag_ms : int
        Delay of each response, in milliseconds.
    """

    down: bool = False
    reset: bool = False
    stale: int = 0
    lag_ms: int = 0


NO_FAULT = Fault()


@attrs.define
class VersionedValue:
    """A published value with its recent versions and the event that watches wait for."""

    versions: deque[tuple[int, bytes]] = attrs.field(
        factory=lambda: deque(maxlen=MAX_HISTORY_VERSIONS)
    )
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, raw: bytes, version: int | None = None) -> int:
        """Publish `raw` as `version` (default: the next one) and notify the watches."""
        chosen = version if version is not None else self.version + 1
        self.versions.append((chosen, raw))
        self.notify_watches()
        return chosen

    def notify_watches(self) -> None:
        """Make each waiting watch check the value again."""
        self.changed.set()
        self.changed = asyncio.Event()

    @property
    def version(self) -> int:
        """Return the version published last; 0 before the first."""
        return self.versions[-1][0] if self.versions else 0

    def read(self, versions_behind: int = 0) -> tuple[int, bytes] | None:
        """Return version and content, `versions_behind` versions before the last."""
        if not self.versions:
            return None
        return self.versions[max(0, len(self.versions) - 1 - versions_behind)]


@attrs.define
class Counts:
    """Counters of reads; a watch counts as one read, however long it waits."""

    reads: int = 0
    watches: int = 0
    waiting: int = 0
    peak_waiting: int = 0
    by_reader: Counter[str] = attrs.field(factory=Counter)
    by_second: Counter[int] = attrs.field(factory=Counter)

    def count(self, reader: str, watch: bool) -> None:
        self.reads += 1
        self.watches += watch
        self.by_reader[reader] += 1
        self.by_second[int(asyncio.get_running_loop().time())] += 1

    def describe(self) -> dict[str, object]:
        return {
            "reads": self.reads,
            "watches": self.watches,
            "waiting": self.waiting,
            "peak_waiting": self.peak_waiting,
            "peak_reads_per_s": max(self.by_second.values(), default=0),
            "by_reader": dict(self.by_reader),
        }


class Platform:
    """HTTP server with the published values, simulated faults and read counters."""

    def __init__(self) -> None:
        self.values = {CONFIG: VersionedValue(), VMS: VersionedValue()}
        self.faults: dict[tuple[str, str], Fault] = {}
        self.counts = Counts()
        self.server = HttpServer(self._handle)

    async def async_start(self, host: str = LOOPBACK, port: int = 0) -> int:
        """Start to listen and return the port."""
        return await self.server.async_start(host, port)

    async def async_stop(self) -> None:
        """Stop listening and abort each connection."""
        await self.server.async_stop()

    def put_document(self, raw: bytes, version: int | None = None) -> int:
        """Publish a configuration document and return its version.

        `version` defaults to the version in the document, or else to the next one.
        """
        chosen = version if version is not None else read_version(raw)
        return self.values[CONFIG].put(raw, chosen)

    def put_vms(self, vms: VmList) -> int:
        """Publish a VM list as the version in it."""
        return self.values[VMS].put(render_vms(vms), vms.version)

    def set_fault(self, fault: Fault, resource: str = "", reader: str = ANY_READER) -> None:
        """Set the fault for reads of `resource` by `reader`; both default to all."""
        for name in [resource] if resource else list(self.values):
            self.faults[name, reader] = fault
            self.values[name].notify_watches()

    def find_fault(self, resource: str, reader: str) -> Fault:
        """Return the fault for `reader`; its own takes precedence over the common one."""
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
            return await self._respond(resource, reader)
        timeout_ms = int(query.get("timeout_ms", DEFAULT_WATCH_MS))
        newer = await self._wait_for_change(resource, reader, int(query["watch"]), timeout_ms)
        return await self._respond(resource, reader) if newer else Response(304)

    async def _respond(self, resource: str, reader: str) -> Response | None:
        fault = self.find_fault(resource, reader)
        if fault.lag_ms:
            await asyncio.sleep(fault.lag_ms / MS_PER_S)
        if fault.reset:
            return None
        entry = self.values[resource].read(fault.stale)
        if fault.down or entry is None:
            return respond_json({"error": "unavailable"}, 503)
        version, raw = entry
        etag = b'"%d"' % version
        headers = [(b"etag", etag), (HEADER_VERSION, b"%d" % version)]
        return Response(200, headers, raw)

    async def _wait_for_change(
        self, resource: str, reader: str, seen_version: int, timeout_ms: int
    ) -> bool:
        """Wait for a version after `seen_version`, or for a fault; return False on time-out."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_ms / MS_PER_S
        self.counts.waiting += 1
        self.counts.peak_waiting = max(self.counts.peak_waiting, self.counts.waiting)
        try:
            while not self._is_due(resource, reader, seen_version):
                remaining_s = end - loop.time()
                if remaining_s <= 0:
                    return False
                await _wait_event(self.values[resource].changed, remaining_s)
            return True
        finally:
            self.counts.waiting -= 1

    def _is_due(self, resource: str, reader: str, seen_version: int) -> bool:
        fault = self.find_fault(resource, reader)
        entry = self.values[resource].read(fault.stale)
        return fault.down or fault.reset or entry is None or entry[0] > seen_version


async def _wait_event(event: asyncio.Event, timeout_s: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return


def read_version(raw: bytes) -> int | None:
    """Return the version field of a JSON object, or None if it has no valid one."""
    try:
        version = orjson.loads(raw)["version"]
    except (ValueError, KeyError, TypeError):
        return None
    return version if type(version) is int else None


def render_vms(vms: VmList) -> bytes:
    """Return the VM list as the JSON that the platform publishes."""
    rows = [attrs.asdict(vm) | {"state": vm.state.value} for vm in vms]
    return orjson.dumps({"version": vms.version, "vms": rows})


def main(
    port: Annotated[int, typer.Option(help="TCP port on loopback; 0 picks a free one.")] = 0,
    document: Annotated[Path | None, typer.Option(help="Initial configuration document.")] = None,
    vms: Annotated[Path | None, typer.Option(help="Initial VM list, as JSON.")] = None,
) -> None:
    """Publish a configuration document and a VM list on loopback.

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
