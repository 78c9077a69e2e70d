"""Limits on the volume of log lines."""

import logging
import os

from wisteriaproxy.log_budget import (
    MAX_BUFFERED_BYTES,
    BoundedHandler,
    LineBudget,
    classify_record,
)


def make_record(level: int = logging.INFO, **extra: object) -> logging.LogRecord:
    record = logging.LogRecord("wisteriaproxy.test", level, "", 0, "event", None, None)
    record.__dict__.update(extra)
    return record


def test_lines_of_least_value_are_dropped_first() -> None:
    budget = LineBudget()
    categories = {
        "served": classify_record(make_record(request_id="r", code=0)),
        "refused": classify_record(make_record(request_id="r", code=303)),
        "state": classify_record(make_record()),
        "fault": classify_record(make_record(logging.WARNING, request_id="r")),
    }
    written = dict.fromkeys(categories, 0)
    for _ in range(2_000):
        for name, category in categories.items():
            written[name] += budget.take(1.0, category)
    assert 0 < written["served"] < written["refused"] < written["state"] < written["fault"]
    assert sum(written.values()) + sum(budget.take_dropped().values()) == 8_000


def test_a_reader_that_does_not_read_never_holds_the_writer() -> None:
    reader, writer = os.pipe()
    handler = BoundedHandler(writer, LineBudget(per_s=1e6, burst=1e6, level=1e6))
    handler.setFormatter(logging.Formatter("%(message)s " + "x" * 1_000))
    for _ in range(2_000):
        handler.emit(make_record(logging.WARNING))
    assert handler.lost > 0
    assert os.read(reader, 100).startswith(b"event x")
    os.close(reader)
    handler.emit(make_record(logging.WARNING))
    os.close(writer)


def test_a_line_beyond_the_budget_costs_no_filter_and_is_counted() -> None:
    reader, writer = os.pipe()
    budget = LineBudget(per_s=0.0, burst=10, level=10)
    handler = BoundedHandler(writer, budget)
    filtered: list[logging.LogRecord] = []
    handler.addFilter(lambda record: filtered.append(record) is None)
    served = make_record(request_id="r", code=0)
    for _ in range(50):
        handler.handle(served)
    assert len(filtered) == 4
    assert not handler.has_line_budget(classify_record(served))
    assert os.read(reader, 10_000) == b"event\n" * 4
    assert sum(budget.take_dropped().values()) == 46 + 1
    os.close(reader)
    os.close(writer)


def test_requests_beyond_the_budget_leave_room_for_changes_of_state() -> None:
    """Guards against a configuration change that no line shows while load is high."""
    budget = LineBudget()
    state = classify_record(make_record())
    for now_ms in range(10_000):
        for code in (0, 303):
            budget.take(now_ms / 1_000, classify_record(make_record(request_id="r", code=code)))
        if now_ms % 100 == 0:
            assert budget.take(now_ms / 1_000, state)


def test_lines_of_requests_leave_a_slow_reader_room_for_changes_of_state() -> None:
    """Guards against a configuration change that no line shows while the reader is behind."""
    reader, writer = os.pipe()
    handler = BoundedHandler(writer, LineBudget(per_s=1e6, burst=1e6, level=1e6))
    handler.setFormatter(logging.Formatter("%(message)s " + "x" * 1_000))
    served = make_record(request_id="r", code=0)
    for _ in range(MAX_BUFFERED_BYTES // 1_000 * 2):
        handler.emit(served)
    lost = handler.lost
    assert lost > 0
    handler.emit(make_record())
    assert handler.lost == lost
    os.close(reader)
    os.close(writer)
