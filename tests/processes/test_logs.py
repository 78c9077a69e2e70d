"""What the logs of daemons as processes tell."""

import asyncio

import pytest

from .support import Fleet

pytestmark = pytest.mark.anyio


async def test_a_watch_that_was_not_answered_is_logged(fleet: Fleet) -> None:
    """Guards against lines of the platform's adapter that are dropped below the level warning."""
    fleet.publish()
    (machine,) = await fleet.add([("yield", "a")])
    async with asyncio.timeout(20):
        while not machine.count_events("store_watch_lost"):
            fleet.store.http.silence_connections()
            await asyncio.sleep(0.5)
