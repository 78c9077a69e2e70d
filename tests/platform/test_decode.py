"""Entries and answers of the store with any content are decoded or refused."""

import json
from typing import Any

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from wisteria_core import VmState
from wisteriaproxy.control import decode_control, encode_control
from wisteriaproxy.mesh.directory import EntryChanges
from wisteriaproxy.mesh.entries import StorePosition
from wrdsc.decode import decode_document, decode_evacuation, decode_server
from wrdsc.store import Item, _decode_items

from .odd_values import VALUES

KIND_ENTRIES = 64
POSITION = StorePosition(1, 7)
ENTRY: dict[str, Any] = {
    "service": "yield",
    "address": "10.1.0.26:8547",
    "zone": "south",
    "config_version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_s": 1.5,
    "sequence": 3,
    "born": 1_700_000_000_000,
}


def make_item(content: bytes) -> Item:
    return Item("servers/i-1", content, POSITION)


def test_a_valid_entry_is_decoded() -> None:
    """Guards against checks of ranges that refuse sound entries."""
    found = decode_server(make_item(json.dumps(ENTRY).encode()), 1, 2)
    assert found is not None
    assert (found.vm.host, found.vm.slots, found.vm.cold_ms) == ("10.1.0.26", 8, 1_500)
    assert (found.started_ms, found.sequence, found.vm.state) == (ENTRY["born"], 3, VmState.LIVE)


@pytest.mark.parametrize(
    "changes",
    [
        {"born": True},
        {"born": "1"},
        {"born": 1.5},
        {"born": -1},
        {"born": 2**63},
        {"sequence": False},
        {"sequence": 2**63},
        {"slots": -1},
        {"slots": 2**16},
        {"cold_remaining_s": 1e306},
        {"cold_remaining_s": True},
        {"cold_remaining_s": "1"},
        {"cold_remaining_s": []},
        {"address": "a..b:1"},
        {"address": "yield.example:1"},
        {"address": "10.0.0.1:\u0661"},
        {"address": "10.0.0.1"},
        {"service": ""},
        {"zone": "z" * 256},
        {"zone": None},
        {"state": ["ready"]},
    ],
)
def test_a_field_of_another_type_or_range_names_no_server(changes: dict[str, Any]) -> None:
    """Guards against values that no control message can hold and hosts that can't be dialed."""
    assert decode_server(make_item(json.dumps(ENTRY | changes).encode()), 1, 2) is None


@seed(35)
@settings(max_examples=400, deadline=None, database=None)
@given(st.dictionaries(st.sampled_from(sorted(ENTRY)), VALUES, min_size=1, max_size=3))
def test_an_entry_is_refused_or_can_be_passed_on(changes: dict[str, Any]) -> None:
    """Guards against an entry that is accepted here and fails in a control message."""
    found = decode_server(make_item(json.dumps(ENTRY | changes).encode()), 1, 2)
    if found is not None:
        sent = EntryChanges(False, POSITION, POSITION, (found,))
        payload = encode_control(sent)
        assert isinstance(payload, bytes)
        assert decode_control(KIND_ENTRIES, payload) == sent


@seed(35)
@settings(max_examples=200, deadline=None, database=None)
@given(st.binary(max_size=60) | VALUES.map(lambda value: json.dumps(value).encode()))
def test_any_content_is_decoded_or_refused(content: bytes) -> None:
    """Guards against an exception in the task that reads the store."""
    decode_server(make_item(content), 1, 2)
    decode_evacuation(Item("op/evacuate/south", content, POSITION))
    assert decode_document(content, 0.1, ["south"]) is None


@seed(35)
@settings(max_examples=200, deadline=None, database=None)
@given(st.lists(st.dictionaries(st.sampled_from(["key", "value", "revision"]), VALUES)))
def test_one_unreadable_item_leaves_the_others_of_its_page(odd: list[dict[str, Any]]) -> None:
    """Guards against an item that takes the rest of its page with it."""
    good = {"key": "servers/i-9", "value": "e30=", "revision": 4}
    found = _decode_items([*odd, 7, None, good], 1)
    assert Item("servers/i-9", b"{}", StorePosition(1, 4)) in found
    assert all(0 <= item.position.revision < 2**63 for item in found)
