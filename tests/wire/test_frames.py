"""Codec of frames and heads: any input is decoded or rejected with a specific fault."""

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from wisteria_admission import AdmissionLevel
from wisteria_core import Priority, ResultCode, RunState, VmId
from wisteria_wire import AnswerHead, ByteBudget, CallHead, Hello
from wisteria_wire.codec import (
    decode_answer,
    decode_call,
    decode_hello,
    encode_answer,
    encode_call,
    encode_hello,
    encode_long_call,
)
from wisteria_wire.const import MAX_FRAME_BYTES, PROTOCOL_VERSION, RESERVED_FRAME_BYTES
from wisteria_wire.frames import FrameReader, encode_frame
from wisteria_wire.models import Frame, FrameFault, FrameKind

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=150)
texts = st.text(st.characters(codec="utf-8", exclude_characters="\x00"), max_size=40)
pairs = st.lists(st.tuples(texts, texts), max_size=4).map(
    lambda found: tuple(part for pair in found for part in pair)
)
small = st.integers(0, 65_535)
frames = st.builds(Frame, st.sampled_from(FrameKind), st.integers(0, 2**64 - 1), st.binary())
calls = st.builds(
    CallHead,
    request_id=texts,
    route_id=texts,
    service=texts,
    method=texts,
    target=texts,
    headers=pairs,
    account=texts,
    key_id=texts,
    priority=st.sampled_from(Priority),
    rank=small,
    remaining_ms=small,
    allowance=small,
    idempotency_key=texts,
    config_version=small,
    body=st.binary(max_size=200),
    owner_run=st.booleans(),
    key_digest=texts,
    hops=st.integers(0, 255),
    long=st.booleans(),
    stall_ms=small,
    weight=small,
    repeatable=st.booleans(),
)
levels = st.builds(AdmissionLevel, texts, texts, small, small, small)
answers = st.builds(
    AnswerHead,
    status=small,
    headers=pairs,
    code=st.sampled_from(ResultCode),
    run_state=st.sampled_from(RunState),
    reason=texts,
    retry_after_ms=st.none() | small,
    spent=small,
    in_flight=small,
    limit=small,
    body=st.binary(max_size=200),
    complete=st.booleans(),
    leaving=st.booleans(),
    levels=st.lists(levels, max_size=3).map(tuple),
)


@DETERMINISTIC
@given(st.lists(frames, max_size=6), st.integers(1, 50))
def test_frames_survive_any_cut_of_the_stream(sent: list[Frame], step: int) -> None:
    stream = b"".join(encode_frame(one.kind, one.call_id, one.payload) for one in sent)
    reader = FrameReader()
    found: list[Frame] = []
    for start in range(0, len(stream), step):
        found += reader.feed(stream[start : start + step])
    assert found == sent
    assert reader.fault is None


@DETERMINISTIC
@given(st.binary(max_size=400))
def test_any_bytes_are_read_or_refused(data: bytes) -> None:
    reader = FrameReader()
    reader.feed(data)
    assert reader.fault is None or reader.feed(encode_frame(FrameKind.CALL, 1, b"")) == []
    for decode in (decode_call, decode_answer, decode_hello):
        assert isinstance(decode(data), FrameFault | CallHead | AnswerHead | Hello)


@DETERMINISTIC
@given(calls)
def test_a_call_comes_back_as_it_was(head: CallHead) -> None:
    assert decode_call(encode_call(head)) == head


@DETERMINISTIC
@given(answers)
def test_an_answer_comes_back_as_it_was(head: AnswerHead) -> None:
    assert decode_answer(encode_answer(head)) == head


@DETERMINISTIC
@given(calls, st.data())
def test_a_damaged_call_is_read_or_refused(head: CallHead, data: st.DataObject) -> None:
    payload = bytearray(encode_call(head))
    place = data.draw(st.integers(0, len(payload) - 1))
    payload[place] ^= data.draw(st.integers(1, 255))
    assert isinstance(decode_call(bytes(payload)), FrameFault | CallHead)


def test_an_oversized_frame_is_refused_from_its_header_alone() -> None:
    reader = FrameReader()
    header = encode_frame(FrameKind.BODY, 1, b"")[4:]
    assert reader.feed((MAX_FRAME_BYTES + 1).to_bytes(4, "big") + header) == []
    assert reader.fault is FrameFault.OVERSIZED


def test_an_unknown_version_or_kind_is_refused() -> None:
    frame = bytearray(encode_frame(FrameKind.BODY, 1, b""))
    frame[4] = PROTOCOL_VERSION + 1
    reader = FrameReader()
    reader.feed(bytes(frame))
    assert reader.fault is FrameFault.VERSION
    frame[4], frame[5] = PROTOCOL_VERSION, 200
    reader = FrameReader()
    reader.feed(bytes(frame))
    assert reader.fault is FrameFault.KIND


def test_a_hello_comes_back_as_it_was() -> None:
    hello = Hello(PROTOCOL_VERSION, VmId("stalls-1"), 2**60)
    assert decode_hello(encode_hello(hello)) == hello


def test_the_head_of_an_attempt_differs_in_nothing_else() -> None:
    names = [field.name for field in attrs.fields(CallHead)]
    head = CallHead(**{name: f"{name} of the call" for name in names})  # type: ignore[arg-type]
    expected = attrs.evolve(head, allowance=1, remaining_ms=2, instance="i-1")
    assert head.for_attempt(1, 2, "i-1") == expected


@DETERMINISTIC
@given(calls, st.integers(0, 300_000))
def test_a_long_call_is_encoded_alike(head: CallHead, size: int) -> None:
    """Guards against parts that a peer can't join to the message that it decodes."""
    head = attrs.evolve(head, body=b"b" * size)
    assert b"".join(encode_long_call(head)) == encode_call(head)


@DETERMINISTIC
@given(st.lists(st.integers(1, 200_000), min_size=1, max_size=20))
def test_a_long_call_without_memory_is_skipped(sizes: list[int]) -> None:
    """Guards against peers whose calls together take more memory than the daemon has."""
    budget = ByteBudget(2 * RESERVED_FRAME_BYTES)
    length = RESERVED_FRAME_BYTES
    stream = b"".join(
        encode_frame(kind, number, bytes([number]) * size)
        for number, (kind, size) in enumerate(
            [
                (FrameKind.CALL, length),
                (FrameKind.CALL, length),
                (FrameKind.CALL, length),
                (FrameKind.BODY, length),
                (FrameKind.CALL, 10),
                (FrameKind.CALL, length + 1),
            ]
        )
    )
    reader = FrameReader(budget=budget)
    found: list[Frame] = []
    parts = iter(sizes)
    while stream:
        count = next(parts, len(stream))
        found += reader.feed(stream[:count])
        stream = stream[count:]
    assert [frame.call_id for frame in found if frame.is_skipped] == [2, 5]
    assert [len(frame.payload) for frame in found] == [length, length, 0, length, 10, 0]
    assert all(set(frame.payload) <= {frame.call_id} for frame in found)
    assert budget.held_bytes == sum(frame.reserved_bytes for frame in found) == 2 * length


def test_memory_of_an_incomplete_frame_is_released() -> None:
    """Guards against a link that is lost within a call and keeps its memory reserved."""
    budget = ByteBudget(RESERVED_FRAME_BYTES)
    reader = FrameReader(budget=budget)
    assert reader.feed(encode_frame(FrameKind.CALL, 1, bytes(RESERVED_FRAME_BYTES))[:-1]) == []
    assert budget.held_bytes == RESERVED_FRAME_BYTES
    reader.release()
    assert budget.held_bytes == 0
