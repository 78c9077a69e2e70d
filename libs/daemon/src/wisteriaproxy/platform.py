"""Reads and watches the published configuration document and VM list."""

import enum
import json
import logging
import random
from typing import Any

import anyio
import attrs
from anyio.streams.memory import MemoryObjectSendStream

from wisteria_core import Clock, FailureDomain, Vm, VmId, VmList, VmState, parse_digits

from .const import MAX_VALUE_BYTES
from .httpx_slim import httpx
from .metrics import PLATFORM_READS, Counts
from .settings import PlatformSettings, TimingSettings

_LOGGER = logging.getLogger(__name__)

HEADER_VERSION = "x-version"
HEADER_VM = "wisteria-vm"
MS_PER_S = 1_000.0
STATUS_OK = 200
STATUSES_NOT_MODIFIED = (204, 304)


class Resource(enum.Enum):
    """Resource that the platform publishes."""

    DOCUMENT = "document"
    VMS = "vms"


@attrs.frozen
class DocumentRead:
    """Configuration document as read from the platform; not validated yet.

    Parameters
    ----------
    raw : bytes
        Encoded document.
    version : int
        Version that the platform published it under.
    """

    raw: bytes
    version: int


@attrs.frozen
class ListRead:
    """List of VMs as read from the platform."""

    vms: VmList


@attrs.frozen
class NotModified:
    """A watch ended without a later version, which confirms that the known one is current.

    Parameters
    ----------
    resource : Resource
        Resource that was watched.
    version : int
        Latest version.
    """

    resource: Resource
    version: int


@attrs.frozen
class ReadFailed:
    """A failed read."""

    resource: Resource
    reason: str


ReadResult = DocumentRead | ListRead | NotModified | ReadFailed


@attrs.define
class Backoff:
    """Exponential backoff after failed reads, with jitter over the upper half of the delay.

    Parameters
    ----------
    first_ms, max_ms : int
        First and maximum delay before jitter, in milliseconds.
    rng : random.Random
        Source of the jitter.
    """

    first_ms: int
    max_ms: int
    rng: random.Random
    failures: int = 0

    def next_ms(self) -> int:
        """Record a failure; return the delay before the next read, in milliseconds."""
        bound = min(self.max_ms, self.first_ms << min(self.failures, 20))
        self.failures += 1
        return bound // 2 + self.rng.randint(0, bound - bound // 2)

    def reset(self) -> None:
        self.failures = 0


def parse_vms(raw: bytes) -> VmList | str:
    """Return the list of VMs parsed from JSON, or the description of an error in it."""
    try:
        fields = json.loads(raw)
        vms = tuple(_parse_vm(row) for row in fields["vms"])
        version = _require(fields["version"], int)
    except KeyError as error:
        return f"the list of VMs has no field {error}"
    except (ValueError, TypeError, RecursionError) as error:
        return f"the list of VMs is malformed: {error}"
    if len({vm.vm_id for vm in vms}) < len(vms):
        return "the list of VMs contains a VM more than once"
    return VmList(version, vms)


def _parse_vm(row: dict[str, Any]) -> Vm:
    return Vm(
        vm_id=VmId(_require(row["vm_id"], str)),
        host=_require(row["host"], str),
        peer_port=_require(row["peer_port"], int),
        caller_port=_require(row["caller_port"], int),
        failure_domain=FailureDomain(_require(row["failure_domain"], str)),
        service=_require(row["service"], str),
        state=VmState(row.get("state", VmState.LIVE.value)),
    )


def _require(value: Any, expected_type: type) -> Any:
    if type(value) is not expected_type:
        raise TypeError(f"{value!r} is not of type {expected_type.__name__}")
    return value


def make_http_client(platform: PlatformSettings, vm_id: str) -> httpx.AsyncClient:
    """Return the HTTP client for both resources; the caller has to close it.

    CA certificates are loaded only if one of the URLs uses HTTPS.

    Parameters
    ----------
    platform : PlatformSettings
        URLs of the resources.
    vm_id : str
        Name of this VM, sent in a header so that the platform can tell its readers apart.
    """
    uses_tls = any(url.startswith("https:") for url in (platform.config_url, platform.vms_url))
    return httpx.AsyncClient(
        headers={HEADER_VM: vm_id}, verify=uses_tls, trust_env=False, follow_redirects=False
    )


