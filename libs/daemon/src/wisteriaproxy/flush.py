"""Waits at a stop until callers and peers have what was written for them."""

from collections.abc import Callable

import anyio

from wisteria_wire import LinkPool

from .callers import CallerListener

_POLL_S = 0.01
_CLOSE_LIMIT_S = 0.2
"""Time for peers to close their end: a few round trips and one iteration of a busy event loop."""


async def wait_flushed(callers: CallerListener, links: LinkPool, limit_s: float) -> int:
    """Wait until nothing is left to send to callers and peers, both unloaded.

    Parameters
    ----------
    limit_s : float
        Longest wait for slow readers, in seconds.

    Returns
    -------
    int
        Connections and links that still have bytes to send.
    """
    with anyio.move_on_after(limit_s):
        await _wait_until_none(lambda: callers.open_connections + links.count_unflushed())
        # a link that ends with unread bytes is reset, which discards what the peer hasn't received
        with anyio.move_on_after(_CLOSE_LIMIT_S):
            await _wait_until_none(links.count_unclosed)
    return callers.open_connections + links.count_unflushed()


async def _wait_until_none(count: Callable[[], int]) -> None:
    while count() > 0:  # noqa: ASYNC110
        await anyio.sleep(_POLL_S)
