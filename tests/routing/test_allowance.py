"""The retries of one request never exceed its allowance, in any call tree."""

from collections import Counter
from random import Random

import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from wisteria_routing import RetryAllowance, RetryBudget, RetryConfig

MAX_DEPTH = 11


@attrs.define
class Tree:
    """Random call tree with failures, lost answers, parallel children and false reports."""

    random: Random
    depth: int
    width: int
    loss: float
    failure: float
    retries: int = 0
    runs: Counter[str] = attrs.Factory(Counter)

    def run(self, position: str, depth: int, lent: int) -> tuple[int, bool]:
        """Run one attempt; return the unspent retries that it reports, and whether it succeeded."""
        self.runs[position] += 1
        allowance = RetryAllowance(lent)
        succeeded = self.random.random() >= self.failure
        if depth < self.depth:
            children = [f"{position}.{n}" for n in range(self.random.randint(0, self.width))]
            succeeded &= self.call_parallel(allowance, children, depth + 1)
        reported = allowance.close() + (5 if self.random.random() < 0.05 else 0)
        return reported, succeeded

    def call_parallel(self, allowance: RetryAllowance, children: list[str], depth: int) -> bool:
        """Start the first attempts of all children concurrently, then their retries."""
        pending = [(child, f"{child}#0", allowance.lend(f"{child}#0")) for child in children]
        succeeded = True
        while pending:
            child, attempt, lent = pending.pop(self.random.randrange(len(pending)))
            if self.attempt(allowance, child, attempt, lent, depth):
                continue
            if not allowance.spend():
                succeeded = False
                continue
            self.retries += 1
            again = f"{child}#{self.retries}"
            pending.append((child, again, allowance.lend(again)))
        return succeeded

    def attempt(
        self, allowance: RetryAllowance, child: str, attempt: str, lent: int, depth: int
    ) -> bool:
        unspent, succeeded = self.run(child, depth, lent)
        if self.random.random() < self.loss:
            allowance.write_off(attempt)
            if self.random.random() < 0.5:
                allowance.settle(attempt, unspent)
            return False
        allowance.settle(attempt, unspent)
        if self.random.random() < 0.1:
            allowance.settle(attempt, unspent)
        return succeeded


@given(
    seed=st.integers(0, 2**32),
    minted=st.integers(0, 8),
    depth=st.integers(1, MAX_DEPTH),
    width=st.integers(1, 3),
    loss=st.floats(0, 0.5),
    failure=st.floats(0, 0.6),
)
@settings(derandomize=True, deadline=None, max_examples=150)
def test_no_tree_exceeds_the_allowance(
    seed: int, minted: int, depth: int, width: int, loss: float, failure: float
) -> None:
    width = width if depth <= 5 else 1
    tree = Tree(Random(seed), depth, width, loss, failure)
    allowance = RetryAllowance(minted)
    tree.call_parallel(allowance, ["root"], 0)
    assert tree.retries <= minted
    assert max(tree.runs.values()) <= 1 + minted


def test_an_only_child_of_a_deep_chain_gets_some_of_the_allowance() -> None:
    lent = 4
    for _ in range(MAX_DEPTH):
        lent = RetryAllowance(lent).lend("child")
    assert lent == 1


def test_an_attempt_borrows_once() -> None:
    allowance = RetryAllowance(2)
    allowance.lend("a")
    with pytest.raises(ValueError, match="borrowed already"):
        allowance.lend("a")


@given(st.lists(st.booleans(), max_size=400))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_retries_stay_below_the_ratio_of_calls(is_call: list[bool]) -> None:
    config = RetryConfig(ratio_milli=100, burst=5)
    budget = RetryBudget(config)
    calls = retries = 0
    for call in is_call:
        if call:
            budget.note_call()
            calls += 1
        else:
            retries += budget.spend()
        assert retries <= config.burst + calls * config.ratio_milli // 1_000
