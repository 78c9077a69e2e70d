"""Long-running tasks go on after a failure."""

import logging

import pytest

from wisteriaproxy.metrics import TASK_FAILURES, Counts
from wisteriaproxy.task_keeper import keep_running

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_a_failed_task_is_logged_counted_and_started_again(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against one failed task that ends the process, without its name in the log."""
    results = iter([ValueError("first"), ExceptionGroup("both", [OverflowError()]), None])
    handled: list[str] = []

    async def run() -> None:
        result = next(results)
        if result is not None:
            raise result

    failures = Counts(TASK_FAILURES)
    with caplog.at_level(logging.ERROR):
        await keep_running("source", run, failures, lambda: handled.append("failed"))
    assert failures.values == {("source",): 2}
    assert handled == ["failed", "failed"]
    records = [record for record in caplog.records if record.getMessage() == "task_failed"]
    assert [record.__dict__["task"] for record in records] == ["source", "source"]
    assert all(record.exc_info for record in records)
