"""Tests of single failures of the dissemination, and a recorded session as a golden file."""

import json
from typing import TypeVar

import attrs
from syrupy.assertion import SnapshotAssertion

from wisteria_config import Document, canonical_bytes, document_digest
from wisteria_config.dissemination import (
    NO_VERSION,
    Action,
    ApplyDocument,
    AuditEntry,
    AuditOutcome,
    DisseminationConfig,
    Disseminator,
    DocumentChunk,
    DocumentDelta,
    DocumentFetch,
    Message,
    ReadService,
    ReadyChanged,
    SendTo,
    ServiceDocument,
    ServiceFailed,
    ServiceUnchanged,
    VersionAnnounce,
    VersionQuery,
    describe,
)
from wisteria_core import FailureDomain, Vm, VmId, VmList, digest

from .conftest import accept, encode, plain_document
from .fleet import Fleet

T = TypeVar("T")

ME = VmId("vm-me")
PEER = VmId("vm-peer")
OTHER = VmId("vm-other")
NAMES = ((ME, "a"), (PEER, "a"), (OTHER, "b"))
VMS = VmList(
    1, tuple(Vm(name, "10.0.0.1", 1, 2, FailureDomain(domain), "s") for name, domain in NAMES)
)
MAX_READS_PER_S = 2_000
FLEET_VMS = 2_700


def start(version: int = NO_VERSION, chunk_bytes: int = 65_536) -> Disseminator:
    """Return a machine that has read `version` from the service, unless it is `NO_VERSION`."""
    config = DisseminationConfig(chunk_bytes=chunk_bytes)
    machine = Disseminator(ME, FailureDomain("a"), 1, config)
    read = only(machine.start(0) + machine.handle_vm_list(VMS, 0), ReadService)
    if version:
        machine.handle_read(
            ServiceDocument(read.read_id, version, encode(plain_document(version))), 5
        )
    else:
        machine.handle_read(ServiceFailed(read.read_id, "down"), 5)
    return machine


def only(actions: list[Action], kind: type[T]) -> T:
    """Return the only action of a kind."""
    found = [action for action in actions if isinstance(action, kind)]
    assert len(found) == 1, actions
    return found[0]


def announce(document: Document, nonce: int = 0, ready: bool = True) -> VersionAnnounce:
    return VersionAnnounce(document.version, document_digest(document), 0, 1, ready, nonce)


def chunks(document: Document, size: int) -> list[DocumentChunk]:
    raw, stamp = canonical_bytes(document), (document.version, document_digest(document))
    return [
        DocumentChunk(*stamp, offset, len(raw), raw[offset : offset + size])
        for offset in range(0, len(raw), size)
    ]


def requests(actions: list[Action]) -> list[tuple[VmId, DocumentFetch]]:
    return [
        (action.vm_id, action.message)
        for action in actions
        if isinstance(action, SendTo) and isinstance(action.message, DocumentFetch)
    ]


def test_document_is_fetched_in_chunks_and_duplicates_are_ignored() -> None:
    machine, document = start(chunk_bytes=300), accept(plain_document(4))
    assert requests(machine.handle_message(PEER, announce(document), 10))[0][0] == PEER
    actions: list[Action] = []
    for chunk in chunks(document, 300):
        actions = machine.handle_message(PEER, chunk, 20)
        assert not requests(machine.handle_message(PEER, chunk, 21))
    assert only(actions, ApplyDocument).document == document


def test_corrupt_delta_leads_to_the_document_and_corrupt_document_to_another_peer() -> None:
    machine, document = start(version=3), accept(plain_document(4, routes=[]))
    machine.handle_message(PEER, announce(document), 10)
    machine.handle_message(OTHER, announce(document), 10)
    base = machine.stamp
    assert base is not None
    head = (4, document_digest(document), base.version, base.digest)
    for body in (b"{", b'{"version": 4, "public": {"rate_per_s": 1, "burst": 1}}'):
        machine.handle_message(PEER, DocumentDelta(*head, body), 20)
    part = chunks(document, 1_000_000)[0]
    garbled = attrs.evolve(part, data=part.data.replace(b"co-op", b"co-0p"))
    asked = requests(machine.handle_message(PEER, garbled, 30))
    assert [(vm_id, fetch.base_version) for vm_id, fetch in asked] == [(OTHER, 3)]
    assert only(machine.handle_message(OTHER, part, 40), ApplyDocument).document == document


