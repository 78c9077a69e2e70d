"""Snapshot of a lending session, and tests of borrower and owner."""

import re
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from syrupy.assertion import SnapshotAssertion

from wisteria_core import FailureDomain, Refusal, ResultCode, RunState, VmId
from wisteria_limits import (
    AccountBudget,
    AccountRate,
    Admitted,
    LimitsConfig,
    Pending,
    SliceBucket,
    SliceId,
    SliceOwner,
    describe_budget,
    describe_owner,
    slices_for,
)

README = Path(__file__).parents[2] / "libs" / "limits" / "README.md"
NORTH, SOUTH = FailureDomain("north"), FailureDomain("south")
FARM = AccountRate("farm", rate=100, burst=20)
ENTRY, OWNER = VmId("entry"), VmId("owner")


class Session:
    """One borrower and one owner of all slices, with a transcript of their messages."""

    def __init__(self, started_ms: int = 0) -> None:
        self.lines: list[str] = []
        self.shares = slices_for(FARM, [NORTH, SOUTH], slices_per_domain=1)
        self.owner = SliceOwner()
        self.owner.configure(started_ms, self.shares)
        for slice_id in self.shares:
            self.owner.start(started_ms, slice_id)
        self.budget = AccountBudget(ENTRY, NORTH, 1)
        self.budget.configure(started_ms, [FARM], [NORTH, SOUTH], slices_per_domain=1)
        self.budget.set_owners(dict.fromkeys(self.shares, OWNER))

    def note(self, now_ms: int, text: object) -> None:
        self.lines.append(f"{now_ms:>6} ms  {text}")

    def admit(self, now_ms: int, calls: int) -> list[Admitted | Pending | Refusal]:
        outcomes = [self.budget.admit(now_ms, "farm") for _ in range(calls)]
        names = [type(outcome).__name__ for outcome in outcomes]
        counted = ", ".join(f"{names.count(n)} {n}" for n in dict.fromkeys(names))
        self.note(now_ms, f"admit {calls}: {counted}")
        return outcomes

    def tick(self, now_ms: int, answered: bool = True) -> None:
        step = self.budget.tick(now_ms)
        self.note_decided(now_ms, [item.outcome for item in step.decided])
        for send in step.sends:
            self.note(now_ms, f"request items={len(send.request.items)} {send.request.reports}")
            if not answered:
                continue
            reply = self.owner.answer(now_ms + 1, send.request)
            granted = [grant.granted_milli for grant in reply.grants]
            self.note(now_ms + 1, f"granted {granted}")
            decided = self.budget.on_reply(now_ms + 2, OWNER, reply)
            self.note_decided(now_ms + 2, [item.outcome for item in decided])
            self.tick(now_ms + 2)

    def note_decided(self, now_ms: int, outcomes: list[Admitted | Refusal]) -> None:
        for outcome in outcomes:
            text = outcome.code.name if isinstance(outcome, Refusal) else "admitted"
            self.note(now_ms, f"decided {text}")


def test_golden_session(snapshot: SnapshotAssertion) -> None:
    session = Session()
    session.admit(1_000, 10)
    session.tick(1_000)
    session.tick(1_110)
    (admitted,) = session.admit(1_120, 1)
    assert isinstance(admitted, Admitted)
    session.note(1_121, f"refund {session.budget.refund(1_121, admitted)}")
    session.note(1_122, f"refund again {session.budget.refund(1_122, admitted)}")
    session.admit(1_200, 40)
    session.tick(1_200)
    session.admit(1_210, 2)
    payload = session.owner.release(1_500, SliceId("farm", NORTH, 0))
    session.note(1_500, f"hand-over {payload!r}")
    session.owner.start(1_501, SliceId("farm", NORTH, 0), payload)
    session.tick(1_600, answered=False)
    session.tick(1_640)
    session.note(1_640, describe_owner(session.owner))
    session.note(1_640, describe_budget(session.budget))
    assert "\n".join(session.lines) == snapshot


def test_refusal_tells_a_spent_rate_from_silent_owners() -> None:
    session = Session()
    session.admit(1_000, 60)
    session.tick(1_000)
    over = session.budget.admit(1_003, "farm")
    assert isinstance(over, Refusal)
    assert (over.code, over.run_state) == (ResultCode.RATE_EXCEEDED, RunState.NOT_RUN)
    assert over.retry_after_ms is not None
    assert over.retry_after_ms > 0
    unresponsive = Session()
    unresponsive.admit(1_000, 1)
    unresponsive.tick(1_000, answered=False)
    unresponsive.tick(1_050, answered=False)
    assert unresponsive.lines[-1].endswith("decided RATE_UNAVAILABLE")
    gone = unresponsive.budget.admit(1_051, "farm")
    assert isinstance(gone, Refusal)
    assert gone.code is ResultCode.RATE_UNAVAILABLE


