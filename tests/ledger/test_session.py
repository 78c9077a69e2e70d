"""Snapshot of a session of a ledger slot, edge cases, and the README's example."""

import re
import uuid
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from wisteria_core import Refusal, ResultCode, RunState
from wisteria_ledger import (
    Join,
    Ledger,
    LedgerConfig,
    LedgerSlotId,
    RunEnded,
    RunKey,
    Start,
    describe,
    parse_timestamp_ms,
    slot_for,
)

EPOCH_MS = 1_800_000_000_000
SLOT = LedgerSlotId("orders", 3)
README = Path(__file__).parents[2] / "libs" / "ledger" / "README.md"


def make_key(timestamp_ms: int, number: int) -> RunKey:
    """Return a request of account farm with a UUIDv7 key."""
    value = ((EPOCH_MS + timestamp_ms) << 80) | (7 << 76) | (2 << 62) | number
    return RunKey("farm", "refill", str(uuid.UUID(int=value)))


class Session:
    """Two ledgers and a transcript of their decisions."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.ledgers = {"first": Ledger(), "heir": Ledger()}

    def begin(self, now_ms: int, name: str, run_key: RunKey, body: bytes = b"10 litres") -> int:
        outcome = self.ledgers[name].begin(now_ms, EPOCH_MS + now_ms, SLOT, run_key, body)
        text = str(outcome)
        if isinstance(outcome, Refusal):
            text = f"{outcome.code.name}, {outcome.run_state.value}: {outcome.reason}"
        self.note(now_ms, f"{name} begin ..{run_key.key[-4:]} {body.decode()!r} -> {text}")
        return outcome.run_id if isinstance(outcome, Start) else 0

    def note(self, now_ms: int, text: str) -> None:
        self.lines.append(f"{now_ms:>9} ms  {text}")


def test_golden_session(snapshot: SnapshotAssertion) -> None:
    session = Session()
    first, heir = session.ledgers["first"], session.ledgers["heir"]
    first.start(0, EPOCH_MS, SLOT)
    session.note(0, "first starts with no hand-over")
    session.begin(1_000, "first", make_key(-500, 1))
    session.begin(1_000, "first", RunKey("farm", "refill", "note-0001"))
    order = make_key(5_000, 2)
    run = session.begin(5_100, "first", order)
    session.begin(5_200, "first", order)
    session.note(5_300, f"first sent -> {first.sent(run)}")
    session.note(5_900, f"first finish -> {first.finish(5_900, run, b'202 accepted')}")
    session.begin(6_000, "first", order)
    session.begin(6_100, "first", order, b"20 litres")
    session.begin(6_200, "first", make_key(60_000, 3))
    slow, frozen = make_key(7_000, 4), make_key(7_000, 5)
    slow_run = session.begin(7_100, "first", slow)
    frozen_run = session.begin(7_100, "first", frozen)
    session.note(7_200, f"first sent ..0004 -> {first.sent(slow_run)}")
    payload = first.release(8_000, SLOT)
    assert payload is not None
    session.note(8_000, f"first hands over {len(payload)} bytes")
    heir.start(8_002, EPOCH_MS + 8_002, SLOT, payload)
    session.note(8_100, f"first wakes, sent ..0005 -> {first.sent(frozen_run)}")
    session.begin(8_150, "first", frozen)
    session.begin(8_200, "heir", frozen)
    session.begin(8_200, "heir", slow)
    session.note(8_300, f"first finish ..0004 -> {first.finish(8_300, slow_run, b'202')}")
    ended = RunEnded("orders", 3, "farm", "refill", slow.key, True, b"202", True)
    heir.on_run_ended(8_302, ended)
    session.begin(8_400, "heir", slow)
    session.begin(8_500, "heir", order)
    session.begin(1_000_000, "heir", order)
    session.note(1_000_000, str(describe(heir)))
    assert "\n".join(session.lines) == snapshot


def test_a_second_start_forgets_nothing() -> None:
    ledger = Ledger()
    ledger.start(0, EPOCH_MS, SLOT)
    request = make_key(9_000, 1)
    assert isinstance(ledger.begin(9_000, EPOCH_MS + 9_000, SLOT, request, b""), Start)
    ledger.start(9_500, EPOCH_MS + 9_500, SLOT)
    assert isinstance(ledger.begin(9_600, EPOCH_MS + 9_600, SLOT, request, b""), Join)


def test_full_ledger_refuses_new_and_keeps_old() -> None:
    ledger = Ledger(LedgerConfig(max_entries=2))
    ledger.start(0, EPOCH_MS, SLOT)
    for number in range(2):
        outcome = ledger.begin(10_000, EPOCH_MS + 10_000, SLOT, make_key(9_000, number), b"")
        assert isinstance(outcome, Start)
        ledger.sent(outcome.run_id)
        ledger.finish(10_000, outcome.run_id, b"x" * 70_000)
    refused = ledger.begin(10_000, EPOCH_MS + 10_000, SLOT, make_key(9_000, 9), b"")
    assert isinstance(refused, Refusal)
    assert (refused.code, refused.run_state) == (ResultCode.LEDGER_FULL, RunState.NOT_RUN)
    known = ledger.begin(10_000, EPOCH_MS + 10_000, SLOT, make_key(9_000, 0), b"")
    assert isinstance(known, Refusal)
    assert (known.code, known.run_state) == (ResultCode.ANSWER_NOT_RETAINED, RunState.RAN)


@pytest.mark.parametrize(
    ("key", "timestamp_ms"),
    [
        ("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 1_645_557_742_000),
        ("017F22E2-79B0-7CC3-98C4-DC0C0C07398F", 1_645_557_742_000),
        ("017f22e279b07cc398c4dc0c0c07398f", None),
        ("f47ac10b-58cc-4372-a567-0e02b2c3d479", None),
        ("refill-17", None),
        ("", None),
    ],
)
def test_parse_timestamp(key: str, timestamp_ms: int | None) -> None:
    assert parse_timestamp_ms(key) == timestamp_ms


def test_spellings_of_one_key_share_a_slot() -> None:
    lower = RunKey("farm", "refill", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
    upper = RunKey("farm", "refill", lower.key.upper())
    assert slot_for("orders", lower) == slot_for("orders", upper)


def test_a_garbled_hand_over_is_refused() -> None:
    ledger = Ledger()
    for payload in (b"", b"{}", b"[1,2]", b'{"runs": 3}'):
        with pytest.raises(ValueError, match="cannot be read"):
            ledger.start(0, EPOCH_MS, SLOT, payload)
    assert not list(ledger.held())


def test_example_of_the_readme() -> None:
    code = re.search(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    assert code is not None
    assert len(code.group(1).splitlines()) <= 30
    exec(code.group(1), {})
