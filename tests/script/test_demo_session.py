"""The steps of the demo match the stored snapshot."""

import re

import pytest
from script.tools.demo import Step, run_demo
from syrupy.assertion import SnapshotAssertion

# parts that vary between runs: times, numbers of VMs, how many calls of a burst are admitted, and
# whether a call was in flight when its key was withdrawn
VARIABLE_PARTS = (
    (re.compile(r"\d+\.\d+ s\b"), "<time> s"),
    (re.compile(r"Retry-After \d+ s"), "Retry-After <time> s"),
    (re.compile(r"^\d+ of (\d+) answered"), r"<some> of \1 answered"),
    (re.compile(r"401, code (201, not-run|202, unknown) after"), "401 after"),
    (re.compile(r"'(\w+)-\d+'"), r"'\1-<number>'"),
)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def format_step(step: Step) -> str:
    result = step.result
    for pattern, replacement in VARIABLE_PARTS:
        result = pattern.sub(replacement, result)
    return f"{step.action}: {result}: {'holds' if step.holds else 'DOES NOT HOLD'}"


@pytest.mark.anyio
async def test_demo_session(snapshot: SnapshotAssertion) -> None:
    steps = await run_demo()
    assert "\n".join(format_step(step) for step in steps) == snapshot
