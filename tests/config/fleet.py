"""Simulated fleet of dissemination nodes with a fake configuration service and clock."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

import attrs

from wisteria_config import Document
from wisteria_config.dissemination import (
    Action,
    ApplyDocument,
    AuditEntry,
    DisseminationConfig,
    Disseminator,
    Message,
    ReadService,
    SendTo,
    ServiceDocument,
    ServiceFailed,
    ServiceOutcome,
    ServiceUnchanged,
    VersionAnnounce,
    VersionQuery,
)
from wisteria_core import FailureDomain, Vm, VmId, VmList

TICK_MS = 100
SERVICE_MS = 5


class SafetyError(AssertionError):
    """A safety property was violated."""


@attrs.define
class Node:
    """A simulated VM with its history and the safety checks on it."""

    vm: Vm
    machine: Disseminator
    alive: bool = True
    paused: bool = False
    backlog: list[Callable[[], None]] = attrs.field(factory=list)
    asked: set[int] = attrs.field(factory=set)
    answers: dict[VmId, VersionAnnounce] = attrs.field(factory=dict)
    learned: bool = False
    in_force: list[Document] = attrs.field(factory=list)
    audit: list[AuditEntry] = attrs.field(factory=list)

    def reset_answers(self) -> None:
        """Discard recorded queries and answers when the VM must learn again."""
        self.asked.clear()
        self.answers.clear()
        self.learned = False

    def note_received(self, source: VmId, message: Message) -> None:
        """Record an answer to a query of the current round."""
        if isinstance(message, VersionAnnounce) and message.nonce in self.asked:
            self.answers[source] = message

    def check_ready(self, listed: set[VmId], alone: bool) -> None:
        """Check that a ready VM has heard a peer and has the version that peers answered."""
        if not self.machine.ready or self.learned:
            return
        answers = {vm: answer for vm, answer in self.answers.items() if vm in listed}
        if not answers and not alone:
            raise SafetyError(f"{self.vm.vm_id} is ready before any peer answered")
        highest = max((answer.version for answer in answers.values()), default=0)
        if self.machine.version < highest:
            raise SafetyError(f"{self.vm.vm_id} is ready below the version of a peer")
        self.learned = True

    def note_in_force(self, document: Document) -> None:
        """Check that versions only increase."""
        if self.in_force:
            former = self.in_force[-1]
            if document.version <= former.version:
                raise SafetyError(f"{self.vm.vm_id} went back to version {document.version}")
        self.in_force.append(document)


@attrs.define
class PendingRead:
    """A pending read or watch of a VM."""

    vm_id: VmId
    read: ReadService
    done: bool = False


@attrs.define
class Service:
    """Fake configuration service."""

    published: list[bytes] = attrs.field(factory=list)
    down: set[VmId] = attrs.field(factory=set)
    stale: dict[VmId, int] = attrs.field(factory=dict)
    reads: int = 0
    reads_by_s: Counter[int] = attrs.field(factory=Counter)
    bytes_read: int = 0
    watches: list[PendingRead] = attrs.field(factory=list)

    def answer(self, vm_id: VmId, read: ReadService) -> ServiceOutcome | None:
        """Return the outcome of a read, or None if it has to wait."""
        if vm_id in self.down or not self.published:
            return ServiceFailed(read.read_id, "down")
        revision = max(1, len(self.published) - self.stale.get(vm_id, 0))
        if read.revision is not None and revision <= read.revision:
            return None
        raw = self.published[revision - 1]
        self.bytes_read += len(raw)
        return ServiceDocument(read.read_id, revision, raw)


class Fleet:
    """Nodes, links and the configuration service on one simulated clock."""

    def __init__(
        self,
        domains: int,
        per_domain: int,
        seed: int = 1,
        machine: type[Disseminator] = Disseminator,
        config: DisseminationConfig | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.machine = machine
        self.config = config or DisseminationConfig()
        self.now_ms = 1_000
        self.service = Service()
        self.latency_ms = (1, 3)
        self.processing_ms = 0
        self.loss = 0.0
        self.duplication = 0.0
        self.cut: set[frozenset[VmId]] = set()
        self.on_action: Callable[[VmId, Action], None] = lambda _vm, _action: None
        self.sent: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._incarnations = itertools.count(1)
        places = itertools.product(range(per_domain), range(domains))
        vms = tuple(
            Vm(VmId(f"vm-{d}-{i}"), f"10.{d}.0.{i}", 1, 2, FailureDomain(f"fd-{d}"), "s")
            for i, d in places
        )
        self.vms = VmList(1, vms)
        self.nodes = {vm.vm_id: Node(vm, self._build(vm)) for vm in vms}

    def _build(self, vm: Vm) -> Disseminator:
        return self.machine(vm.vm_id, vm.failure_domain, next(self._incarnations), self.config)

    # Time

    def at(self, delay_ms: int, do: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._order), do))

    def run(self, duration_ms: int) -> None:
        """Advance the clock and run the events that are due."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, do = heapq.heappop(self._events)
            do()
        self.now_ms = end_ms

    # VMs

    def start_all(self) -> None:
        for vm_id in self.nodes:
            self._start(vm_id)

    def _start(self, vm_id: VmId) -> None:
        node = self.nodes[vm_id]
        machine = node.machine
        self._do(node, machine.start(self.now_ms))
        self._do(node, machine.handle_vm_list(self.vms, self.now_ms))
        self.at(self.rng.randrange(TICK_MS), lambda: self._tick(node, machine))

    def _tick(self, node: Node, machine: Disseminator) -> None:
        if node.machine is not machine or not node.alive:
            return
        if not node.paused:
            self._do(node, machine.tick(self.now_ms))
        self.at(TICK_MS, lambda: self._tick(node, machine))

    def kill(self, vm_id: VmId) -> None:
        self.nodes[vm_id].alive = False

    def restart(self, vm_id: VmId) -> None:
        """Replace the daemon of a VM by a new one without state."""
        vm = self.nodes[vm_id].vm
        self.nodes[vm_id] = Node(vm, self._build(vm))
        self._start(vm_id)

    def pause(self, vm_id: VmId) -> None:
        self.nodes[vm_id].paused = True

    def resume(self, vm_id: VmId) -> None:
        node = self.nodes[vm_id]
        if not node.paused:
            return
        node.paused = False
        node.reset_answers()
        self._do(node, node.machine.handle_wake(self.now_ms))
        backlog, node.backlog = node.backlog, []
        for do in backlog:
            do()

    def _reach(self, node: Node, do: Callable[[], None]) -> None:
        if node.paused:
            node.backlog.append(do)
        elif node.alive and self.nodes[node.vm.vm_id] is node:
            do()

    # Actions

    def _do(self, node: Node, actions: list[Action]) -> None:
        vm_id = node.vm.vm_id
        busy_ms = self.processing_ms if any(isinstance(a, ApplyDocument) for a in actions) else 0
        for action in actions:
            self.on_action(vm_id, action)
            match action:
                case SendTo():
                    self._send(node, action, busy_ms)
                case ReadService():
                    self._read(node, action)
                case ApplyDocument():
                    node.note_in_force(action.document)
                case AuditEntry():
                    node.audit.append(action)
        node.check_ready(set(self.nodes), len(self.nodes) == 1)

    def _send(self, node: Node, action: SendTo, busy_ms: int) -> None:
        message, source, target = action.message, node.vm.vm_id, action.vm_id
        kind = type(message).__name__
        self.sent[kind] += 1
        self.sent_bytes[kind] += count_bytes(message)
        if isinstance(message, VersionQuery):
            node.asked.add(message.nonce)
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if self.rng.random() >= self.loss and frozenset({source, target}) not in self.cut:
                delay_ms = busy_ms + self.rng.randint(*self.latency_ms)
                self.at(delay_ms, lambda: self._deliver(source, target, message))

    def _deliver(self, source: VmId, target: VmId, message: Message) -> None:
        node = self.nodes[target]

        def receive() -> None:
            node.note_received(source, message)
            self._do(node, node.machine.handle_message(source, message, self.now_ms))

        self._reach(node, receive)

    # The service

    def publish(self, raw: bytes) -> None:
        self.service.published.append(raw)
        watches, self.service.watches = self.service.watches, []
        for waiting in watches:
            self._try_watch(self.nodes[waiting.vm_id], waiting)

    def _read(self, node: Node, read: ReadService) -> None:
        self.service.reads += 1
        self.service.reads_by_s[self.now_ms // 1_000] += 1
        waiting = PendingRead(node.vm.vm_id, read)
        self.at(SERVICE_MS, lambda: self._try_watch(node, waiting))
        self.at(SERVICE_MS + read.wait_ms, lambda: self._end_watch(node, waiting))

    def _try_watch(self, node: Node, waiting: PendingRead) -> None:
        if waiting.done:
            return
        outcome = self.service.answer(node.vm.vm_id, waiting.read)
        if outcome is None:
            self.service.watches.append(waiting)
            return
        waiting.done = True
        self._answer(node, outcome)

    def _end_watch(self, node: Node, waiting: PendingRead) -> None:
        if not waiting.done:
            waiting.done = True
            self._answer(node, ServiceUnchanged(waiting.read.read_id))

    def _answer(self, node: Node, outcome: ServiceOutcome) -> None:
        self._reach(node, lambda: self._do(node, node.machine.handle_read(outcome, self.now_ms)))

    # State of the fleet

    def living(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.alive and not node.paused]

    def versions(self) -> set[int]:
        return {node.machine.version for node in self.living()}

    def all_ready(self) -> bool:
        return all(node.machine.ready for node in self.living())


WORD_BYTES = 8
FRAME_BYTES = 24


def count_bytes(message: Message) -> int:
    """Return the size of a message as a Cap'n Proto struct in a frame, without TLS and TCP."""
    size = FRAME_BYTES
    for value in attrs.astuple(message, recurse=False):
        size += WORD_BYTES
        if isinstance(value, bytes):
            size += -(-len(value) // WORD_BYTES) * WORD_BYTES
    return size
