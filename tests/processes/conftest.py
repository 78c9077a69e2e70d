"""Fixtures of the tests with real processes."""

from collections.abc import AsyncIterator

import pytest

from .support import Fleet


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    """Return a store without machines; the test adds them."""
    fleet = Fleet()
    await fleet.async_setup()
    yield fleet
    await fleet.async_unload()
