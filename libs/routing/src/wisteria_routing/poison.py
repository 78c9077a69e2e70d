"""Detection of requests that crash the backend servers that run them (poison requests)."""

from collections import OrderedDict
from collections.abc import Hashable, Iterable

import attrs

from wisteria_core import Refusal, ResultCode, RunState, VmId, rank_by_rendezvous

from .config import PoisonConfig
from .const import MAX_CRASHES, MAX_SUSPECTS, MAX_SUSPECTS_PER_REPORT

SWEEP_INTERVAL_MS = 60_000


@attrs.frozen
class CrashReport:
    """Reports a crash to the other VMs of the service and, with failed answers, to the callers.

    Parameters
    ----------
    vm_id : str
        VM whose backend server crashed.
    suspects : tuple of bytes
        Fingerprints of the requests that may have caused the crash.
    sole : bool
        Whether the crash is attributed to one request: the only run in flight, or the only one
        in flight that was already a suspect.
    """

    crash_id: str
    vm_id: str
    suspects: tuple[bytes, ...]
    sole: bool


@attrs.frozen
class SuspicionCleared:
    """Tells the other VMs that a suspect has succeeded since these crashes."""

    fingerprint: bytes
    crash_ids: tuple[str, ...]


@attrs.frozen
class Evidence:
    """A crash that counts against a request."""

    vm_id: str
    sole: bool
    received_ms: int


@attrs.define
class _Record:
    """Crashes that count against one request, and crashes cleared by a success."""

    crashes: dict[str, Evidence] = attrs.Factory(dict)
    cleared: set[str] = attrs.Factory(set)
    blocked: bool = False

    def count_sole_crashes(self) -> int:
        return sum(1 for evidence in self.crashes.values() if evidence.sole)


