"""Retry-After advice for calls beyond the rate limit of their account."""

import pytest

from wisteria_admission import cap_retry_after


@pytest.mark.parametrize("target_ms", [300, 500, 2_000])
def test_returns_are_useful_and_spread(target_ms: int) -> None:
    found = [cap_retry_after(5_000, target_ms, f"request-{number}") for number in range(1_000)]
    assert max(found) <= target_ms / 2
    assert min(found) >= target_ms / 4
    quarters = [sum(1 for one in found if one % 4 == rest) for rest in range(4)]
    assert min(quarters) > 150
    assert len(set(found)) > target_ms / 8


@pytest.mark.parametrize(("wanted_ms", "target_ms"), [(40, 300), (5_000, 0), (1_000, 2_000)])
def test_room_that_comes_in_time_is_told_as_it_is(wanted_ms: int, target_ms: int) -> None:
    assert cap_retry_after(wanted_ms, target_ms, "one") == wanted_ms
