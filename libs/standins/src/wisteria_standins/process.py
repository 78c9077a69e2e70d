"""Runs one stand-in as a process of its own until it is told to stop."""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable
from typing import Protocol

os.environ.setdefault("UV_USE_IO_URING", "0")

import uvloop


class Standin(Protocol):
    """What a stand-in's main object offers."""

    async def async_stop(self) -> None:
        """Stop listening and release everything."""


def run_until_stopped(start: Callable[[], Awaitable[Standin]]) -> None:
    """Start a stand-in on a new loop and stop it at SIGTERM or SIGINT."""
    uvloop.run(_run(start))


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