def test_fetch_switches_from_a_silent_peer_to_another() -> None:
    machine, document = start(version=3), accept(plain_document(4))
    machine.handle_message(PEER, announce(document), 10)
    assert not requests(machine.handle_message(OTHER, announce(document), 20))
    assert requests(machine.tick(2_000))[0][0] == OTHER


def test_document_that_fails_validation_is_fetched_once() -> None:
    machine = start(version=3)
    valid = accept(plain_document(4))
    raw = canonical_bytes(valid).replace(b'"schema":1', b'"schema":7')
    stamp = attrs.evolve(announce(valid), digest=digest(raw))
    assert requests(machine.handle_message(PEER, stamp, 10))
    chunk = DocumentChunk(4, digest(raw), 0, len(raw), raw)
    entry = only(machine.handle_message(PEER, chunk, 20), AuditEntry)
    assert entry.outcome is AuditOutcome.REFUSED_INVALID
    assert not requests(machine.handle_message(PEER, stamp, 30))
    assert not requests(machine.handle_message(OTHER, stamp, 30))
    assert machine.version == 3


def test_racing_edit_keeps_the_first_and_is_audited_once() -> None:
    machine = start(version=3)
    rival = accept(plain_document(3, routes=[]))
    entry = only(machine.handle_message(PEER, announce(rival), 10), AuditEntry)
    assert entry.outcome is AuditOutcome.REFUSED_CONFLICT
    assert not [a for a in machine.handle_message(OTHER, announce(rival), 20) if a == entry]
    assert machine.document == accept(plain_document(3))
    assert describe(machine, 30)["conflicts"] == 1


def test_stale_replica_is_counted_and_confirms_nothing() -> None:
    machine = start(version=3)
    machine.handle_message(PEER, announce(accept(plain_document(4))), 10)
    machine.handle_message(PEER, chunks(accept(plain_document(4)), 10_000)[0], 20)
    read = only(machine.tick(205), ReadService)
    machine.handle_read(ServiceDocument(read.read_id, 3, encode(plain_document(3))), 300)
    assert (machine.version, machine.stale_answers) == (4, 1)
    assert machine.age_ms(300) == 295


def test_lower_version_under_a_new_revision_is_refused_and_audited() -> None:
    machine = start(version=3)
    read = only(machine.tick(205), ReadService)
    outcome = ServiceDocument(read.read_id, 9, encode(plain_document(2)))
    entry = only(machine.handle_read(outcome, 300), AuditEntry)
    assert entry.outcome is AuditOutcome.REFUSED_LOWER
    assert only(machine.tick(600), ReadService).revision == 9


def test_restarted_revision_numbers_are_followed() -> None:
    machine = start(version=3)
    read = only(machine.tick(205), ReadService)
    machine.handle_read(ServiceDocument(read.read_id, 40, encode(plain_document(4))), 300)
    read = only(machine.tick(900), ReadService)
    assert read.revision == 40
    read = only(machine.handle_read(ServiceUnchanged(read.read_id), 700_000), ReadService)
    assert read.revision is None
    machine.handle_read(ServiceDocument(read.read_id, 1, encode(plain_document(4))), 700_010)
    assert only(machine.tick(701_000), ReadService).revision == 1


def test_read_started_before_a_pause_is_ignored() -> None:
    machine = start(version=3)
    read = only(machine.tick(205), ReadService)
    machine.handle_wake(60_000)
    late = ServiceDocument(read.read_id, 4, encode(plain_document(4)))
    machine.handle_read(late, 60_001)
    assert machine.version == 3
    assert machine.age_ms(60_001) == 59_996


def test_resumed_vm_is_ready_only_after_the_highest_answered_version_is_in_force() -> None:
    machine, document = start(version=3), accept(plain_document(4))
    nonce = machine.learning.nonce
    answer = announce(accept(plain_document(3)), nonce)
    machine.handle_message(PEER, answer, 10)
    assert only(machine.handle_message(OTHER, answer, 10), ReadyChanged).ready
    assert not only(machine.handle_wake(60_000), ReadyChanged).ready
    nonce = machine.learning.nonce
    for peer in (PEER, OTHER):
        machine.handle_message(peer, announce(document, nonce), 60_010)
    source = requests(machine.tick(66_000))[0][0]
    assert not machine.ready
    part = chunks(document, 10_000)[0]
    assert only(machine.handle_message(source, part, 66_020), ReadyChanged).ready


