"""What the log line of a call says of the way it took."""

import logging
from typing import Any

import pytest

from .support import Mesh, hold_answers, make_config, wait_until

pytestmark = pytest.mark.anyio


def find_ended(caplog: pytest.LogCaptureFixture) -> dict[str, Any]:
    (line,) = [record for record in caplog.records if record.getMessage() == "call_ended"]
    return line.__dict__


@pytest.fixture
def log(caplog: pytest.LogCaptureFixture) -> pytest.LogCaptureFixture:
    caplog.set_level(logging.INFO, "wisteriaproxy.entry")
    return caplog


async def test_a_call_names_the_process_that_it_was_sent_to(
    mesh: Mesh, log: pytest.LogCaptureFixture
) -> None:
    """Guards against a call at a wrong service whose destination no line tells."""
    mesh.publish(make_config(7))
    node = await mesh.add_node()
    await wait_until(lambda: node.daemon.is_ready() and len(node.daemon.vm_list or ()) == 1)
    assert (await mesh.call(node, "/yields/1")).status == 200
    line = find_ended(log)
    assert line["sent"] == f"{node.host}/yield/{node.upstream.instance}"
    assert line["config_version"] == 7


async def test_a_call_without_an_answer_names_the_process_that_it_was_sent_to(
    mesh: Mesh, log: pytest.LogCaptureFixture
) -> None:
    """Guards against a lost call whose destination no line tells."""
    mesh.publish(make_config())
    node = await mesh.add_node()
    await wait_until(lambda: node.daemon.is_ready() and len(node.daemon.vm_list or ()) == 1)
    released = hold_answers(node)
    assert (await mesh.call(node, "/yields/1", timeout_ms=200)).status == 504
    released.set()
    assert find_ended(log)["sent"] == f"{node.host}/yield/{node.upstream.instance}"


@pytest.mark.parametrize(
    ("path", "key", "status"), [("/none/1", "k" * 20, 404), ("/yields/1", "wrong", 401)]
)
async def test_a_call_that_no_route_or_key_allows_names_the_version(
    mesh: Mesh, log: pytest.LogCaptureFixture, path: str, key: str, status: int
) -> None:
    """Guards against a refusal by an outdated configuration that no line tells."""
    mesh.publish(make_config(7))
    node = await mesh.add_node()
    await wait_until(node.daemon.is_ready)
    found = await mesh.call(node, path, authorization=f"Bearer {key}")
    assert found.status == status
    assert find_ended(log)["config_version"] == 7
