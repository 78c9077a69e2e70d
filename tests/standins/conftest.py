"""Shared fixtures: the loop, and what starts in-process stand-ins and stops them."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from wisteria_standins import Backend, Behaviour, Client, Platform


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture
def until() -> Callable[[Callable[[], bool]], Awaitable[None]]:
    """Return what waits until a condition on in-process state holds."""

    async def wait(is_true: Callable[[], bool]) -> None:
        async with asyncio.timeout(5):
            while not is_true():  # noqa: ASYNC110
                await asyncio.sleep(0.001)

    return wait


@pytest.fixture
async def platform() -> AsyncIterator[Platform]:
    found = Platform()
    await found.async_start()
    yield found
    await found.async_stop()


StartBackend = Callable[..., Awaitable[tuple[Backend, Client]]]


@pytest.fixture
async def start_backend() -> AsyncIterator[StartBackend]:
    started: list[tuple[Backend, Client]] = []

    async def start(behaviour: Behaviour, daemon_port: int = 0) -> tuple[Backend, Client]:
        backend = Backend(behaviour, daemon_port)
        client = Client(await backend.async_start())
        started.append((backend, client))
        return backend, client

    yield start
    for backend, client in started:
        client.close()
        await backend.async_stop()
