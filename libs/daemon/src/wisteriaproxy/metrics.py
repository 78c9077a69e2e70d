"""Plain counters on the call path, rendered by aioprometheus on each scrape."""

from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Literal

import attrs
from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.histogram import Histogram as Buckets
from aioprometheus.renderer import render

from .const import DOMAIN

MAX_SERIES = 2_000
OTHER = "other"
MS_PER_S = 1_000.0

# upper bounds of the histogram buckets
DURATION_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000)

Labels = tuple[str, ...]
ReadGauge = Callable[[], Iterable[tuple[Labels, float]]]


@attrs.frozen
class Family:
    """Metric family; its name lacks the daemon's prefix."""

    name: str
    kind: Literal["counter", "gauge", "histogram"]
    doc: str
    labels: Labels = ()

    @property
    def full_name(self) -> str:
        return f"{DOMAIN}_{self.name}"


CALLS = Family(
    "calls_total",
    "counter",
    "Calls answered, by numbered result code.",
    ("route", "account", "code"),
)
CALL_DURATION = Family(
    "call_duration_seconds", "histogram", "Time from a call's arrival to its answer.", ("route",)
)
RETRIES = Family("retries_total", "counter", "Retries made by this daemon.", ("service",))
BACKEND_CALLS = Family(
    "backend_calls_total", "counter", "Calls sent to the backend server.", ("outcome",)
)
MISDIRECTED_CALLS = Family(
    "misdirected_calls_total",
    "counter",
    "Calls not run because their VM runs another process or service, by where this was found.",
    ("place",),
)
LINK_BYTES = Family(
    "link_bytes_total",
    "counter",
    "Bytes of control messages between daemons.",
    ("direction", "kind"),
)
LINK_FAULTS = Family(
    "link_faults_total", "counter", "Links closed for a fault of the other side.", ("reason",)
)
PLATFORM_READS = Family(
    "platform_reads_total", "counter", "Reads of the platform.", ("resource", "outcome")
)
AUDIT_EVENTS = Family(
    "audit_events_total", "counter", "Records of the audit trail.", ("kind", "outcome")
)
REQUESTS_UNANSWERED = Family(
    "requests_unanswered_total",
    "counter",
    "Requests whose connection ended before a complete answer.",
    ("reason",),
)
LOOP_GAPS = Family("loop_gaps_total", "counter", "Pauses of the process beyond the bound.")
CONTROL_REFUSED = Family(
    "control_refused_total",
    "counter",
    "Control messages that could not be encoded, decoded or processed.",
    ("kind", "reason"),
)
PLATFORM_REFUSED = Family(
    "platform_refused_total",
    "counter",
    "Items of the platform whose content could not be read.",
    ("resource",),
)
TASK_FAILURES = Family(
    "task_failures_total",
    "counter",
    "Failures of long-running tasks, which were started again.",
    ("task",),
)
LOOP_LATE = Family(
    "loop_late_total", "counter", "Periodic checks that ran half a second late or more."
)

QUEUE_DEPTH = Family("queue_depth_calls", "gauge", "Calls that wait.", ("priority",))
CONCURRENCY_LIMIT = Family("concurrency_limit_calls", "gauge", "Limit of the calls in flight.")
IN_FLIGHT = Family("in_flight_calls", "gauge", "Calls at the backend server.")
HELD_BYTES = Family("held_bytes", "gauge", "Bytes of requests that are held in memory.")
CONFIG_VERSION = Family("config_version", "gauge", "Version of the document in force.")
CONFIG_AGE = Family("config_age_seconds", "gauge", "Time since the version was last confirmed.")
READY = Family("ready", "gauge", "1 when the daemon takes calls.")
PEERS = Family("peers", "gauge", "Other daemons by what is known of them.", ("status",))
SLOTS_OWNED = Family("slots_owned", "gauge", "Slots that this daemon decides for.", ("kind",))
LOANS = Family("loaned_tokens", "gauge", "Tokens lent and not known to be spent.")
LOOP_GAP = Family("loop_gap_max_seconds", "gauge", "Longest pause of the event loop.")

COUNTERS = (
    CALLS,
    RETRIES,
    BACKEND_CALLS,
    MISDIRECTED_CALLS,
    LINK_BYTES,
    LINK_FAULTS,
    PLATFORM_READS,
    AUDIT_EVENTS,
    REQUESTS_UNANSWERED,
    LOOP_GAPS,
    CONTROL_REFUSED,
    PLATFORM_REFUSED,
    TASK_FAILURES,
    LOOP_LATE,
)
GAUGES = (
    QUEUE_DEPTH,
    CONCURRENCY_LIMIT,
    IN_FLIGHT,
    HELD_BYTES,
    CONFIG_VERSION,
    CONFIG_AGE,
    READY,
    PEERS,
    SLOTS_OWNED,
    LOANS,
    LOOP_GAP,
)
FAMILIES = (*COUNTERS, CALL_DURATION, *GAUGES)


