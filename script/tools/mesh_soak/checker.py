"""Judges a record by the published rules.

It is narrower than they are: a machine counts as in touch only from `MARGIN_S` after the window on,
a disruption anywhere excuses lost requests everywhere, and only failures of the daemons count, not
what they cost.
"""

import math
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterator
from itertools import accumulate

import attrs

from .models import Record, Sample, Version, Work

CONFIG_APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
REGRESS_SLACK_S = 0.25
SLOWED_FACTOR = 8
DRAIN_S = 2.0
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
MARGIN_S = 0.25
"""Allowance for the time between an event and its record here."""
LOST_LIMIT = 3
HELD_S = 0.5
MEMORY_MB = 300
OWN_END_S = 1.0
"""Time after a disruption of a machine in which the end of its process is put down to it."""
_PROMISES = (408, 421, 429, 503)
_CONFIG_STATUSES = (401, 403, 404)


@attrs.define(eq=False)
class Case:
    """A broken rule, or a case of one that is broken by several.

    Parameters
    ----------
    attempt : str
        Request that it concerns, if any.
    """

    rule: str
    at_s: float
    text: str
    attempt: str = ""
    host: str = ""


@attrs.define(eq=False)
class Checker:
    """Compares what was seen with what may be."""

    record: Record
    _runs: dict[str, list[Work]] = attrs.field(factory=dict)
    _times: list[float] = attrs.field(factory=list)

    def check(self) -> list[Case]:
        """Return all cases, in order of time."""
        runs = defaultdict(list)
        for work in self.record.work:
            runs[work.attempt].append(work)
        self._runs = dict(runs)
        self._times = [version.at_s for version in self.record.versions]
        found = [
            *self._check_ends(),
            *self._check_answers(),
            *self._check_routes(),
            *self._check_regress(),
            *self._check_added(),
            *self._check_departures(),
            *self._check_lost(),
            *self._check_kept(),
            *self._check_held(),
        ]
        return sorted(found, key=lambda case: case.at_s)

    def runs_of(self, sample: Sample) -> list[Work]:
        return self._runs.get(sample.attempt, [])

    def is_in_touch(self, host: str, from_s: float, to_s: float) -> bool:
        """Return whether a machine was undisturbed from the window before a span to its end."""
        return not any(
            (found.hosts is None or host in found.hosts)
            and found.start_s <= to_s
            and found.end_s + STABLE_WINDOW_S + MARGIN_S >= from_s
            for found in self.record.disruptions
        )

    def _is_disturbed(self, host: str, at_s: float) -> bool:
        """Return whether a machine itself was disturbed, or started, up to a second ago."""
        starts = [start_s for name, start_s in self.record.starts if name == host]
        return any(start_s <= at_s <= start_s + OWN_END_S for start_s in starts) or any(
            found.hosts is not None
            and host in found.hosts
            and found.start_s <= at_s <= found.end_s + OWN_END_S
            for found in self.record.disruptions
        )

    def _is_store_stable(self, at_s: float) -> bool:
        return self.is_in_touch("", at_s, at_s)

    def _list_versions(self, sent_s: float, until_s: float) -> list[Version]:
        """Return the versions that may be in force for a request of a machine in touch."""
        oldest = bisect_left(self._times, sent_s - CONFIG_APPLY_S - MARGIN_S) - 1
        newest = bisect_right(self._times, until_s + MARGIN_S)
        return self.record.versions[max(0, oldest) : newest]

    def _list_handlings(self, sample: Sample) -> Iterator[tuple[float, str]]:
        """Yield the services that ran a request and a refusal that follows from a version."""
        for work in self.runs_of(sample):
            yield work.at_s, work.service
        if sample.status in _CONFIG_STATUSES and not sample.signed:
            yield sample.ended_s, str(sample.status)

    @staticmethod
    def _allows(version: Version, sample: Sample, handling: str) -> bool:
        if handling.isdigit():
            return version.explains(sample.path, sample.key, int(handling))
        return handling in version.list_services(sample.path, sample.key)

    # rules

    def _check_ends(self) -> Iterator[Case]:
        for host, at_s, code in self.record.ends:
            if self._is_disturbed(host, at_s):
                continue
            yield Case("FAULT", at_s, f"process of {host} ended by itself: {code}", host=host)
        for kind, at_s in self.record.unready:
            yield Case("FAULT", at_s, f"a daemon is not ready long after {kind}")
        for host, used_mb in self.record.memory_mb.items():
            if used_mb > MEMORY_MB:
                yield Case("FAULT", 0.0, f"daemon of {host} used {used_mb:.0f} MB", host=host)
        for host, at_s, code, took_s in self.record.stops:
            if code != 0:
                text = f"stop of {host} ended with {code} after {took_s:.1f} s"
                yield Case("STOP", at_s, text, host=host)

    def _check_answers(self) -> Iterator[Case]:
        for sample in self.record.samples:
            for fault in sample.faults:
                yield self._make("MIXED", sample, fault)
            runs = self.runs_of(sample)
            if sample.is_repeatable or not runs:
                continue
            if len(runs) > 1:
                yield self._make("TWICE", sample, f"ran {len(runs)} times")
            if sample.status in _PROMISES and not sample.signed:
                yield self._make("REFUSED", sample, f"{sample.status} and has run")

    def _check_routes(self) -> Iterator[Case]:
        for sample in self.record.samples:
            for at_s, handling in self._list_handlings(sample):
                sent = self.record.versions[: bisect_right(self._times, at_s + MARGIN_S)]
                if not any(self._allows(version, sample, handling) for version in sent):
                    if not handling.isdigit():
                        yield self._make("ROUTE", sample, f"no version lets it go to {handling}")
                    elif self.is_in_touch(sample.host, sample.sent_s, at_s):
                        yield self._make("DENIED", sample, f"no version explains {handling}")
                    continue
                if not self.is_in_touch(sample.host, sample.sent_s, at_s):
                    continue
                allowed = self._list_versions(sample.sent_s, at_s)
                if not any(self._allows(version, sample, handling) for version in allowed):
                    late_s = sample.sent_s - allowed[0].at_s
                    number = allowed[0].number
                    text = f"{handling} as only versions before {number} allow, {late_s:.2f} s late"
                    yield self._make("CONFIG", sample, text)

    def _check_regress(self) -> Iterator[Case]:
        """Find requests handled by an older version than one whose effect was seen before."""
        starts: defaultdict[str, list[float]] = defaultdict(lambda: [0.0])
        for host, at_s in sorted(self.record.starts, key=lambda start: start[1]):
            starts[host].append(at_s)
        by_process = defaultdict(list)
        for sample in self.record.samples:
            begun_s = starts[sample.host][bisect_right(starts[sample.host], sample.sent_s) - 1]
            by_process[sample.host, begun_s].append(sample)
        for samples in by_process.values():
            effects = sorted(self._list_effects(samples))
            times = [at_s for at_s, _ in effects]
            floors = list(accumulate((index for _, index in effects), max, initial=0))
            for sample in samples:
                for at_s, handling in self._list_handlings(sample):
                    fitting = self._find_fitting(sample, handling, at_s)
                    is_slowed = not self.is_in_touch(sample.host, sample.sent_s, at_s)
                    slack_s = REGRESS_SLACK_S * (SLOWED_FACTOR if is_slowed else 1) + MARGIN_S
                    floor = floors[bisect_left(times, sample.sent_s - slack_s)]
                    if fitting and fitting[-1] < floor:
                        number = self.record.versions[floor].number
                        text = f"{handling}, while {number} had been in force there"
                        yield self._make("CONFIG-regress", sample, text)

    def _list_effects(self, samples: list[Sample]) -> Iterator[tuple[float, int]]:
        for sample in samples:
            for work in self.runs_of(sample):
                fitting = self._find_fitting(sample, work.service, work.at_s)
                if fitting and fitting[0] > 0:
                    yield work.at_s, fitting[0]

    def _find_fitting(self, sample: Sample, handling: str, at_s: float) -> list[int]:
        newest = bisect_right(self._times, at_s + MARGIN_S)
        versions = enumerate(self.record.versions[:newest])
        return [i for i, version in versions if self._allows(version, sample, handling)]

    def _check_added(self) -> Iterator[Case]:
        """Compare how often added routes and the first ones are served."""
        served: Counter[bool] = Counter()
        asked: Counter[bool] = Counter()
        last = None
        for sample in self.record.samples:
            if sample.parent or not self.is_in_touch(sample.host, sample.sent_s, sample.ended_s):
                continue
            versions = self._list_versions(sample.sent_s, sample.ended_s)
            if not all(v.list_services(sample.path, sample.key) for v in versions):
                continue
            is_added = sample.route.startswith("added")
            asked[is_added] += 1
            served[is_added] += sample.status == 200
            last = sample if is_added and sample.status != 200 else last
        if asked[True] >= 20 and served[True] * asked[False] * 4 < served[False] * asked[True]:
            text = f"added routes: {served[True]} of {asked[True]}, first: {served[False]} of "
            assert last is not None
            yield self._make("CONFIG", last, f"{text}{asked[False]}")

    def _check_departures(self) -> Iterator[Case]:
        by_instance = {one.instance: one for one in reversed(self.record.departures)}
        hosts = {sample.attempt: sample for sample in self.record.samples}
        for work in self.record.work:
            left = by_instance.get(work.instance)
            if left is None or work.at_s <= left.at_s + DRAIN_S + MARGIN_S:
                continue
            sample = hosts.get(work.attempt)
            if sample is None or not self._is_store_stable(left.at_s):
                continue
            is_calm = all(
                self.is_in_touch(host, left.at_s, work.at_s) for host in (sample.host, work.host)
            )
            if is_calm:
                late_s = work.at_s - left.at_s
                yield self._make("DRAIN", sample, f"runs {late_s:.2f} s after {left.kind}")

    def _check_lost(self) -> Iterator[Case]:
        """Find requests without a complete answer around planned work."""
        terms = defaultdict(list)
        for host, at_s, _, _ in self.record.stops:
            terms[host].append(at_s)
        for sample in self.record.samples:
            if sample.end not in ("answered", "closed", "cut") or not math.isfinite(
                sample.written_s
            ):
                continue
            if self._has_unplanned(sample.sent_s, sample.ended_s):
                continue
            runs = self.runs_of(sample)
            is_passed = bool(runs)
            is_late = sample.ended_s > sample.written_s + LOSS_SLACK_S
            if self._is_excused(sample, runs):
                continue
            term_s = max((s for s in terms[sample.host] if s <= sample.ended_s), default=-math.inf)
            after_term = sample.ended_s <= term_s + GRACE_S + 1.0 and sample.sent_s >= term_s - 10.0
            after_hup = any(
                host == sample.host and sample.sent_s - CONFIG_APPLY_S <= at_s <= sample.ended_s
                for host, at_s in self.record.reloads
            )
            around = "SIGTERM" if after_term else "SIGHUP" if after_hup else ""
            if sample.end in ("closed", "cut") and (is_passed or is_late):
                took_s = sample.ended_s - sample.sent_s
                ran = ", ".join(f"{run.end} at {run.instance}" for run in runs) or "not passed on"
                since = f"{sample.sent_s - term_s:+.2f} s from SIGTERM" if after_term else ""
                text = f"{sample.end} after {took_s:.2f} s ({ran}), request {sample.number} {since}"
                yield self._make("LOST" if around else "LOST-calm", sample, text)
            elif after_term and sample.end == "answered" and not sample.signed:
                cut = [run for run in runs if run.end == "cancelled" and run.at_s > term_s - 10.0]
                if cut and len(cut) == len(runs) and sample.status not in _PROMISES:
                    yield self._make("LOST", sample, f"broken off with {sample.status}")

    def _is_excused(self, sample: Sample, runs: list[Work]) -> bool:
        if any(run.end == "died" for run in runs):
            return True
        timeouts = [
            route["timeout_s"]
            for version in self.record.versions
            if (route := version.find_route(sample.path)) is not None
        ]
        limit_s = min([sample.timeout_s, *timeouts])
        if sample.ended_s - sample.sent_s >= limit_s - MARGIN_S:
            return True
        last_s = [
            at_s + took_s
            for host, at_s, _, took_s in self.record.stops
            if host == sample.host
            and sample.sent_s <= at_s + 3.0
            and sample.ended_s > at_s + GRACE_S * 5 / 6
        ]
        return bool(last_s)

    def _has_unplanned(self, from_s: float, to_s: float) -> bool:
        return any(
            not found.is_planned
            and found.start_s <= to_s
            and found.end_s + STABLE_WINDOW_S >= from_s
            for found in self.record.disruptions
        )

    def _check_kept(self) -> Iterator[Case]:
        """Find requests on kept connections that were passed on and got no answer."""
        cases = []
        for sample in self.record.samples:
            runs = self.runs_of(sample)
            if sample.end != "closed" or sample.number == 0 or not runs:
                continue
            if self._is_excused(sample, runs):
                continue
            if self.is_in_touch(sample.host, sample.sent_s, sample.ended_s):
                cases.append(self._make("LOST-kept", sample, "kept connection closed unanswered"))
        if len(cases) > LOST_LIMIT:
            yield from cases

    def _check_held(self) -> Iterator[Case]:
        """Find requests that are unanswered half a second after their time-out."""
        for sample in self.record.samples:
            waited_s = sample.ended_s - sample.sent_s
            if sample.end != "waited" or waited_s < sample.timeout_s + HELD_S:
                continue
            if not self.is_in_touch(sample.host, sample.sent_s, sample.ended_s):
                continue
            runs = ", ".join(f"{run.end} at {run.instance}" for run in self.runs_of(sample))
            yield self._make("HELD", sample, f"held ({runs or 'not passed on'})")

    @staticmethod
    def _make(rule: str, sample: Sample, text: str) -> Case:
        what = f"{text}: {sample.method} {sample.path} at {sample.host}"
        what += f" ended {sample.end} {sample.status} in {sample.ended_s - sample.sent_s:.2f} s"
        return Case(rule, sample.sent_s, what, sample.attempt, sample.host)
