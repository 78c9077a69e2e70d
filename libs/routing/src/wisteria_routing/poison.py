"""Detection of requests that crash the backend servers that run them."""

from collections import OrderedDict
from collections.abc import Hashable, Iterable

import attrs

from wisteria_core import Refusal, ResultCode, RunState, VmId, rank_by_rendezvous

from .config import PoisonConfig
from .const import MAX_CRASHES, MAX_SUSPECTS, MAX_SUSPECTS_PER_REPORT

SWEEP_MS = 60_000


@attrs.frozen
class CrashReport:
    """Message to the peers of the service, and on the failed answers to the callers' daemons.

    Parameters
    ----------
    crash_id : str
        Unique name of the crash.
    vm_id : str
        VM whose backend server crashed.
    suspects : tuple of bytes
        Fingerprints of the requests that may have caused it.
    sole : bool
        Whether the only suspect was the only one in flight, or the only earlier suspect.
    """

    crash_id: str
    vm_id: str
    suspects: tuple[bytes, ...]
    sole: bool


@attrs.frozen
class SuspicionCleared:
    """Message to the peers: a suspect has run with success since these crashes."""

    fingerprint: bytes
    crash_ids: tuple[str, ...]


@attrs.frozen
class Evidence:
    """One crash that counts against a request."""

    vm_id: str
    sole: bool
    heard_ms: int


@attrs.define
class _Record:
    """Crashes that count against one request, and those that a success has cleared."""

    crashes: dict[str, Evidence] = attrs.Factory(dict)
    cleared: set[str] = attrs.Factory(set)
    convicted: bool = False

    def sole_crashes(self) -> int:
        return sum(1 for evidence in self.crashes.values() if evidence.sole)


