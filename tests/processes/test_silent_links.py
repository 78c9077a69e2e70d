"""Connections between daemons that carry nothing any more, without a reset, are replaced."""

import asyncio
import time

import pytest

from .links import LinkedFleet
from .support import STABLE_WINDOW_S

pytestmark = pytest.mark.anyio


async def test_calls_are_answered_again_after_all_links_have_gone_silent(
    linked_fleet: LinkedFleet,
) -> None:
    """Guards against links without a reset or an answer on which all calls wait in vain."""
    fleet = linked_fleet
    fleet.publish()
    places = [("yield", "a"), ("order", "a"), ("yield", "b"), ("order", "b")]
    machines = await fleet.add(places)
    for machine in machines:
        for path in ("/yields/1", "/orders/1"):
            assert (await fleet.call(machine, path, "POST", body=b"{}")).status == 200
    assert fleet.silence_links() > 0
    silenced_s = time.monotonic()
    found: list[tuple[float, str, int]] = []
    while time.monotonic() - silenced_s < STABLE_WINDOW_S + 3:
        sent_s = time.monotonic() - silenced_s
        calls = [fleet.call(one, "/orders/1", "POST", 1_000, b"{}") for one in machines]
        calls += [fleet.call(one, "/yields/1", "GET", 1_000) for one in machines]
        for reply in await asyncio.gather(*calls):
            found.append((round(sent_s, 1), reply.status))
        await asyncio.sleep(0.2)
    assert any(sent_s > STABLE_WINDOW_S for sent_s, _ in found)
    assert [one for one in found if one[0] > STABLE_WINDOW_S and one[1] != 200] == []
    assert [machine.ends for machine in machines] == [[]] * len(machines)
