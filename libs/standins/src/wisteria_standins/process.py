"""Entry point of a stand-in process: event loop and stop signals."""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol, TypeVar

# libuv reads this when the event loop starts; the deployment platform forbids io_uring.
os.environ.setdefault("UV_USE_IO_URING", "0")

import uvloop

Result = TypeVar("Result")


class Standin(Protocol):
    """Interface of a stand-in server."""

    async def async_stop(self) -> None:
        """Stop listening and release all resources."""


def run_until_stopped(start: Callable[[], Awaitable[Standin]]) -> None:
    """Run a stand-in on a new event loop until SIGTERM or SIGINT."""
    uvloop.run(_run(start))


def run_main(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on a new event loop and return its result."""
    return uvloop.run(main)


async def _run(start: Callable[[], Awaitable[Standin]]) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    standin = await start()
    try:
        await stopped.wait()
    finally:
        await standin.async_stop()
