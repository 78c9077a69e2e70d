"""Running calls: lookup by deadline, and their place in the call chain."""

import attrs

from wisteria_core import Priority
from wisteria_wire import CallHead
from wisteria_wire.codec import decode_call, encode_call
from wisteriaproxy.calls import CallRegistry
from wisteriaproxy.identify import Caller
from wisteriaproxy.plan import count_hops

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


def test_a_call_chain_of_any_depth_can_be_sent() -> None:
    """Guards against a loop of services whose 256th call ends with an internal error."""
    head = HEAD
    for depth in range(1, 300):
        parent = CallRegistry().add(head, 10_000)
        caller = Caller("public", 1, is_internal=True, likely_parent=parent)
        head = attrs.evolve(HEAD, hops=count_hops(caller))
        assert head.hops == min(depth, 255)
        assert decode_call(encode_call(head)) == head
