"""Control messages with any value and any bytes are encoded, decoded or refused."""

import attrs
import capnp
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from wisteria_core import FailureDomain, Vm, VmId
from wisteriaproxy.control import KINDS, ControlFault, decode_control, encode_control
from wisteriaproxy.mesh.directory import EntryChanges, RemovedEntry
from wisteriaproxy.mesh.entries import ServerEntry, StorePosition
from wisteriaproxy.mesh.messages import DocumentAsk, Evacuations, PublishedDocument
from wisteriaproxy.mesh.ranges import WHOLE_MAX

KIND_ENTRIES = 64
VM = Vm(VmId("10.0.0.1"), "10.0.0.1", 1, 2, FailureDomain("north"), "yields")
POSITION = StorePosition(1, 7)
CHANGES = EntryChanges(
    False,
    POSITION,
    POSITION,
    (ServerEntry("i-1", VM, 5, POSITION, 3),),
    (RemovedEntry("i-2", POSITION),),
)


@pytest.mark.parametrize(
    "message",
    [
        DocumentAsk(2**63),
        DocumentAsk(True),
        DocumentAsk("1"),  # type: ignore[arg-type]
        PublishedDocument(-(2**64), b""),
        Evacuations(1, 1, (7,)),  # type: ignore[arg-type]
        attrs.evolve(CHANGES, position=StorePosition(0, 2**80)),
    ],
)
def test_a_value_beyond_the_schema_is_refused_without_an_exception(message: object) -> None:
    """Guards against an exception in whichever task sends the message."""
    assert encode_control(message) is ControlFault.OUT_OF_RANGE


@seed(35)
@settings(max_examples=150, deadline=None, database=None)
@given(
    st.integers(0, WHOLE_MAX),
    st.integers(0, WHOLE_MAX),
    st.text(st.characters(exclude_categories=["Cs"]), max_size=30),
)
def test_every_value_of_the_ranges_survives_the_codec(
    started_ms: int, revision: int, name: str
) -> None:
    """Guards against ranges at the boundary that are wider than those of the schema."""
    vm = attrs.evolve(VM, service=name, instance=name, started_ms=started_ms)
    entry = ServerEntry(name, vm, started_ms, StorePosition(0, revision), revision)
    changes = attrs.evolve(CHANGES, entries=(entry,), position=StorePosition(revision, revision))
    payload = encode_control(changes)
    assert isinstance(payload, bytes)
    assert decode_control(KIND_ENTRIES, payload) == changes


@seed(35)
@settings(max_examples=300, deadline=None, database=None)
@given(st.sampled_from(sorted(KINDS)), st.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(kind: int, payload: bytes) -> None:
    """Guards against an exception in the callback of a link."""
    _check_decoded(kind, payload)


@seed(35)
@settings(max_examples=300, deadline=None, database=None)
@given(st.data())
def test_a_damaged_message_is_decoded_or_refused(data: st.DataObject) -> None:
    """Guards against lists and pointers that a cut or changed message makes odd."""
    payload = bytearray(_encode_changes())
    for _ in range(data.draw(st.integers(1, 4))):
        payload[data.draw(st.integers(0, len(payload) - 1))] = data.draw(st.integers(0, 255))
    _check_decoded(KIND_ENTRIES, bytes(payload[: data.draw(st.integers(0, len(payload)))]))


def _encode_changes() -> bytes:
    payload = encode_control(CHANGES)
    assert isinstance(payload, bytes)
    return payload


def _check_decoded(kind: int, payload: bytes) -> None:
    try:
        found = decode_control(kind, payload)
    except capnp.KjException as error:  # pragma: no cover
        raise AssertionError("the exception is not turned into a fault") from error
    assert isinstance(found, ControlFault | KINDS[kind])
