from typing import Any

import anyio
import attrs
import httpx
import pytest

from wisteriaproxy.audit import AuditTrail
from wisteriaproxy.metrics import (
    AUDIT_EVENTS,
    CALLS,
    GAUGES,
    MAX_SERIES,
    QUEUE_DEPTH,
    READY,
    Metrics,
)
from wisteriaproxy.operators import (
    OperatorApp,
    Readiness,
    async_setup_operators,
    async_unload_operators,
)


@attrs.define
class FakeDaemon:
    readiness: Readiness = attrs.field(default=Readiness(False, "no document yet"))
    drains: int = 0

    def describe_status(self) -> dict[str, Any]:
        return {"version": 7, "digest": "ab", "peers": [], "queues": {}}

    def check_ready(self) -> Readiness:
        return self.readiness

    def start_drain(self) -> None:
        self.drains += 1


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.anyio
async def test_operators_port_session() -> None:
    daemon = FakeDaemon()
    metrics = Metrics()
    audit = AuditTrail(counts=metrics.counter(AUDIT_EVENTS))
    audit.record("configuration", "document", "accepted", to_version=7)
    app = OperatorApp(daemon, metrics, audit)
    async with anyio.create_task_group() as tasks:
        operators = await async_setup_operators(tasks, "127.0.0.1", 0, app)
        base = f"http://127.0.0.1:{operators.port}"
        async with httpx.AsyncClient(base_url=base, trust_env=False) as client:
            got = {
                path: await client.get(path)
                for path in ("/status", "/health", "/ready", "/metrics", "/nowhere", "/drain")
            }
            assert {path: found.status_code for path, found in got.items()} == {
                "/status": 200,
                "/health": 200,
                "/ready": 503,
                "/metrics": 200,
                "/nowhere": 404,
                "/drain": 405,
            }
            assert got["/ready"].json() == {"ready": False, "reason": "no document yet"}
            assert got["/status"].json()["version"] == 7
            assert got["/metrics"].headers["content-type"].startswith("text/plain; version=0.0.4")
            expected_line = 'audit_events_total{kind="configuration",outcome="accepted"} 1'
            assert expected_line in got["/metrics"].text
            trail = (await client.get("/audit?kind=configuration&limit=5")).json()
            assert (trail["total"], trail["records"][0]["to_version"]) == (1, 7)
            assert (await client.get("/audit?limit=-1")).status_code == 400
            daemon.readiness = Readiness(True)
            assert (await client.get("/ready")).status_code == 200
            assert (await client.post("/drain")).status_code == 202
            assert daemon.drains == 1
            with anyio.fail_after(5):
                await async_unload_operators(operators)


@pytest.mark.anyio
async def test_taken_port_is_an_error_and_failures_are_contained() -> None:
    class FaultyDaemon(FakeDaemon):
        def describe_status(self) -> dict[str, Any]:
            raise RuntimeError("simulated failure")

    app = OperatorApp(FaultyDaemon(), Metrics(), AuditTrail())
    async with anyio.create_task_group() as tasks:
        operators = await async_setup_operators(tasks, "127.0.0.1", 0, app)
        with pytest.raises(OSError, match="in use"):
            await async_setup_operators(tasks, "127.0.0.1", operators.port, app)
        async with httpx.AsyncClient(trust_env=False) as client:
            base = f"http://127.0.0.1:{operators.port}"
            assert (await client.get(f"{base}/status")).status_code == 500
            assert (await client.get(f"{base}/health")).status_code == 200
        await async_unload_operators(operators)


def test_scrape_holds_counters_gauges_and_histogram() -> None:
    metrics = Metrics()
    for duration_ms in (0.5, 2, 40, 60_000):
        metrics.count_call("stall-status", "dairy", "0", duration_ms)
    metrics.set_gauge(READY, lambda: 1.0)
    metrics.set_gauge(QUEUE_DEPTH, lambda: [(("urgent",), 3), (("normal",), 4)])
    lines = metrics.render().decode().splitlines()
    for expected in (
        'wisteriaproxy_calls_total{account="dairy",code="0",route="stall-status"} 4',
        'wisteriaproxy_call_duration_seconds_bucket{le="0.002",route="stall-status"} 2.0',
        'wisteriaproxy_call_duration_seconds_bucket{le="+Inf",route="stall-status"} 4.0',
        'wisteriaproxy_call_duration_seconds_count{route="stall-status"} 4.0',
        "wisteriaproxy_ready 1.0",
        'wisteriaproxy_queue_depth_calls{priority="normal"} 4',
    ):
        assert expected in lines


def test_series_are_bounded_and_labels_cannot_break_a_line() -> None:
    metrics = Metrics()
    for number in range(MAX_SERIES + 50):
        metrics.count_call('a"\n', f"account-{number}", "0", 1)
    counts = metrics.counter(CALLS)
    assert len(counts.values) == MAX_SERIES + 1
    assert counts.values["other", "other", "other"] == 50
    assert all(
        line.startswith(("#", "wisteriaproxy_")) for line in metrics.render().decode().splitlines()
    )


def test_only_known_gauges_are_set() -> None:
    with pytest.raises(ValueError, match="calls_total"):
        Metrics().set_gauge(CALLS, lambda: 0.0)
    assert len({family.full_name for family in GAUGES}) == len(GAUGES)


@pytest.mark.anyio
@pytest.mark.parametrize("limit", ["\u00b2", "9" * 5_000])
async def test_a_limit_that_is_no_number_is_refused(limit: str) -> None:
    """Guards against a query that gets no answer because `int` refuses its digits."""
    metrics = Metrics()
    app = OperatorApp(FakeDaemon(), metrics, AuditTrail(counts=metrics.counter(AUDIT_EVENTS)))
    assert app._answer_audit({"limit": [limit]}).status == 400
    assert app._answer_audit({"limit": ["1"]}).status == 200