@attrs.define
class PlatformClient:
    """Client for one resource of the platform; see `make_http_client`."""

    resource: Resource
    _url: str
    _timing: TimingSettings
    _http: httpx.AsyncClient
    counts: Counts = attrs.field(factory=lambda: Counts(PLATFORM_READS))

    async def async_read(self) -> ReadResult:
        return await self._async_get({}, self._timing.read_timeout_ms)

    async def async_watch(self, version: int, wait_ms: int | None = None) -> ReadResult:
        """Wait until a version later than `version` is published or the watch times out.

        Parameters
        ----------
        wait_ms : int, optional
            Timeout of the watch; `TimingSettings.watch_timeout_ms` by default.
        """
        watch_ms = self._timing.watch_timeout_ms if wait_ms is None else wait_ms
        params = {"watch": str(version), "timeout_ms": str(watch_ms)}
        result = await self._async_get(params, watch_ms + self._timing.read_timeout_ms)
        return NotModified(self.resource, version) if result is _NOT_MODIFIED else result

    async def _async_get(self, params: dict[str, str], timeout_ms: int) -> ReadResult:
        try:
            with anyio.fail_after(timeout_ms / MS_PER_S):
                result = await self._async_stream(params, timeout_ms)
        except (httpx.HTTPError, TimeoutError) as error:
            result = self._fail(f"{type(error).__name__} {error}".strip())
        self.counts.add((self.resource.value, _name_outcome(result)))
        return result

    async def _async_stream(self, params: dict[str, str], timeout_ms: int) -> ReadResult:
        timeout = httpx.Timeout(self._timing.read_timeout_ms / MS_PER_S, read=timeout_ms / MS_PER_S)
        async with self._http.stream("GET", self._url, params=params, timeout=timeout) as response:
            if response.status_code in STATUSES_NOT_MODIFIED:
                return _NOT_MODIFIED
            if response.status_code != STATUS_OK:
                return self._fail(f"status {response.status_code}")
            body = bytearray()
            async for chunk in response.aiter_bytes():
                body += chunk
                if len(body) > MAX_VALUE_BYTES:
                    return self._fail(f"response is larger than {MAX_VALUE_BYTES} bytes")
            return self._parse(bytes(body), response.headers.get(HEADER_VERSION, ""))

    def _parse(self, raw: bytes, version: str) -> ReadResult:
        match self.resource:
            case Resource.DOCUMENT:
                number = parse_digits(version)
                if number is None:
                    return self._fail(f"header {HEADER_VERSION} is not a whole number")
                return DocumentRead(raw, number)
            case Resource.VMS:
                vms = parse_vms(raw)
                return ListRead(vms) if isinstance(vms, VmList) else self._fail(vms)

    def _fail(self, reason: str) -> ReadFailed:
        return ReadFailed(self.resource, reason)


def _name_outcome(result: ReadResult) -> str:
    match result:
        case NotModified():
            return "unchanged"
        case ReadFailed():
            return "failed"
        case _:
            return "read"


_NOT_MODIFIED = NotModified(Resource.DOCUMENT, -1)


async def async_watch_platform(
    client: PlatformClient,
    results: MemoryObjectSendStream[ReadResult],
    backoff: Backoff,
    clock: Clock,
    seen: int = -1,
) -> None:
    """Watch one resource until cancelled, and send each result to `results`.

    A failed read is sent as `ReadFailed`. A version that is not later than the last one seen
    is sent as well; the receiver decides whether to use it. After either, and after a watch
    that returned at once without a later version, the task waits for the backoff delay.

    Parameters
    ----------
    seen : int
        Last known version, which the first watch starts from; -1 reads without waiting.
    """
    while True:
        started_ms = clock.now_ms()
        result = await (client.async_watch(seen) if seen >= 0 else client.async_read())
        await results.send(result)
        match result:
            case DocumentRead(_, version) | ListRead(VmList(version, _)):
                is_useful = version > seen
                seen = max(seen, version)
            case NotModified():
                is_useful = clock.now_ms() - started_ms >= backoff.first_ms
            case ReadFailed(resource, reason):
                is_useful = False
                _LOGGER.info(
                    "platform_read_failed", extra={"resource": resource.value, "reason": reason}
                )
        if is_useful:
            backoff.reset()
        else:
            await anyio.sleep(backoff.next_ms() / MS_PER_S)
