"""The checker of the soak finds what is planted, and nothing in what is allowed."""

from typing import Any

import pytest
from script.tools.mesh_soak.checker import Checker
from script.tools.mesh_soak.models import Departure, Disruption, Record, Sample, Version, Work

from .documents import make_route

KEY, HOST = "k1", "127.0.0.1"


def make_version(number: int, at_s: float, service: str, *names: str) -> Version:
    routes = [make_route(name, service, "idempotent") for name in names or ("lookup",)]
    return Version(number, at_s, routes, frozenset((KEY,)))


def make_sample(sent_s: float, **changes: Any) -> Sample:
    sample = Sample("a1", HOST, "lookup", "GET", "/lookup/1", KEY, True, 5.0)
    sample.sent_s, sample.written_s, sample.ended_s = sent_s, sent_s, sent_s + 0.1
    sample.status, sample.end, sample.signed = 200, "answered", "x"
    for name, value in changes.items():
        setattr(sample, name, value)
    return sample


def make_work(at_s: float, service: str, **changes: Any) -> Work:
    work = Work("a1", service, "i-1", HOST, "GET", "/lookup/1", {}, at_s, at_s + 0.05, "done", 200)
    for name, value in changes.items():
        setattr(work, name, value)
    return work


def list_rules(record: Record) -> list[str]:
    return [case.rule for case in Checker(record).check()]


@pytest.fixture
def record() -> Record:
    """Return a record in which a route moves from one service to another at 10 s."""
    return Record(versions=[make_version(1, 0.0, "old"), make_version(2, 10.0, "new")])


@pytest.mark.parametrize(
    ("sent_s", "service", "rules"),
    [
        (5.0, "old", []),
        (11.9, "old", []),
        (12.5, "old", ["CONFIG"]),
        (12.5, "new", []),
        (10.1, "new", []),
        (5.0, "new", ["ROUTE"]),
        (12.5, "other", ["ROUTE"]),
    ],
)
def test_a_request_runs_where_a_version_that_may_be_in_force_sends_it(
    record: Record, sent_s: float, service: str, rules: list[str]
) -> None:
    """Guards against a checker that overlooks a wrong service or an old version."""
    record.samples = [make_sample(sent_s)]
    record.work = [make_work(sent_s + 0.05, service)]
    assert list_rules(record) == rules


def test_a_machine_out_of_touch_may_be_late(record: Record) -> None:
    """Guards against a checker that blames a machine for a disruption."""
    record.samples = [make_sample(20.0)]
    record.work = [make_work(20.05, "old")]
    record.disruptions = [Disruption("kill", frozenset((HOST,)), 18.0, 18.5)]
    assert list_rules(record) == []
    record.disruptions[0].hosts = frozenset(("127.0.0.2",))
    assert list_rules(record) == ["CONFIG"]
    record.disruptions[0].hosts, record.disruptions[0].end_s = None, 16.0
    assert list_rules(record) == ["CONFIG"]


def test_a_process_does_not_go_back_to_an_older_version(record: Record) -> None:
    """Guards against a checker that overlooks a version that comes back older."""
    record.disruptions = [Disruption("late", None, 0.0, 30.0)]
    record.samples = [make_sample(10.5, attempt="a0"), make_sample(14.0)]
    record.work = [make_work(10.5, "new", attempt="a0"), make_work(14.05, "old")]
    assert list_rules(record) == ["CONFIG-regress"]
    record.starts = [(HOST, 12.0)]
    assert list_rules(record) == []


@pytest.mark.parametrize(("status", "rules"), [(404, ["CONFIG"]), (503, []), (401, ["DENIED"])])
def test_a_route_that_was_added_is_served(status: int, rules: list[str]) -> None:
    """Guards against a checker that overlooks an added route that is refused."""
    versions = [make_version(1, 0.0, "old"), make_version(2, 5.0, "old", "lookup", "added")]
    sample = make_sample(8.0, path="/added/1", status=status, signed="")
    assert list_rules(Record(versions=versions, samples=[sample])) == rules


@pytest.mark.parametrize(
    ("status", "runs", "rules"),
    [(200, 1, []), (200, 2, ["TWICE"]), (503, 1, ["REFUSED"]), (503, 0, []), (504, 1, [])],
)
def test_an_order_runs_once_and_not_if_it_is_refused(
    record: Record, status: int, runs: int, rules: list[str]
) -> None:
    """Guards against a checker that overlooks a second run, or one after a refusal."""
    signed = "x" if status == 200 else ""
    record.samples = [make_sample(5.0, is_repeatable=False, status=status, signed=signed)]
    record.work = [make_work(5.05, "old") for _ in range(runs)]
    assert list_rules(record) == rules


@pytest.mark.parametrize(("at_s", "rules"), [(6.9, []), (7.5, ["DRAIN"])])
def test_a_server_that_leaves_gets_nothing_after_its_time(
    record: Record, at_s: float, rules: list[str]
) -> None:
    """Guards against a checker that overlooks requests to a server that left."""
    record.departures = [Departure("i-1", HOST, 5.0, "draining")]
    record.samples = [make_sample(at_s - 0.1)]
    record.work = [make_work(at_s, "old")]
    assert list_rules(record) == rules
    record.disruptions = [Disruption("store-503", None, 4.0, 4.5)]
    assert list_rules(record) == []


@pytest.mark.parametrize(
    ("end", "run_end", "rules"),
    [("closed", "cancelled", ["LOST"]), ("closed", "died", []), ("answered", "done", [])],
)
def test_a_planned_stop_loses_no_request(
    record: Record, end: str, run_end: str, rules: list[str]
) -> None:
    """Guards against a checker that overlooks requests lost at a planned stop."""
    record.disruptions = [Disruption("term", frozenset((HOST,)), 5.2, 6.0, is_planned=True)]
    record.stops = [(HOST, 5.2, 0, 0.8)]
    status = 200 if end == "answered" else 0
    record.samples = [make_sample(5.0, end=end, status=status, ended_s=6.0)]
    record.work = [make_work(5.05, "old", end=run_end)]
    assert list_rules(record) == rules
    record.disruptions.append(Disruption("kill", frozenset(("127.0.0.2",)), 4.0, 4.5))
    assert list_rules(record) == []


def test_kept_connections_are_not_closed_unanswered(record: Record) -> None:
    """Guards against a checker that overlooks requests lost on kept connections."""
    ids = [f"a{number}" for number in range(4)]
    record.samples = [
        make_sample(5.0, attempt=one, end="closed", status=0, number=1, written_s=float("inf"))
        for one in ids
    ]
    record.work = [make_work(5.05, "old", attempt=one, end="cancelled") for one in ids]
    assert list_rules(record) == ["LOST-kept"] * 4
    record.samples.pop()
    assert list_rules(record) == []


def test_processes_neither_end_nor_grow(record: Record) -> None:
    """Guards against a checker that overlooks processes that end or grow."""
    record.ends = [(HOST, 5.0, 1)]
    record.memory_mb = {HOST: 301.0}
    assert list_rules(record) == ["FAULT", "FAULT"]
    record.disruptions = [Disruption("kill", frozenset(("127.0.0.2",)), 3.0, 4.5)]
    record.starts = [(HOST, 3.5)]
    assert list_rules(record) == ["FAULT", "FAULT"]
    record.starts = [(HOST, 4.5)]
    assert list_rules(record) == ["FAULT"]
