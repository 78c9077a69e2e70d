import json
import random
from collections.abc import AsyncIterator

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wisteria_core import Clock, FailureDomain, Vm, VmId, VmList, VmState
from wisteria_standins.platform import Fault, Platform, render_vms
from wisteriaproxy.const import MAX_VALUE_BYTES
from wisteriaproxy.platform import (
    Backoff,
    DocumentRead,
    ListRead,
    NotModified,
    PlatformClient,
    ReadFailed,
    ReadResult,
    Resource,
    async_watch_platform,
    make_http_client,
    parse_vms,
)
from wisteriaproxy.settings import PlatformSettings, TimingSettings

LIST = VmList(
    3,
    (
        Vm(VmId("vm-1"), "127.0.0.1", 1, 2, FailureDomain("north"), "yield"),
        Vm(VmId("vm-2"), "127.0.0.1", 3, 4, FailureDomain("south"), "yield", VmState.LEAVING),
    ),
)
TIMING = TimingSettings(watch_timeout_ms=100, read_timeout_ms=1_000)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture
async def platform() -> AsyncIterator[Platform]:
    found = Platform()
    await found.async_start()
    yield found
    await found.async_stop()


@pytest.fixture
async def clients(platform: Platform) -> AsyncIterator[dict[Resource, PlatformClient]]:
    base = f"http://127.0.0.1:{platform.server.port}/v1"
    urls = {Resource.DOCUMENT: f"{base}/config", Resource.VMS: f"{base}/vms"}
    platform_settings = PlatformSettings(
        config_url=urls[Resource.DOCUMENT], vms_url=urls[Resource.VMS]
    )
    async with make_http_client(platform_settings, "vm-1") as http:
        yield {
            resource: PlatformClient(resource, url, TIMING, http) for resource, url in urls.items()
        }


@pytest.mark.anyio
async def test_reads_and_watches(
    platform: Platform, clients: dict[Resource, PlatformClient]
) -> None:
    platform.put_document(b"one", 7)
    platform.put_vms(LIST)
    document, vms = clients[Resource.DOCUMENT], clients[Resource.VMS]
    assert await document.async_read() == DocumentRead(b"one", 7)
    assert await vms.async_read() == ListRead(LIST)
    assert await document.async_watch(7) == NotModified(Resource.DOCUMENT, 7)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_expect_watch, document, DocumentRead(b"two", 8))
        await anyio.wait_all_tasks_blocked()
        platform.put_document(b"two", 8)
    assert platform.counts.by_reader == {"vm-1": 4}


async def _expect_watch(client: PlatformClient, expected: ReadResult) -> None:
    assert await client.async_watch(7) == expected


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("fault", "reason"),
    [(Fault(down=True), "status 503"), (Fault(reset=True), ""), (Fault(lag_ms=1_500), "Timeout")],
)
async def test_faults_are_values(
    platform: Platform, clients: dict[Resource, PlatformClient], fault: Fault, reason: str
) -> None:
    platform.put_document(b"one", 1)
    platform.set_fault(fault, reader="vm-1")
    found = await clients[Resource.DOCUMENT].async_read()
    assert isinstance(found, ReadFailed)
    assert reason in found.reason


@pytest.mark.anyio
async def test_oversized_and_malformed_values_are_refused(
    platform: Platform, clients: dict[Resource, PlatformClient]
) -> None:
    platform.put_document(b"x" * (MAX_VALUE_BYTES + 1), 1)
    platform.values["vms"].put(b"[]", 1)
    assert isinstance(await clients[Resource.DOCUMENT].async_read(), ReadFailed)
    assert isinstance(await clients[Resource.VMS].async_read(), ReadFailed)


@pytest.mark.anyio
async def test_watch_task_reports_each_version_and_backs_off(
    platform: Platform, clients: dict[Resource, PlatformClient]
) -> None:
    platform.put_document(b"one", 1)
    send, receive = anyio.create_memory_object_stream[ReadResult](10)
    backoff = Backoff(1, 2, random.Random(1))
    with receive, send, anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            client = clients[Resource.DOCUMENT]
            tasks.start_soon(async_watch_platform, client, send, backoff, Clock())
            assert await receive.receive() == DocumentRead(b"one", 1)
            platform.put_document(b"two", 2)
            assert await receive.receive() == DocumentRead(b"two", 2)
            platform.set_fault(Fault(down=True))
            assert isinstance(await receive.receive(), ReadFailed)
            assert isinstance(await receive.receive(), ReadFailed)
            platform.put_document(b"three", 3)
            platform.set_fault(Fault())
            while (found := await receive.receive()) != DocumentRead(b"three", 3):
                assert isinstance(found, ReadFailed)
            tasks.cancel_scope.cancel()


@settings(derandomize=True, deadline=None)
@given(st.integers(1, 1_000), st.integers(1, 10_000), st.integers())
def test_backoff_stays_within_bounds(first_ms: int, max_ms: int, seed: int) -> None:
    backoff = Backoff(first_ms, max_ms, random.Random(seed))
    for failure in range(30):
        bound = min(max_ms, first_ms * 2**failure)
        assert bound // 2 <= backoff.next_ms() <= bound


_FIELDS = st.sampled_from(["vm_id", "host", "peer_port", "failure_domain", "state", "vms"])


@settings(derandomize=True, deadline=None)
@given(_FIELDS, st.one_of(st.none(), st.integers(), st.text(max_size=3), st.just([])))
def test_any_broken_list_is_named(field: str, value: object) -> None:
    content = json.loads(render_vms(LIST))
    target = content if field == "vms" else content["vms"][0]
    target[field] = value
    found = parse_vms(json.dumps(content).encode())
    assert isinstance(found, str | VmList)
    if not isinstance(value, type(json.loads(render_vms(LIST))["vms"][0].get(field, []))):
        assert isinstance(found, str)


@pytest.mark.anyio
@pytest.mark.parametrize("version", ["", "x", "\u00b2", "9" * 5_000])
async def test_a_version_that_is_no_number_is_a_failed_read(version: str) -> None:
    """Guards against an answer of the platform that ends the task that reads it."""
    async with make_http_client(PlatformSettings(config_url="", vms_url=""), "vm-1") as http:
        client = PlatformClient(Resource.DOCUMENT, "http://127.0.0.1:1/", TIMING, http)
        assert isinstance(client._parse(b"{}", version), ReadFailed)
        assert client._parse(b"{}", "7") == DocumentRead(b"{}", 7)
