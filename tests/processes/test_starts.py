"""A daemon starts at any moment: after a signal, beside its forerunner, with odd settings."""

import asyncio
import signal
import time
from pathlib import Path

import pytest

from .support import CALLERS, OPERATORS, START_LIMIT_S, Fleet, Machine

pytestmark = pytest.mark.anyio

LIBRARY_LOADED = "uvloop"
"""Part of the name of a library that the program imports before it can handle signals."""


async def wait_until_it_imports(machine: Machine) -> None:
    assert machine.process is not None
    maps = Path(f"/proc/{machine.process.pid}/maps")
    limit_s = time.monotonic() + START_LIMIT_S
    while LIBRARY_LOADED not in maps.read_text():  # noqa: ASYNC240
        assert time.monotonic() < limit_s
        await asyncio.sleep(0.001)


async def test_a_reload_during_the_start_does_not_end_the_process(fleet: Fleet) -> None:
    """Guards against SIGHUP with its default action, which ends a process that still imports."""
    fleet.publish()
    (machine,) = await fleet.add([("yield", "a")], is_ready=False)
    await wait_until_it_imports(machine)
    machine.send_signal(signal.SIGHUP)
    await fleet.wait_ready(machine)
    machine.send_signal(signal.SIGHUP)
    assert (await fleet.call(machine, "/yields/1")).status == 200
    assert machine.ends == []


async def test_a_stop_during_the_start_is_clean(fleet: Fleet) -> None:
    """Guards against SIGTERM with its default action, which skips the planned stop."""
    fleet.publish()
    (machine,) = await fleet.add([("yield", "a")], is_ready=False)
    await wait_until_it_imports(machine)
    assert await machine.stop(signal.SIGTERM) == 0
    assert machine.count_events("daemon_stopped") == 1


@pytest.mark.parametrize("port", [CALLERS, OPERATORS])
async def test_a_daemon_waits_for_a_port_in_use(fleet: Fleet, port: int) -> None:
    """Guards against a start that fails because the process before hasn't closed its port."""
    fleet.publish()
    forerunner = await asyncio.start_server(lambda reader, writer: None, fleet.host(10), port)
    async with forerunner:
        (machine,) = await fleet.add([("yield", "a")], is_ready=False)
        limit_s = time.monotonic() + START_LIMIT_S
        while not machine.count_events("port_in_use"):
            assert time.monotonic() < limit_s
            assert machine.ends == []
            await asyncio.sleep(0.05)
    await fleet.wait_ready(machine)
    assert (await fleet.call(machine, "/yields/1")).status == 200
    assert machine.ends == []


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"[vm",
        b"\xff\xfe",
        b"[bounds]\ngrace_s = 1" + b"0" * 400,
        b"a = " + b"[" * 5000,
        b"a = 1" + b"0" * 5000,
        b"[bounds]\nstrict_revocation = 1",
        b"[bounds]\nretry_slack = inf",
    ],
)
async def test_odd_settings_are_refused_and_the_daemon_goes_on(
    fleet: Fleet, content: bytes
) -> None:
    """Guards against a settings file that is read half written, or holds what no type can."""
    fleet.publish()
    (machine,) = await fleet.add([("yield", "a")])
    machine.settings.write_bytes(content)
    machine.send_signal(signal.SIGHUP)
    limit_s = time.monotonic() + START_LIMIT_S
    while not machine.count_events("settings_refused"):
        assert time.monotonic() < limit_s
        assert machine.ends == []
        await asyncio.sleep(0.05)
    machine.settings.unlink()
    machine.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.3)
    assert (await fleet.call(machine, "/yields/1")).status == 200
    assert machine.ends == []
