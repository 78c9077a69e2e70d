"""Lookup of running calls by deadline."""

import attrs

from wisteria_core import Priority
from wisteria_wire import CallHead
from wisteriaproxy.calls import CallRegistry

HEAD = CallHead("r", "route", "yield", "GET", "/", (), "a", "", Priority.NORMAL, 0, 500, 0, "", 1)


def test_the_nearest_deadline_names_the_parent() -> None:
    registry = CallRegistry()
    first = registry.add(attrs.evolve(HEAD, request_id="1"), 10_000)
    second = registry.add(attrs.evolve(HEAD, request_id="2"), 10_100)
    assert registry.find_by_deadline(9_998) is first
    assert registry.find_by_deadline(10_101) is second
    assert registry.find_by_deadline(10_050) is None
    registry.remove(second)
    assert registry.find_by_deadline(10_101) is None