@attrs.define
class PoisonDetector:
    """Tracks, by fingerprint, the backend server crashes during which a request was in flight.

    After one crash with several suspects, a request runs alongside a limited number of other
    suspects. After a second crash, or one with this request as the sole suspect, it runs
    alongside no other suspect. It is blocked permanently after two crashes as the sole suspect,
    or after `MAX_CRASHES` crashes including one as the sole suspect, without a success in
    between: a success clears all crashes known so far. Evidence is a set of crashes, so reports
    may arrive late, repeatedly and in any order.

    Parameters
    ----------
    incarnation : str
        Distinguishes crash IDs of this daemon process from those of earlier ones.
    """

    vm_id: str
    incarnation: str = ""
    config: PoisonConfig = attrs.field(factory=PoisonConfig)
    _records: OrderedDict[bytes, _Record] = attrs.field(init=False, factory=OrderedDict)
    _successes: OrderedDict[bytes, int] = attrs.field(init=False, factory=OrderedDict)
    _running: dict[Hashable, bytes] = attrs.field(init=False, factory=dict)
    _last_sweep_ms: int = attrs.field(init=False, default=0)
    _crashes: int = attrs.field(init=False, default=0)

    def refuse_blocked(self, fingerprint: bytes) -> Refusal | None:
        """Return the final refusal for a permanently blocked request, else None."""
        record = self._records.get(fingerprint)
        if record is None or not record.blocked:
            return None
        self._records.move_to_end(fingerprint)
        return Refusal(
            ResultCode.POISON_REQUEST,
            "backend servers crashed whenever they ran this request",
            RunState.NOT_RUN,
        )

    def start(self, now_ms: int, run_id: Hashable, fingerprint: bytes) -> Refusal | None:
        """Register a run just before it is sent to the local backend server.

        Returns
        -------
        Refusal or None
            None when the run may be sent. A suspect that cannot run alongside the current
            suspects is refused with run state ``NOT_RUN`` and may be retried.
        """
        refusal = self.refuse_blocked(fingerprint)
        if refusal is not None:
            return refusal
        if not self._can_run(now_ms, fingerprint):
            return Refusal(
                ResultCode.SHED,
                "it was in flight during a crash and has to run apart from others",
                retry_after_ms=self.config.suspect_retry_after_ms,
            )
        self._running[run_id] = fingerprint
        return None

    def finish(self, now_ms: int, run_id: Hashable, succeeded: bool) -> SuspicionCleared | None:
        """Register the end of a run; return the message to send to the other VMs, if any."""
        fingerprint = self._running.pop(run_id, None)
        if fingerprint is None or not succeeded:
            return None
        self._note_success(now_ms, fingerprint)
        crash_ids = tuple(self._evidence(now_ms, fingerprint))
        if not crash_ids or self._records[fingerprint].blocked:
            return None
        cleared = SuspicionCleared(fingerprint, crash_ids)
        self.note_cleared(now_ms, cleared)
        return cleared

    def note_crash(self, now_ms: int) -> CrashReport | None:
        """Register a crash of the local backend server, which ends all runs.

        Returns
        -------
        CrashReport or None
            The message to send to the other VMs and with the failed answers; None when no
            request was in flight.
        """
        in_flight = sorted(set(self._running.values()))
        runs = len(self._running)
        self._running.clear()
        if not in_flight:
            return None
        earlier = [item for item in in_flight if self._evidence(now_ms, item)]
        unproven = [item for item in in_flight if not self._has_succeeded_recently(now_ms, item)]
        suspects = earlier or unproven or in_flight
        sole = runs == 1 or len(earlier) == 1
        self._crashes += 1
        crash_id = f"{self.vm_id}/{self.incarnation}/{self._crashes}"
        report = CrashReport(crash_id, self.vm_id, tuple(suspects[:MAX_SUSPECTS_PER_REPORT]), sole)
        self.note_report(now_ms, report)
        return report

    def note_report(self, now_ms: int, report: CrashReport) -> None:
        """Record a crash report of this VM or another one; a repeated report counts only once."""
        if now_ms - self._last_sweep_ms >= SWEEP_INTERVAL_MS:
            self.forget_expired(now_ms)
        for fingerprint in report.suspects:
            record = self._get_record(fingerprint)
            if report.crash_id in record.cleared:
                continue
            record.crashes[report.crash_id] = Evidence(report.vm_id, report.sole, now_ms)
            self._update_blocked(now_ms, fingerprint)

    def note_cleared(self, now_ms: int, cleared: SuspicionCleared) -> None:
        """Record that a suspect has succeeded since the given crashes."""
        record = self._get_record(cleared.fingerprint)
        for crash_id in cleared.crash_ids:
            record.cleared.add(crash_id)
            record.crashes.pop(crash_id, None)

    def is_suspect(self, now_ms: int, fingerprint: bytes) -> bool:
        """Return whether any unexpired crash counts against the request."""
        return bool(self._evidence(now_ms, fingerprint))

    def prefer_server(self, now_ms: int, fingerprint: bytes, usable: Iterable[VmId]) -> VmId | None:
        """Return the backend server that a suspect should run on, None for other requests.

        All daemons choose the same server, so that copies of a suspect do not run concurrently.
        Servers that crashed while running it are chosen last.
        """
        evidence = self._evidence(now_ms, fingerprint)
        if not evidence:
            return None
        crashed = {item.vm_id for item in evidence.values()}
        ranked = rank_by_rendezvous(fingerprint.hex(), usable)
        ranked.sort(key=lambda vm_id: vm_id in crashed)
        return VmId(ranked[0]) if ranked else None

    def reports_on(self, now_ms: int, fingerprint: bytes) -> tuple[CrashReport, ...]:
        """Return the evidence on one request, to be sent with its next attempt."""
        return tuple(
            CrashReport(crash_id, evidence.vm_id, (fingerprint,), evidence.sole)
            for crash_id, evidence in self._evidence(now_ms, fingerprint).items()
        )

    def snapshot(self, now_ms: int) -> tuple[CrashReport, ...]:
        """Return all evidence, for a daemon that has just started."""
        return tuple(
            report
            for fingerprint in list(self._records)
            for report in self.reports_on(now_ms, fingerprint)
        )

    def forget_expired(self, now_ms: int) -> None:
        """Drop expired evidence; `note_report` does so every `SWEEP_INTERVAL_MS` at most."""
        self._last_sweep_ms = now_ms
        for fingerprint in list(self._records):
            if not self._evidence(now_ms, fingerprint):
                del self._records[fingerprint]

    def describe(self, now_ms: int) -> dict[str, int]:
        """Return counts for the operator port."""
        return {
            "suspects": sum(1 for item in self._records if self.is_suspect(now_ms, item)),
            "convicted": sum(1 for record in self._records.values() if record.blocked),
            "crashes": self._crashes,
        }

    def _can_run(self, now_ms: int, fingerprint: bytes) -> bool:
        """Return whether a run may start alongside the suspects in flight."""
        evidence = self._evidence(now_ms, fingerprint)
        if not evidence:
            return True
        others = [item for item in self._running.values() if self.is_suspect(now_ms, item)]
        if fingerprint in others:
            return False
        concurrent_suspects = [fingerprint, *others] if others else []
        if any(self._needs_isolation(now_ms, item) for item in concurrent_suspects):
            return False
        return len(others) < self.config.max_concurrent_suspects

    def _needs_isolation(self, now_ms: int, fingerprint: bytes) -> bool:
        evidence = self._evidence(now_ms, fingerprint)
        return len(evidence) > 1 or any(item.sole for item in evidence.values())

    def _update_blocked(self, now_ms: int, fingerprint: bytes) -> None:
        record = self._records[fingerprint]
        self._evidence(now_ms, fingerprint)
        sole = record.count_sole_crashes()
        if sole > 1 or (sole == 1 and len(record.crashes) >= MAX_CRASHES):
            record.blocked = True

    def _evidence(self, now_ms: int, fingerprint: bytes) -> dict[str, Evidence]:
        """Return the crashes that count against a request; they expire unless it is blocked."""
        record = self._records.get(fingerprint)
        if record is None:
            return {}
        if not record.blocked:
            oldest_ms = now_ms - self.config.evidence_ms
            record.crashes = {
                crash_id: item
                for crash_id, item in record.crashes.items()
                if item.received_ms > oldest_ms
            }
        return record.crashes

    def _get_record(self, fingerprint: bytes) -> _Record:
        record = self._records.setdefault(fingerprint, _Record())
        self._records.move_to_end(fingerprint)
        if len(self._records) > MAX_SUSPECTS:
            self._evict_record()
        return record

    def _evict_record(self) -> None:
        """Drop the least recently used record, preferring requests that are not blocked."""
        evicted = next((f for f, r in self._records.items() if not r.blocked), None)
        del self._records[evicted if evicted is not None else next(iter(self._records))]

    def _note_success(self, now_ms: int, fingerprint: bytes) -> None:
        self._successes[fingerprint] = now_ms
        self._successes.move_to_end(fingerprint)
        if len(self._successes) > MAX_SUSPECTS:
            self._successes.popitem(last=False)

    def _has_succeeded_recently(self, now_ms: int, fingerprint: bytes) -> bool:
        succeeded_ms = self._successes.get(fingerprint)
        return succeeded_ms is not None and now_ms - succeeded_ms < self.config.success_validity_ms
