"""Shared fixtures: the event loop and in-process stand-ins."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from wisteria_standins import Backend, Behaviour, Client, Platform


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture
def until() -> Callable[[Callable[[], bool]], Awaitable[None]]:
    """Return a function that waits until a condition on in-process state holds."""

    async def wait(condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(5):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.001)

    return wait


@pytest.fixture
async def platform() -> AsyncIterator[Platform]:
    server = Platform()
    await server.async_start()
    yield server
    await server.async_stop()


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
