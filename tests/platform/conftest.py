"""Fixtures of the platform tests: a store, backend servers and daemons on loopback."""

from collections.abc import AsyncIterator

import pytest

from .support import Mesh


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@pytest.fixture
async def mesh() -> AsyncIterator[Mesh]:
    """Return a mesh without VMs; the test adds them."""
    mesh = Mesh()
    await mesh.async_setup()
    yield mesh
    await mesh.async_unload()
