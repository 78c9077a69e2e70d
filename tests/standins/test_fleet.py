import signal
import sys
from pathlib import Path

import psutil  # type: ignore[import-untyped]
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wisteria_standins import (
    Baseline,
    Behaviour,
    Call,
    ChildCall,
    Fleet,
    FleetError,
    FleetSpec,
    Rule,
    ServiceSpec,
    ServiceTime,
)
from wisteria_standins.certificates import CertificateAuthority
from wisteria_standins.content import BLOCK_BYTES, read_content
from wisteria_standins.fleet_spec import plan_nodes, render_settings
from wisteria_standins.managed import ManagedProcess
from wisteria_standins.ports import PortReservations
from wisteriaproxy.settings import Settings, parse_settings

INSTANT = Rule(service=ServiceTime("constant", 0))


@pytest.mark.anyio
async def test_baseline_fleet_runs_a_chain_and_leaves_no_process() -> None:
    parent = Rule(service=ServiceTime("constant", 0), children=(ChildCall("/child"),))
    spec = FleetSpec(
        (
            ServiceSpec("front", 2, Behaviour(rules=(parent,))),
            ServiceSpec("back", 1, Behaviour(rules=(INSTANT,))),
        ),
        domains=("north", "south"),
        baseline=Baseline({"/": "front", "/child": "back"}),
    )
    async with Fleet(spec) as fleet:
        answer = await fleet.async_call("back-1", Call("GET", "/page?echo=1"))
        assert b'"echo":"1"' in answer.body
        assert (await fleet.async_runs("back-1"))["started"] == 1
        await fleet.async_mark_leaving("front-2")
        vms = await fleet.async_get(fleet.platform_port, "/v1/vms")
        assert vms.body.count(b"leaving") == 1
        with pytest.raises(RuntimeError, match="is still running"):
            await fleet.async_mark_gone("front-2")
        await fleet.async_kill("front-2")
        assert fleet.daemons["front-2"].exit_status == -signal.SIGKILL
        await fleet.async_mark_gone("front-2")
        await fleet.async_restart("front-2")
        children = [one.pid for one in psutil.Process().children()]
        assert len(children) == 7
        statuses = await fleet.async_stop()
    assert set(statuses.values()) == {0}
    assert not any(psutil.pid_exists(pid) for pid in children)
    assert not fleet.folder.exists()


@pytest.mark.anyio
async def test_start_failure_names_the_process_and_cleans_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("wisteria_standins.fleet._DAEMON_PROGRAM", "absent-program")
    before = len(psutil.Process().children())
    with pytest.raises(FleetError, match=r"front-1 exited unexpectedly:\n.*absent-program"):
        async with Fleet(FleetSpec((ServiceSpec("front"),))):
            pass
    assert len(psutil.Process().children()) == before


@pytest.mark.anyio
async def test_process_that_ignores_sigterm_is_killed(tmp_path: Path) -> None:
    script = "import signal,time\nsignal.signal(15, signal.SIG_IGN)\nprint('up', flush=True)\n"
    command = (sys.executable, "-c", script + "time.sleep(60)")
    process = ManagedProcess("stubborn", command, tmp_path / "log")
    await process.async_start()
    while "up" not in process.read_log():
        assert await process.async_wait(0.01) is None
    assert await process.async_stop(0.05) == -signal.SIGKILL


def test_daemon_accepts_the_settings(tmp_path: Path) -> None:
    spec = FleetSpec((ServiceSpec("front", 3),), domains=("a", "b"), timing={"poll_ms": 100})
    ports = PortReservations()
    nodes = plan_nodes(spec, ports.take)
    authority = CertificateAuthority()
    authority.write_certificate(tmp_path / "ca.pem")
    authority.write_identity(tmp_path, nodes[0].vm_id)
    parsed = parse_settings(render_settings(nodes[0], spec, 9, tmp_path), tmp_path)
    assert isinstance(parsed, Settings), str(parsed)
    assert (parsed.vm.id, parsed.timing.poll_ms) == ("front-1", 100)
    assert [node.vm.failure_domain for node in nodes] == ["a", "b", "a"]
    taken = [node.vm.caller_port for node in nodes]
    assert len({*taken, ports.take()}) == 4
    ports.release()


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.integers(0, 3 * BLOCK_BYTES), st.integers(0, BLOCK_BYTES))
def test_content_does_not_depend_on_the_read_offset(start: int, length: int) -> None:
    whole = read_content(7, 0, start + length)
    assert read_content(7, start, length) == whole[start:]
