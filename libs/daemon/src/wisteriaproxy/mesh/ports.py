"""Opens the ports of a daemon."""

import errno
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

_LOGGER = logging.getLogger(__name__)
_PORT_RETRY_S = 0.2
"""Interval at which a port that is in use is tried again: the process before may be ending."""


async def open_port(
    is_stopping: Callable[[], bool], setup: Callable[..., Awaitable[Any]], *address: Any
) -> None:
    """Start to listen; while the address is in use, try again until the daemon stops."""
    is_first = True
    while not is_stopping():
        try:
            await setup(*address)
            return
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
        if is_first:
            _LOGGER.warning("port_in_use", extra={"address": ":".join(map(str, address))})
        is_first = False
        await anyio.sleep(_PORT_RETRY_S)
