"""Shared fixtures: one event loop for each module, so that its tests can share a fleet."""

import pytest


@pytest.fixture(scope="module")
def anyio_backend() -> str:
    return "asyncio"
