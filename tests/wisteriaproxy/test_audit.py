from datetime import UTC, datetime

import pytest

from wisteriaproxy.audit import AuditTrail


def make_trail(limit: int) -> AuditTrail:
    return AuditTrail(limit, read_utc=lambda: datetime(2026, 12, 3, 4, 5, 6, 789_000, UTC))


def test_records_are_bounded_and_counted() -> None:
    trail = make_trail(3)
    for version in range(5):
        trail.record("configuration", "document", "accepted", to_version=version)
    assert [entry["to_version"] for entry in trail.describe()] == [2, 3, 4]
    assert trail.total == 5


def test_records_are_chosen_by_kind_and_number() -> None:
    trail = make_trail(10)
    trail.record("slot", "rate/dairy/3", "acquired", "claim cleared", to_version=7)
    trail.record("membership", "vm-2", "changed", "left the list", from_version=1, to_version=2)
    trail.record("slot", "rate/dairy/3", "released", "handed over", from_version=7)
    chosen = trail.describe("slot", 1)
    assert [(entry["outcome"], entry["from_version"]) for entry in chosen] == [("released", 7)]
    assert chosen[0]["at_utc"] == "2026-12-03T04:05:06.789Z"


def test_each_change_is_a_log_line(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO", logger="wisteriaproxy.audit")
    make_trail(1).record("configuration", "document", "refused", "12 errors", from_version=4)
    (line,) = caplog.records
    assert (line.message, vars(line)["outcome"], vars(line)["reason"]) == (
        "audit",
        "refused",
        "12 errors",
    )
