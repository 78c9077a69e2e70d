"""Fixtures of the tests with real processes."""

from collections.abc import AsyncIterator

import pytest

from .links import LinkedFleet
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


@pytest.fixture
async def linked_fleet() -> AsyncIterator[LinkedFleet]:
    """Return a fleet whose links between daemons can go silent."""
    fleet = LinkedFleet()
    await fleet.async_setup()
    yield fleet
    await fleet.async_unload()