@attrs.define
class Counts:
    """Counter of one family, by label values.

    Once there are `MAX_SERIES` series, new label values are counted together as ``other``.
    """

    family: Family
    values: dict[Labels, int] = attrs.field(factory=dict)

    def add(self, labels: Labels = (), amount: int = 1) -> None:
        values = self.values
        if labels not in values and len(values) >= MAX_SERIES:
            labels = (OTHER,) * len(labels)
        values[labels] = values.get(labels, 0) + amount


@attrs.define
class Durations:
    """Histogram of durations in milliseconds by label values, limited to `MAX_SERIES` as well."""

    family: Family
    buckets: dict[Labels, list[int]] = attrs.field(factory=dict)
    sums_ms: dict[Labels, float] = attrs.field(factory=dict)

    def observe(self, labels: Labels, duration_ms: float) -> None:
        """Add one duration, in milliseconds."""
        buckets = self.buckets.get(labels)
        if buckets is None:
            if len(self.buckets) >= MAX_SERIES:
                labels = (OTHER,) * len(labels)
            buckets = self.buckets.setdefault(labels, [0] * (len(DURATION_BOUNDS_MS) + 1))
        buckets[bisect_left(DURATION_BOUNDS_MS, duration_ms)] += 1
        self.sums_ms[labels] = self.sums_ms.get(labels, 0.0) + duration_ms


@attrs.define
class Metrics:
    """All metrics of one daemon.

    The call path uses `count_call`; other components get their `Counts` from `counter` once
    and increment it. A gauge is read on each scrape from the function given to `set_gauge`.
    """

    call_durations: Durations = attrs.field(factory=lambda: Durations(CALL_DURATION))
    _counters: dict[str, Counts] = attrs.field(
        factory=lambda: {family.name: Counts(family) for family in COUNTERS}
    )
    _gauges: dict[str, ReadGauge] = attrs.field(factory=dict)

    def counter(self, family: Family) -> Counts:
        return self._counters[family.name]

    def count_call(self, route: str, account: str, code: str, duration_ms: float) -> None:
        self._counters[CALLS.name].add((route, account, code))
        self.call_durations.observe((route,), duration_ms)

    def set_gauge(self, family: Family, read: ReadGauge | Callable[[], float]) -> None:
        """Register the function that reads a gauge on each scrape.

        Parameters
        ----------
        family : Family
            One of `GAUGES`.
        read : callable
            Returns a number if the family has no labels, else pairs of label values and
            number.
        """
        if family not in GAUGES:
            raise ValueError(f"{family.name} is not a gauge of the daemon")
        self._gauges[family.name] = read if family.labels else _read_unlabeled(read)  # type: ignore

    def render_families(self) -> Iterator[bytes]:
        """Yield the body by family, so that other tasks can run in between."""
        for counts in self._counters.values():
            yield _render(partial(_fill_counter, counts))
        yield _render(partial(_fill_durations, self.call_durations))
        for family in GAUGES:
            if family.name in self._gauges:
                yield _render(partial(_fill_gauge, family, self._gauges[family.name]))

    def render(self) -> bytes:
        """Return the scrape in the Prometheus text format."""
        return b"".join(self.render_families())


def _render(fill: Callable[[Registry], None]) -> bytes:
    registry = Registry()
    fill(registry)
    body, _ = render(registry, ())
    return body


def _read_unlabeled(read: Callable[[], float]) -> ReadGauge:
    return lambda: [((), read())]


def _map_labels(family: Family, labels: Labels) -> dict[str, str]:
    return dict(zip(family.labels, map(_sanitize_label, labels), strict=True))


def _sanitize_label(value: str) -> str:
    return value.replace("\\", "/").replace('"', "'").replace("\n", " ")


def _fill_counter(counts: Counts, registry: Registry) -> None:
    collector = Counter(counts.family.full_name, counts.family.doc, registry=registry)
    for labels, value in counts.values.items():
        collector.set(_map_labels(counts.family, labels), value)


def _fill_gauge(family: Family, read: ReadGauge, registry: Registry) -> None:
    collector = Gauge(family.full_name, family.doc, registry=registry)
    for labels, value in read():
        collector.set(_map_labels(family, labels), value)


def _fill_durations(durations: Durations, registry: Registry) -> None:
    family = durations.family
    bounds = [bound / MS_PER_S for bound in DURATION_BOUNDS_MS]
    collector = Histogram(family.full_name, family.doc, registry=registry, buckets=bounds)
    for labels, counts in durations.buckets.items():
        histogram = Buckets(*bounds)
        total = 0
        for bound, count in zip(histogram.buckets, counts, strict=True):
            total += count
            histogram.buckets[bound] = total
        histogram.observations = total
        histogram.sum = durations.sums_ms[labels] / MS_PER_S
        collector.values[_map_labels(family, labels)] = histogram
