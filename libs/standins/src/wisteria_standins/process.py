"""Runs one stand-in as a process of its own until it is told to stop."""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol, TypeVar

os.environ.setdefault("UV_USE_IO_URING", "0")

import uvloop

Result = TypeVar("Result")


class Standin(Protocol):
    """What a stand-in's main object offers."""

    async def async_stop(self) -> None:
        """Stop listening and release everything."""


def run_until_stopped(start: Callable[[], Awaitable[Standin]]) -> None:
    """Start a stand-in on a new loop and stop it at SIGTERM or SIGINT."""
    uvloop.run(_run(start))


def run_main(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on a new loop and return its result."""
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