@attrs.define
class PoisonDetector:
    """Counts, by fingerprint, the crashes of backend servers that a request was part of.

    After one shared crash a request runs beside a few other suspects at most; after a second
    one, or a crash that it alone can have caused, beside no other suspect. It is refused for
    good after `MAX_CRASHES` crashes of which one was its alone, or two that were its alone,
    without a success in between: a success clears it of the crashes known so far. The evidence
    is a set of crashes, so that reports may arrive late, doubled and in any order.

    Parameters
    ----------
    vm_id : str
        This VM.
    incarnation : str
        Distinguishes the crashes reported by a restarted daemon.
    config : PoisonConfig
        Parameters.
    """

    vm_id: str
    incarnation: str = ""
    config: PoisonConfig = attrs.field(factory=PoisonConfig)
    _records: OrderedDict[bytes, _Record] = attrs.field(init=False, factory=OrderedDict)
    _successes: OrderedDict[bytes, int] = attrs.field(init=False, factory=OrderedDict)
    _running: dict[Hashable, bytes] = attrs.field(init=False, factory=dict)
    _swept_ms: int = attrs.field(init=False, default=0)
    _crashes: int = attrs.field(init=False, default=0)

    def refuse_blocked(self, fingerprint: bytes) -> Refusal | None:
        """Return the final refusal of a request that is refused for good, else None."""
        record = self._records.get(fingerprint)
        if record is None or not record.convicted:
            return None
        self._records.move_to_end(fingerprint)
        return Refusal(
            ResultCode.POISON_REQUEST,
            "backend servers crashed whenever they ran this request",
            RunState.NOT_RUN,
        )

    def start(self, now_ms: int, run_id: Hashable, fingerprint: bytes) -> Refusal | None:
        """Register a run at the own backend server just before it is sent.

        Returns
        -------
        Refusal or None
            None when it may be sent. A suspect that cannot run beside the present suspects
            is refused as not run and may come back.
        """
        refusal = self.refuse_blocked(fingerprint)
        if refusal is not None:
            return refusal
        if not self._fits(now_ms, fingerprint):
            return Refusal(
                ResultCode.SHED,
                "it was in flight during a crash and has to run apart from others",
                retry_after_ms=self.config.wait_ms,
            )
        self._running[run_id] = fingerprint
        return None

    def finish(self, now_ms: int, run_id: Hashable, succeeded: bool) -> SuspicionCleared | None:
        """Register the end of a run; return the message to send to the peers, if any."""
        fingerprint = self._running.pop(run_id, None)
        if fingerprint is None or not succeeded:
            return None
        self._note_success(now_ms, fingerprint)
        crash_ids = tuple(self._evidence(now_ms, fingerprint))
        if not crash_ids or self._records[fingerprint].convicted:
            return None
        cleared = SuspicionCleared(fingerprint, crash_ids)
        self.note_cleared(now_ms, cleared)
        return cleared

    def note_crash(self, now_ms: int) -> CrashReport | None:
        """Register a crash of the own backend server; all runs end with it.

        Returns
        -------
        CrashReport or None
            The message to send to the peers and with the failed answers; None when nothing
            was in flight.
        """
        in_flight = sorted(set(self._running.values()))
        runs = len(self._running)
        self._running.clear()
        if not in_flight:
            return None
        earlier = [item for item in in_flight if self._evidence(now_ms, item)]
        strangers = [item for item in in_flight if not self._is_vouched(now_ms, item)]
        suspects = earlier or strangers or in_flight
        sole = runs == 1 or len(earlier) == 1
        self._crashes += 1
        crash_id = f"{self.vm_id}/{self.incarnation}/{self._crashes}"
        report = CrashReport(crash_id, self.vm_id, tuple(suspects[:MAX_SUSPECTS_PER_REPORT]), sole)
        self.note_report(now_ms, report)
        return report

    def note_report(self, now_ms: int, report: CrashReport) -> None:
        """Take in a report, of this VM or of a peer, once or several times."""
        if now_ms - self._swept_ms >= SWEEP_MS:
            self.forget_expired(now_ms)
        for fingerprint in report.suspects:
            record = self._record_of(fingerprint)
            if report.crash_id in record.cleared:
                continue
            record.crashes[report.crash_id] = Evidence(report.vm_id, report.sole, now_ms)
            self._judge(now_ms, fingerprint)

    def note_cleared(self, now_ms: int, cleared: SuspicionCleared) -> None:
        """Take in that a suspect has run with success."""
        record = self._record_of(cleared.fingerprint)
        for crash_id in cleared.crash_ids:
            record.cleared.add(crash_id)
            record.crashes.pop(crash_id, None)

    def is_suspect(self, now_ms: int, fingerprint: bytes) -> bool:
        """Return whether a crash counts against the request at present."""
        return bool(self._evidence(now_ms, fingerprint))

    def prefer_server(self, now_ms: int, fingerprint: bytes, usable: Iterable[VmId]) -> VmId | None:
        """Return the one backend server that a suspect should run on, None for others.

        Every daemon names the same one, so that copies of a suspect do not run side by side;
        a server that it crashed comes last.
        """
        evidence = self._evidence(now_ms, fingerprint)
        if not evidence:
            return None
        crashed = {item.vm_id for item in evidence.values()}
        ranked = rank_by_rendezvous(fingerprint.hex(), usable)
        ranked.sort(key=lambda vm_id: vm_id in crashed)
        return VmId(ranked[0]) if ranked else None

    def reports_on(self, now_ms: int, fingerprint: bytes) -> tuple[CrashReport, ...]:
        """Return the evidence on one request, to send along with its next attempt."""
        return tuple(
            CrashReport(crash_id, evidence.vm_id, (fingerprint,), evidence.sole)
            for crash_id, evidence in self._evidence(now_ms, fingerprint).items()
        )

    def snapshot(self, now_ms: int) -> tuple[CrashReport, ...]:
        """Return all evidence, for a peer that has just started."""
        return tuple(
            report
            for fingerprint in list(self._records)
            for report in self.reports_on(now_ms, fingerprint)
        )

    def forget_expired(self, now_ms: int) -> None:
        """Drop evidence that has expired; `note_report` does so once in a while."""
        self._swept_ms = now_ms
        for fingerprint in list(self._records):
            if not self._evidence(now_ms, fingerprint):
                del self._records[fingerprint]

    def describe(self, now_ms: int) -> dict[str, int]:
        """Return counts for the operators' port."""
        return {
            "suspects": sum(1 for item in self._records if self.is_suspect(now_ms, item)),
            "convicted": sum(1 for record in self._records.values() if record.convicted),
            "crashes": self._crashes,
        }

    def _fits(self, now_ms: int, fingerprint: bytes) -> bool:
        """Return whether a run may start beside the suspects in flight."""
        evidence = self._evidence(now_ms, fingerprint)
        if not evidence:
            return True
        others = [item for item in self._running.values() if self.is_suspect(now_ms, item)]
        if fingerprint in others:
            return False
        apart = [fingerprint, *others] if others else []
        if any(self._must_run_apart(now_ms, item) for item in apart):
            return False
        return len(others) < self.config.group

    def _must_run_apart(self, now_ms: int, fingerprint: bytes) -> bool:
        evidence = self._evidence(now_ms, fingerprint)
        return len(evidence) > 1 or any(item.sole for item in evidence.values())

    def _judge(self, now_ms: int, fingerprint: bytes) -> None:
        record = self._records[fingerprint]
        self._evidence(now_ms, fingerprint)
        sole = record.sole_crashes()
        if sole > 1 or (sole == 1 and len(record.crashes) >= MAX_CRASHES):
            record.convicted = True

    def _evidence(self, now_ms: int, fingerprint: bytes) -> dict[str, Evidence]:
        """Return what counts against a request; evidence expires unless it is convicted."""
        record = self._records.get(fingerprint)
        if record is None:
            return {}
        if not record.convicted:
            oldest_ms = now_ms - self.config.evidence_ms
            record.crashes = {
                crash_id: item
                for crash_id, item in record.crashes.items()
                if item.heard_ms > oldest_ms
            }
        return record.crashes

    def _record_of(self, fingerprint: bytes) -> _Record:
        record = self._records.setdefault(fingerprint, _Record())
        self._records.move_to_end(fingerprint)
        if len(self._records) > MAX_SUSPECTS:
            self._drop_oldest()
        return record

    def _drop_oldest(self) -> None:
        """Drop the record used least recently, of the requests not refused for good first."""
        found = next((f for f, r in self._records.items() if not r.convicted), None)
        del self._records[found if found is not None else next(iter(self._records))]

    def _note_success(self, now_ms: int, fingerprint: bytes) -> None:
        self._successes[fingerprint] = now_ms
        self._successes.move_to_end(fingerprint)
        if len(self._successes) > MAX_SUSPECTS:
            self._successes.popitem(last=False)

    def _is_vouched(self, now_ms: int, fingerprint: bytes) -> bool:
        succeeded_ms = self._successes.get(fingerprint)
        return succeeded_ms is not None and now_ms - succeeded_ms < self.config.vouch_ms