def test_change_is_in_force_within_three_seconds_when_half_the_vms_cannot_read() -> None:
    fleet = Fleet(4, 15)
    fleet.publish(encode(plain_document(1)))
    fleet.start_all()
    fleet.run(10_000)
    assert fleet.all_ready()
    fleet.service.down = set(list(fleet.nodes)[::2])
    fleet.publish(encode(plain_document(2, keys=[])))
    fleet.run(3_000)
    assert fleet.versions() == {2}


def test_read_rate_stays_within_its_limit_when_the_service_is_down() -> None:
    fleet = Fleet(4, 15)
    fleet.start_all()
    fleet.run(40_000)
    readers = sum(node.machine.reads.is_reader for node in fleet.living())
    each_reader = 1_000 / fleet.config.read_min_interval_ms
    share = (MAX_READS_PER_S - 11 * 2 * each_reader) / FLEET_VMS
    allowed = readers * each_reader + share * (len(fleet.nodes) - readers)
    assert max(fleet.service.reads_by_s.values()) <= allowed
    assert not any(node.machine.ready for node in fleet.living())


def test_whole_session(snapshot: SnapshotAssertion) -> None:
    """Covers withdrawn keys, invalid, older and conflicting documents, a pause and a restart."""
    fleet = Fleet(
        2, 3, seed=7, config=DisseminationConfig(readers_per_domain=1, versions_per_term=3)
    )
    lines: list[str] = []
    fleet.on_action = lambda vm_id, action: lines.extend(transcribe(fleet.now_ms, vm_id, action))

    def publish(title: str, raw: bytes, wait_ms: int = 3_000) -> None:
        lines.append(f"-- {title}")
        fleet.publish(raw)
        fleet.run(wait_ms)

    plain = plain_document(1)
    lines.append("-- the whole fleet starts")
    fleet.publish(encode(plain))
    fleet.start_all()
    fleet.run(4_000)
    publish("a key is withdrawn", encode(plain | {"version": 2, "keys": plain["keys"][:1]}))
    publish("an invalid document", b'{"schema": 1, "version": 3}')
    publish("the first document again", encode(plain))
    publish("two edits race", encode(plain | {"version": 3}), 0)
    publish("the second of them", encode(plain | {"version": 3, "keys": []}))
    lines.append("-- vm-0-0 is paused over a change")
    fleet.pause(VmId("vm-0-0"))
    publish("a higher version", encode(plain | {"version": 4, "keys": []}))
    fleet.resume(VmId("vm-0-0"))
    fleet.run(1_000)
    reader = next(vm for vm, node in fleet.nodes.items() if node.machine.reads.is_reader)
    lines.append("-- a reader restarts and meets a stale replica")
    fleet.service.stale = {reader: 5}
    fleet.restart(reader)
    fleet.run(2_000)
    lines.append(json.dumps(describe(fleet.nodes[reader].machine, fleet.now_ms)))
    assert "\n".join(lines) == snapshot


def transcribe(now_ms: int, vm_id: VmId, action: Action) -> list[str]:
    """Return the lines of the recording for an action; periodic messages are omitted."""
    match action:
        case SendTo(message=VersionQuery() | VersionAnnounce()):
            return []
        case SendTo(vm_id=target, message=message):
            return [f"{now_ms} {vm_id} -> {target} {describe_message(message)}"]
        case ReadService(revision=revision, wait_ms=wait_ms):
            return [f"{now_ms} {vm_id} reads, above revision {revision}, waits {wait_ms} ms"]
        case ApplyDocument(stamp=stamp):
            return [f"{now_ms} {vm_id} in force {stamp.version} {stamp.digest.hex()[:8]}"]
        case ReadyChanged(ready=ready):
            return [f"{now_ms} {vm_id} {'ready' if ready else 'not ready'}"]
        case AuditEntry():
            change = f"{action.from_version} to {action.to_version}"
            return [f"{now_ms} {vm_id} audit {change}: {action.outcome.value}; {action.reason}"]


def describe_message(message: Message) -> str:
    match message:
        case DocumentFetch():
            return f"fetch {message.version} base {message.base_version} from {message.offset}"
        case DocumentDelta():
            return f"delta {message.base_version} to {message.version} {message.body.decode()}"
        case DocumentChunk():
            return f"chunk {message.version} {message.offset}+{len(message.data)}"
    return type(message).__name__
