"""The demo's whole session, against its golden transcript."""

import re

import pytest
from script.tools.demo import Step, run_demo
from syrupy.assertion import SnapshotAssertion

# what legitimately varies: times, how many calls of a burst find a token, and whether a call
# was under way when its key was withdrawn
VARYING = (
    (re.compile(r"\d+\.\d+ s\b"), "<time> s"),
    (re.compile(r"Retry-After \d+ s"), "Retry-After <time> s"),
    (re.compile(r"^\d+ of (\d+) answered"), r"<some> of \1 answered"),
    (re.compile(r"401, code (201, not-run|202, unknown) after"), "401 after"),
    (re.compile(r"'(\w+)-\d+'"), r"'\1-<number>'"),
)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def write_line(step: Step) -> str:
    result = step.result
    for pattern, replacement in VARYING:
        result = pattern.sub(replacement, result)
    return f"{step.action}: {result}: {'holds' if step.holds else 'DOES NOT HOLD'}"


@pytest.mark.anyio
async def test_demo_session(snapshot: SnapshotAssertion) -> None:
    steps = await run_demo()
    assert "\n".join(write_line(step) for step in steps) == snapshot
