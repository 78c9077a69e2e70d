"""Mutation tests: the invariant test must detect each fault injected into the protocol."""

from typing import Any

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from wisteria_ownership import Action, ClaimOutcome, Ownership, OwnershipConfig
from wisteria_ownership.claims import Claims
from wisteria_ownership.models import Claiming
from wisteria_ownership.recovery import Recovery
from wisteria_ownership.transfers import Transfers

from .fleet import ViolationError
from .test_invariant import SETTINGS, FleetMachine


class NoWaitOut(Ownership):
    """Decides as soon as every VM has granted the claim, without waiting for leases to expire."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        replace_claims(self, NoWaitClaims)


class NoWaitClaims(Claims):
    def wait_out_ms(self) -> int:
        return 0


class NoFence(Ownership):
    """Keeps its slots after an event loop stall beyond the fence."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.recovery = NoGapRecovery(self.node, self.claims, self.transfers)


class NoGapRecovery(Recovery):
    def has_gap(self, now_ms: int) -> bool:
        return False


class TakeOverFromSilence(Ownership):
    """Treats a VM that does not answer as if it had answered the hello and granted the claim."""

    def tick(self, now_ms: int) -> list[Action]:
        for peer in self.node.peers.values():
            peer.hello_answered |= peer.hello_backoff_ms >= self.node.config.resend_max_ms
        for record in self.node.records.values():
            phase = record.phase
            if isinstance(phase, Claiming) and phase.backoff_ms >= self.node.config.resend_max_ms:
                phase.pending.clear()
        return super().tick(now_ms)


class GrantWhileHolding(Ownership):
    """Grants every claim, including claims for slots that it holds."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        replace_claims(self, AlwaysGrantClaims)


class AlwaysGrantClaims(Claims):
    def decide(self, *_: Any) -> ClaimOutcome:
        return ClaimOutcome.GRANTED


class LateHandOver(Ownership):
    """Accepts a hand-over without checking its ticket, whoever the slot was granted to."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.transfers = UncheckedTransfers(self.node)
        self.recovery = Recovery(self.node, self.claims, self.transfers)


class UncheckedTransfers(Transfers):
    def matches_open_ticket(self, *_: Any) -> bool:
        return True


class DecideWhileHandingOver(Ownership):
    """Keeps deciding until the successor has confirmed the hand-over."""

    def may_decide(self, now_ms: int, slot: Any) -> bool:
        record = self.node.records.get(slot)
        handing_over = record is not None and hasattr(record.phase, "ticket")
        return super().may_decide(now_ms, slot) or handing_over


def replace_claims(ownership: Ownership, kind: type[Claims]) -> None:
    ownership.claims = kind(ownership.node)
    ownership.recovery = Recovery(ownership.node, ownership.claims, ownership.transfers)


MISTAKES = [
    NoWaitOut,
    NoFence,
    TakeOverFromSilence,
    GrantWhileHolding,
    LateHandOver,
    DecideWhileHandingOver,
]


@pytest.mark.parametrize("mistake", MISTAKES, ids=lambda mistake: mistake.__name__)
def test_state_machine_finds(mistake: type[Ownership]) -> None:
    class Planted(FleetMachine):
        factory = mistake

        def teardown(self) -> None:
            """Skip the liveness check; this test is only about the invariant."""

    Planted.__name__ = f"Planted{mistake.__name__}"
    search = settings(
        max_examples=3_000, stateful_step_count=40, phases=[Phase.generate], **SETTINGS
    )
    with pytest.raises(ViolationError):
        run_state_machine_as_test(Planted, settings=search)


def test_wait_covers_lease_and_fence_under_drift() -> None:
    config = OwnershipConfig(longest_lease_ms=10_000, drift_ppm=1_000, margin_ms=0)
    slowest_ms = 10_000 * 1_000_000 / (1_000_000 - 1_000)
    shortest_wait_ms = config.wait_out_ms * 1_000_000 / (1_000_000 + 1_000)
    assert shortest_wait_ms >= slowest_ms
