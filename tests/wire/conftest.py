"""Shared fixtures of the wire tests."""

from collections.abc import Awaitable, Callable

import anyio
import pytest


@pytest.fixture
def run_loop() -> Callable[[Callable[[], Awaitable[None]]], None]:
    """Return a function that runs an asynchronous test body on uvloop, as the daemon does."""

    def run(body: Callable[[], Awaitable[None]]) -> None:
        anyio.run(body, backend_options={"use_uvloop": True})

    return run
