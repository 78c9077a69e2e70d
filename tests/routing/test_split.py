"""Traffic splitting of a route among services."""

from collections import Counter

import pytest

from wisteria_routing import TrafficSplitter


@pytest.mark.parametrize("parts", [(("a", 90), ("b", 10)), (("a", 1), ("b", 2), ("c", 4))])
def test_each_part_gets_its_weight_to_within_one_call(parts: tuple[tuple[str, int], ...]) -> None:
    splitter = TrafficSplitter()
    counts: Counter[str] = Counter()
    total = sum(weight for _, weight in parts)
    for calls in range(1, 500):
        counts[splitter.choose("r", parts)] += 1
        for service, weight in parts:
            assert abs(counts[service] - calls * weight / total) <= 1


def test_changed_weights_count_from_the_change_on() -> None:
    splitter = TrafficSplitter()
    for _ in range(7):
        splitter.choose("r", (("a", 1), ("b", 1)))
    counts_after_change = Counter(splitter.choose("r", (("a", 3), ("b", 1))) for _ in range(400))
    assert abs(counts_after_change["a"] - 300) <= 2


def test_a_part_without_weight_gets_nothing() -> None:
    splitter = TrafficSplitter()
    assert {splitter.choose("r", (("a", 0), ("b", 5))) for _ in range(20)} == {"b"}
