"""A short soak with a fixed seed; script/mesh-soak plays longer ones."""

import argparse

import pytest
from script.tools.mesh_soak.__main__ import run

pytestmark = pytest.mark.anyio

KINDS = (
    "roll,reload,storm,release,reuse,crash,restart_same_id,kill,kill_all,freeze,store_503,"
    "store_reset"
)


async def test_rules_hold_while_processes_and_the_store_are_disturbed() -> None:
    """Guards against faults that only real processes on the real clock show."""
    options = argparse.Namespace(
        seed=20261205, seconds=40, daemons=8, zones=2, rate=60, kinds=KINDS, logs="", links=False
    )
    assert await run(options)
