"""Servers that slow down near full load: the limit stays one call below the knee."""

import pytest

from wisteria_admission import FixedLimiter


@pytest.mark.parametrize(("slots", "limit"), [(1, 1), (25, 23), (42, 39), (100, 94)])
def test_one_call_less_than_the_part_runs_at_once(slots: int, limit: int) -> None:
    limiter = FixedLimiter(knee_fraction=0.95)
    limiter.set_ceiling(slots)
    assert limiter.limit() == limit


def test_without_a_part_all_slots_are_used() -> None:
    assert FixedLimiter(42).limit() == 42
