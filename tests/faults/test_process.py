"""The daemon uses no child processes and no io_uring, which the platform forbids."""

import os
from pathlib import Path

import pytest
from script.tools.documents import RoutePlan

from wisteria_standins.fleet import Fleet
from wisteria_standins.fleet_spec import ServiceSpec

from .support import constant, make_spec, wait_served

pytestmark = pytest.mark.anyio


async def test_daemon_starts_no_process_and_makes_no_io_uring() -> None:
    spec = make_spec(
        (ServiceSpec("front", 1, constant(1.0)),), (RoutePlan("page", "front", "/page"),)
    )
    async with Fleet(spec) as fleet:
        await wait_served(fleet, "/page")
        process = Path("/proc") / str(fleet.daemons["front-1"].pid)
        descriptors = [os.readlink(one) for one in (process / "fd").iterdir()]
        assert not [name for name in descriptors if "io_uring" in name]
        children = (process / "task" / process.name / "children").read_text()
        assert children.split() == []
