"""Simulation of a service whose backend servers crash, with or without a poison request."""

import heapq
from collections import Counter
from collections.abc import Callable
from random import Random

import attrs

from wisteria_core import Refusal, VmId
from wisteria_routing import CrashReport, PoisonDetector, SuspicionCleared

POISON = b"poison"
SERVER_COUNT = 6
ENTRY_COUNT = 3
RESTART_MS = 150
REPORT_MS = (1, 4)
RUN_MS = (5, 25)
CRASH_AFTER_MS = 6
MAX_ATTEMPTS = 4
MAX_LOG_LINES = 20

Event = Callable[[int], None]


@attrs.define(eq=False)
class Call:
    """One request of a client, which may be sent several times."""

    fingerprint: bytes
    entry: int
    attempts: int = 0
    tried: frozenset[VmId] = frozenset()
    on_final: Callable[[int, bool], None] = lambda now_ms, succeeded: None


@attrs.define
class PoisonFleet:
    """Backend servers and entry daemons, each with a detector; messages are delayed or lost."""

    seed: int
    loss: float = 0.0
    random: Random = attrs.field(init=False)
    servers: dict[VmId, PoisonDetector] = attrs.field(init=False, factory=dict)
    entries: list[PoisonDetector] = attrs.field(init=False, factory=list)
    up: dict[VmId, bool] = attrs.field(init=False, factory=dict)
    running: dict[VmId, dict[int, Call]] = attrs.field(init=False, factory=dict)
    events: list[tuple[int, int, Event]] = attrs.field(init=False, factory=list)
    crashes: Counter[bytes] = attrs.field(init=False, factory=Counter)
    final_outcomes: Counter[tuple[bytes, str]] = attrs.field(init=False, factory=Counter)
    log: list[str] = attrs.field(init=False, factory=list)
    sequence: int = 0

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)
        for number in range(SERVER_COUNT):
            vm = VmId(f"vm-{number}")
            self.servers[vm] = PoisonDetector(vm)
            self.up[vm] = True
            self.running[vm] = {}
        self.entries = [PoisonDetector(f"entry-{number}") for number in range(ENTRY_COUNT)]

    def at(self, when_ms: int, event: Event) -> None:
        """Schedule an event."""
        self.sequence += 1
        heapq.heappush(self.events, (when_ms, self.sequence, event))

    def run(self, until_ms: int) -> None:
        """Run all events up to `until_ms`."""
        while self.events and self.events[0][0] <= until_ms:
            now_ms, _, event = heapq.heappop(self.events)
            event(now_ms)

    def send(self, now_ms: int, call: Call) -> None:
        """Send one attempt from the entry daemon of the call."""
        entry = self.entries[call.entry]
        call.attempts += 1
        refusal = entry.refuse_blocked(call.fingerprint)
        usable = [vm for vm, is_up in self.up.items() if is_up and vm not in call.tried]
        if refusal is None and not usable:
            self.end(now_ms, call, False, "NO_BACKEND_SERVER")
            return
        if refusal is not None or call.attempts > MAX_ATTEMPTS:
            if call.fingerprint == POISON and len(self.log) < MAX_LOG_LINES:
                self.log_decision(now_ms, "entry", call, refusal)
            self.end(now_ms, call, False, refusal.code.name if refusal else "GIVEN_UP")
            return
        preferred = entry.prefer_server(now_ms, call.fingerprint, usable)
        vm = preferred or self.random.choice(usable)
        for report in entry.reports_on(now_ms, call.fingerprint):
            self.servers[vm].note_report(now_ms, report)
        self.sequence += 1
        run_id = self.sequence
        verdict = self.servers[vm].start(now_ms, run_id, call.fingerprint)
        if call.fingerprint == POISON or call.tried:
            self.log_decision(now_ms, f"start on {vm}", call, verdict)
        if isinstance(verdict, Refusal):
            pause_ms = verdict.retry_after_ms or 0
            self.at(now_ms + pause_ms, lambda later_ms: self.send(later_ms, call))
            return
        self.running[vm][run_id] = call
        if call.fingerprint == POISON:
            self.at(now_ms + CRASH_AFTER_MS, lambda later_ms: self.poison(later_ms, vm, run_id))
        else:
            run_ms = self.random.randint(*RUN_MS)
            self.at(now_ms + run_ms, lambda later_ms: self.finish(later_ms, vm, run_id))

    def finish(self, now_ms: int, vm: VmId, run_id: int) -> None:
        """Answer a call unless its backend server has crashed since."""
        call = self.running[vm].pop(run_id, None)
        if call is None:
            return
        cleared = self.servers[vm].finish(now_ms, run_id, succeeded=True)
        if cleared is not None:
            self.broadcast(now_ms, vm, cleared)
        self.end(now_ms, call, True, "OK")

    def poison(self, now_ms: int, vm: VmId, run_id: int) -> None:
        """Crash the backend server unless it has crashed since."""
        if run_id in self.running[vm]:
            self.crashes[POISON] += 1
            self.crash(now_ms, vm)

    def crash(self, now_ms: int, vm: VmId) -> None:
        """Crash a backend server: its calls fail and its daemon sends a report."""
        if not self.up[vm]:
            return
        self.up[vm] = False
        report = self.servers[vm].note_crash(now_ms)
        calls = list(self.running[vm].values())
        sole = report is not None and report.sole
        self.log.append(f"{now_ms} {vm} crashed, {len(calls)} in flight, sole={sole}")
        self.running[vm].clear()
        for call in calls:
            if report is not None:
                self.entries[call.entry].note_report(now_ms, report)
            call.tried |= {vm}
            pause_ms = self.random.randint(0, 10)
            self.at(now_ms + pause_ms, lambda later_ms, call=call: self.send(later_ms, call))  # type: ignore[misc]
        if report is not None:
            self.broadcast(now_ms, vm, report)
        self.at(now_ms + RESTART_MS, lambda later_ms: self.up.update({vm: True}))

    def log_decision(self, now_ms: int, event: str, call: Call, verdict: Refusal | None) -> None:
        """Log the decision on a call."""
        result = "allowed" if verdict is None else f"{verdict.code.name}, {verdict.run_state.value}"
        self.log.append(f"{now_ms} {event} {call.fingerprint.decode()}: {result}")

    def broadcast(self, now_ms: int, sender: VmId, message: CrashReport | SuspicionCleared) -> None:
        """Send a message to every other detector; some copies are lost, some duplicated."""
        for detector in [*self.servers.values(), *self.entries]:
            for _ in range(self.random.choice((1, 1, 2))):
                if detector.vm_id != sender and self.random.random() >= self.loss:
                    delay_ms = self.random.randint(*REPORT_MS)
                    self.at(now_ms + delay_ms, self.deliver(detector, message))

    @staticmethod
    def deliver(detector: PoisonDetector, message: CrashReport | SuspicionCleared) -> Event:
        """Return the event that delivers a message."""

        def arrive(now_ms: int) -> None:
            if isinstance(message, CrashReport):
                detector.note_report(now_ms, message)
            else:
                detector.note_cleared(now_ms, message)

        return arrive

    def end(self, now_ms: int, call: Call, succeeded: bool, outcome: str) -> None:
        """Record the final answer to a call."""
        self.final_outcomes[call.fingerprint, outcome] += 1
        call.on_final(now_ms, succeeded)