def test_a_whole_burst_comes_in_one_round_trip() -> None:
    session = Session()
    session.admit(5_000, 20)
    session.tick(5_000)
    admitted = [line for line in session.lines if line.endswith("decided admitted")]
    assert len(admitted) == 19  # the burst excludes the refill of one clock step


@settings(derandomize=True, deadline=None)
@given(
    rate=st.integers(1, 10**6),
    burst=st.integers(1, 10**6),
    domains=st.integers(1, 11),
    slices=st.integers(1, 16),
)
def test_shares_add_up_exactly(rate: int, burst: int, domains: int, slices: int) -> None:
    names = [FailureDomain(f"domain-{index}") for index in range(domains)]
    shares = slices_for(AccountRate("a", rate, burst), names, slices).values()
    assert sum(share.rate_milli_per_s for share in shares) == rate * 1_000
    assert sum(share.burst_milli for share in shares) == burst * 1_000
    assert max(s.burst_milli for s in shares) - min(s.burst_milli for s in shares) <= 1


@pytest.mark.parametrize("payload", [b"", b"{}", b'{"level_micro": "x", "loans": []}', b"[]"])
def test_a_garbled_hand_over_lends_nothing_until_its_loans_have_ended(payload: bytes) -> None:
    owner = SliceOwner()
    shares = slices_for(FARM, [NORTH], slices_per_domain=1)
    owner.configure(0, shares)
    slice_id, share = next(iter(shares.items()))
    with pytest.raises(ValueError, match="cannot be read"):
        SliceBucket.from_bytes(0, payload, share, owner.config)
    assert owner.start(1_000, slice_id, payload)
    bucket = owner.bucket(slice_id)
    assert bucket is not None
    bucket.advance(1_000 + owner.config.wait_out_ms)
    assert not bucket.level_milli
    bucket.advance(1_100 + owner.config.wait_out_ms)
    assert bucket.level_milli


def test_a_longer_lease_than_the_owners_is_not_lent() -> None:
    session = Session()
    session.budget.config = LimitsConfig(lease_ms=9_000)
    session.admit(1_000, 1)
    (send,) = session.budget.tick(1_000).sends
    reply = session.owner.answer(1_001, send.request)
    assert all(not grant.held and not grant.granted_milli for grant in reply.grants)


def test_example_of_the_readme(capsys: pytest.CaptureFixture[str]) -> None:
    code = re.search(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    assert code is not None
    assert len(code.group(1).splitlines()) <= 30
    exec(code.group(1), {})
    assert capsys.readouterr().out == "refused\n"


def test_a_slice_named_again_waits_for_its_loans() -> None:
    session = Session()
    session.admit(1_000, 19)
    session.tick(1_000, answered=True)
    session.owner.configure(1_010, {})
    session.owner.configure(1_020, session.shares)
    for slice_id in session.shares:
        assert session.owner.start(1_020, slice_id)
        assert session.owner.start(1_030, slice_id)
    buckets = [session.owner.bucket(slice_id) for slice_id in session.shares]
    for now_ms, level in ((3_000, 0), (3_200, 1)):
        for bucket in buckets:
            assert bucket is not None
            bucket.advance(now_ms)
            assert bool(bucket.level_milli) == bool(level)


def test_a_cold_start_opens_soon_after_the_owners_start() -> None:
    session = Session()
    session.owner.drop_all()
    for now_ms in range(0, 3_000, 20):
        session.budget.admit(now_ms, "farm")
        session.tick(now_ms)
    refused = session.budget.admit(3_000, "farm")
    assert isinstance(refused, Refusal)
    assert refused.code is ResultCode.RATE_UNAVAILABLE
    for slice_id in session.shares:
        session.owner.start(3_000, slice_id)
    session.lines.clear()
    for now_ms in range(3_000, 3_400, 20):
        session.admit(now_ms, 1)
        session.tick(now_ms)
    admitted = [line for line in session.lines if "decided admitted" in line or "1 Admit" in line]
    assert int(admitted[0].split()[0]) <= 3_300
