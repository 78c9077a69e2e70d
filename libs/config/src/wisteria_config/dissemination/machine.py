"""State machine that keeps the configuration document of one daemon up to date."""

from collections.abc import Collection

from wisteria_core import FailureDomain, VmId, VmList, digest

from ..canonical import document_digest
from ..models import Document, DocumentErrors
from ..validation import validate_document
from ..versions import VersionOrder, VersionStamp, compare_versions
from .bounded_map import BoundedMap
from .config import DisseminationConfig
from .fetcher import BaseDocument, FetchedDocument, Fetcher
from .history import History
from .learning import Answer, Learning
from .models import (
    NEVER_CONFIRMED,
    NO_VERSION,
    Action,
    ApplyDocument,
    AuditEntry,
    AuditOutcome,
    DocumentChunk,
    DocumentDelta,
    DocumentFetch,
    Message,
    ReadyChanged,
    SendTo,
    ServiceDocument,
    ServiceFailed,
    ServiceOutcome,
    VersionAnnounce,
    VersionQuery,
)
from .overlay import FleetView
from .reads import ReadSchedule
from .reasons import describe_errors, describe_replacement

_NONCE_ROUNDS = 1 << 16
_MAX_REMEMBERED = 64
_FROM_SERVICE = "the configuration service"


class Disseminator:
    """Keeps the highest valid version in force and disseminates it to peers.

    The event methods take the time in milliseconds and return the actions to carry out, in
    order.

    Parameters
    ----------
    vm_id : VmId
        Own VM.
    failure_domain : FailureDomain
        Its failure domain.
    incarnation : int
        Number below 2**47 that differs between starts of the daemon on one VM.
    config : DisseminationConfig
        Intervals and limits.
    """

    def __init__(
        self,
        vm_id: VmId,
        failure_domain: FailureDomain,
        incarnation: int,
        config: DisseminationConfig | None = None,
    ) -> None:
        self.config = config or DisseminationConfig()
        self.fleet = FleetView(vm_id, failure_domain, self.config)
        self.ready = False
        self.stale_answers = 0
        self.conflicts = 0
        self.confirmed_ms: int | None = None
        self.history = History(self.config.max_delta_log_bytes)
        self.reads = ReadSchedule(vm_id, self.config)
        self.learning = Learning(incarnation * _NONCE_ROUNDS + 1, 0)
        self.refused: BoundedMap[VersionStamp, str] = BoundedMap(_MAX_REMEMBERED)
        self.fetcher = Fetcher(self.config, self.refused, self.fleet.is_same_domain)
        self._seen_digests: BoundedMap[bytes, VersionStamp | None] = BoundedMap(_MAX_REMEMBERED)
        self._next_announce_ms = 0
        self._actions: list[Action] = []

    @property
    def document(self) -> Document | None:
        return self.history.document

    @property
    def stamp(self) -> VersionStamp | None:
        return self.history.stamp

    @property
    def version(self) -> int:
        """Return the version in force, or `NO_VERSION`."""
        return self.history.stamp.version if self.history.stamp else NO_VERSION

    def age_ms(self, now_ms: int) -> int:
        """Return the time since the last confirmation, or `NEVER_CONFIRMED`.

        A confirmation is an answer of the configuration service that was not stale, received
        here or by a peer with the same version.
        """
        return NEVER_CONFIRMED if self.confirmed_ms is None else now_ms - self.confirmed_ms

    # Events

    def start(self, now_ms: int) -> list[Action]:
        """Start to learn the highest version; the VM is not ready until it has."""
        self._learn(now_ms)
        return self._advance(now_ms)

    def handle_wake(self, now_ms: int) -> list[Action]:
        """Learn again after a pause, during which versions may have been missed."""
        if self.ready:
            self.ready = False
            self._actions.append(ReadyChanged(False))
        self._learn(now_ms)
        return self._advance(now_ms)

    def handle_vm_list(
        self, vms: VmList, now_ms: int, excluded: Collection[VmId] = ()
    ) -> list[Action]:
        """Apply a list of VMs; `excluded` ones are not used as readers or neighbours."""
        self.fleet.update_vms(vms, excluded)
        self.fetcher.retain_offers(self.fleet.domains)
        return self._advance(now_ms)

    def handle_message(self, source: VmId, message: Message, now_ms: int) -> list[Action]:
        """Handle a message from an authenticated peer."""
        match message:
            case VersionQuery():
                self._send(source, self._announcement(now_ms, message.nonce))
            case VersionAnnounce():
                self._handle_announcement(source, message, now_ms)
            case DocumentFetch():
                self._serve_fetch(source, message, now_ms)
            case DocumentDelta() | DocumentChunk():
                self._handle_part(source, message, now_ms)
        return self._advance(now_ms)

    def handle_read(self, outcome: ServiceOutcome, now_ms: int) -> list[Action]:
        failed = isinstance(outcome, ServiceFailed)
        if self.reads.finish(outcome.read_id, now_ms, failed) and not failed:
            if isinstance(outcome, ServiceDocument):
                self._handle_published(outcome, now_ms)
            else:
                self.reads.reset_backoff()
                self._confirm(now_ms)
        return self._advance(now_ms)

    def tick(self, now_ms: int) -> list[Action]:
        """Run what is due; call about ten times a second."""
        return self._advance(now_ms)

    # Periodic work

    def _advance(self, now_ms: int) -> list[Action]:
        self._query_peers(now_ms)
        self._update_ready(now_ms)
        self._append_request(self.fetcher.check_progress(self._base(), now_ms))
        self._announce_periodically(now_ms)
        self.reads.is_reader = self.fleet.is_reader(self.version)
        read = self.reads.next_read(now_ms)
        if read is not None:
            self._actions.append(read)
        actions, self._actions = self._actions, []
        return actions

    def _learn(self, now_ms: int) -> None:
        self.learning = Learning(self.learning.nonce + 1, now_ms, now_ms)
        self.reads.restart(now_ms)
        self.fetcher.clear()
        self._next_announce_ms = now_ms + self.config.announce_interval_ms

    def _query_peers(self, now_ms: int) -> None:
        learning = self.learning
        if self.ready or self.fleet.vms is None or now_ms < learning.next_ask_ms:
            return
        learning.next_ask_ms = now_ms + self.config.ask_interval_ms
        peers = self.fleet.pick_peers_to_ask(learning.turn)
        learning.turn += 1
        learning.asked.update(peers)
        for vm_id in peers:
            self._send(vm_id, VersionQuery(learning.nonce))

    def _update_ready(self, now_ms: int) -> None:
        if self.ready or self.fleet.vms is None or self.stamp is None:
            return
        if self.stamp.version < self._required_version():
            return
        if self.learning.has_heard_enough(self.fleet.domains, self.config, now_ms):
            self.ready = True
            self._actions.append(ReadyChanged(True))

    def _required_version(self) -> int:
        """Return the highest version that peers answered while this VM learns."""
        if self.ready:
            return NO_VERSION
        return self.learning.required_version(self.fleet.domains, self.refused)

    def _announce_periodically(self, now_ms: int) -> None:
        if now_ms < self._next_announce_ms:
            return
        self._next_announce_ms = now_ms + self.config.announce_interval_ms
        neighbour = self.fleet.next_neighbour()
        if neighbour is not None:
            self._send(neighbour, self._announcement(now_ms))

    # Announcements

    def _announcement(self, now_ms: int, nonce: int = 0) -> VersionAnnounce:
        stamp = self.stamp or VersionStamp(NO_VERSION, b"")
        age_ms = self.age_ms(now_ms)
        return VersionAnnounce(
            stamp.version, stamp.digest, age_ms, self.reads.revision, self.ready, nonce
        )

    def _handle_announcement(self, source: VmId, message: VersionAnnounce, now_ms: int) -> None:
        stamp = message.stamp
        if message.nonce and message.nonce == self.learning.nonce:
            self.learning.record(source, Answer(stamp, message.ready))
        order = VersionOrder.OLDER if stamp is None else compare_versions(stamp, self.stamp)
        if stamp is None or order is VersionOrder.OLDER:
            self._reply_to_older(source, message, now_ms)
        elif order is VersionOrder.SAME:
            self._confirm_by_peer(message, now_ms)
        elif order is VersionOrder.CONFLICT:
            self._refuse_conflict(stamp, f"VM {source}")
        elif stamp not in self.refused:
            self._append_request(self.fetcher.add_offer(source, stamp, self._base(), now_ms))

    def _reply_to_older(self, source: VmId, message: VersionAnnounce, now_ms: int) -> None:
        """Announce the version in force to a peer that has an older one.

        An announcement that answers a query gets no reply.
        """
        if message.nonce == 0 and self.stamp is not None:
            self._send(source, self._announcement(now_ms))

    def _confirm_by_peer(self, message: VersionAnnounce, now_ms: int) -> None:
        """Adopt a peer's confirmation if it is more recent than the own one."""
        if message.confirmed_age_ms < 0:
            return
        at_ms = now_ms - message.confirmed_age_ms
        if self.confirmed_ms is None or at_ms > self.confirmed_ms:
            self.reads.revision = message.revision
            self._confirm(at_ms)

    def _confirm(self, at_ms: int) -> None:
        if self.confirmed_ms is None or at_ms > self.confirmed_ms:
            self.confirmed_ms = at_ms
            self.reads.postpone_fallback(at_ms)

    # Fetching from peers

    def _base(self) -> BaseDocument:
        return BaseDocument(self.document, self.stamp)

    def _append_request(self, request: SendTo | None) -> None:
        if request is not None:
            self._actions.append(request)

    def _serve_fetch(self, source: VmId, message: DocumentFetch, now_ms: int) -> None:
        wanted = VersionStamp(message.version, message.digest)
        if wanted != self.stamp or not 0 <= message.offset < len(self.history.raw):
            self._send(source, self._announcement(now_ms))
            return
        base = VersionStamp(message.base_version, message.base_digest)
        body = self.history.encode_delta_since(base) if message.base_version else None
        if body is not None:
            self._send(source, DocumentDelta(*_fields(wanted), *_fields(base), body))
            return
        raw = self.history.raw
        data = raw[message.offset : message.offset + self.config.chunk_bytes]
        self._send(source, DocumentChunk(*_fields(wanted), message.offset, len(raw), data))

    def _handle_part(self, source: VmId, part: DocumentDelta | DocumentChunk, now_ms: int) -> None:
        outcome = self.fetcher.handle_part(source, part, self._base(), now_ms)
        if not isinstance(outcome, FetchedDocument):
            self._append_request(outcome)
            return
        document, raw = outcome.received.outcome, outcome.received.raw
        if isinstance(document, DocumentErrors):
            self._refuse_invalid(outcome.stamp, f"VM {source}", document)
        else:
            self._accept(document, outcome.stamp, f"VM {source}", now_ms, raw, source)
        self._append_request(self.fetcher.refresh(self._base(), now_ms))

    # Reading the configuration service

    def _handle_published(self, outcome: ServiceDocument, now_ms: int) -> None:
        if outcome.revision > self.reads.revision:
            self.reads.reset_backoff()
        else:
            self.reads.back_off(now_ms)
        key = digest(outcome.raw)
        if key in self._seen_digests:
            stamp = self._seen_digests[key]
        else:
            stamp = self._validate_published(outcome, now_ms)
            if stamp is not None and self._is_newer(stamp):
                self.stale_answers += 1
                return
            self._seen_digests[key] = stamp
        if stamp is None or self._check_published(stamp, outcome.revision):
            self._record_revision(stamp, outcome.revision, now_ms)

    def _validate_published(self, outcome: ServiceDocument, now_ms: int) -> VersionStamp | None:
        """Validate a document that was not seen before, and put it in force if it is newer.

        A document below the version that peers answered comes from a stale replica.
        """
        document = validate_document(outcome.raw)
        if isinstance(document, DocumentErrors):
            self._audit_invalid(NO_VERSION, _FROM_SERVICE, document)
            return None
        stamp = VersionStamp(document.version, document_digest(document))
        if self._is_newer(stamp) and stamp.version >= self._required_version():
            self.reads.revision = outcome.revision
            self._confirm(now_ms)
            self._accept(document, stamp, _FROM_SERVICE, now_ms)
            self._append_request(self.fetcher.refresh(self._base(), now_ms))
        return stamp

    def _is_newer(self, stamp: VersionStamp) -> bool:
        return compare_versions(stamp, self.stamp) is VersionOrder.NEWER

    def _check_published(self, stamp: VersionStamp, revision: int) -> bool:
        """Return False for a stale replica's answer, which confirms nothing."""
        match compare_versions(stamp, self.stamp):
            case VersionOrder.CONFLICT:
                self._refuse_conflict(stamp, _FROM_SERVICE)
            case VersionOrder.OLDER:
                if revision <= self.reads.revision or self.reads.revision == 0:
                    self.stale_answers += 1
                    return False
                reason = f"version {self.version} is in force"
                self._audit(stamp.version, AuditOutcome.REFUSED_LOWER, _FROM_SERVICE, reason)
        return True

    def _record_revision(self, stamp: VersionStamp | None, revision: int, now_ms: int) -> None:
        """Confirm, and record the revision; a lower one only if it holds the document in force."""
        if stamp == self.stamp or revision > self.reads.revision:
            self.reads.revision = revision
        self._confirm(now_ms)

    # Accepting and refusing documents

    def _accept(
        self,
        document: Document,
        stamp: VersionStamp,
        origin: str,
        now_ms: int,
        raw: bytes | None = None,
        skipped: VmId | None = None,
    ) -> None:
        previous = self.document
        if not self._is_newer(stamp):
            return
        reason = describe_replacement(previous, document)
        self._audit(stamp.version, AuditOutcome.ACCEPTED, origin, reason)
        self.history.replace(document, stamp, raw)
        self._actions.append(ApplyDocument(document, stamp, previous))
        for neighbour in self.fleet.neighbours:
            if neighbour != skipped:
                self._send(neighbour, self._announcement(now_ms))

    def _refuse_invalid(self, stamp: VersionStamp, origin: str, errors: DocumentErrors) -> None:
        self.refused[stamp] = origin
        self._audit_invalid(stamp.version, origin, errors)

    def _audit_invalid(self, version: int, origin: str, errors: DocumentErrors) -> None:
        self._audit(version, AuditOutcome.REFUSED_INVALID, origin, describe_errors(errors))

    def _refuse_conflict(self, stamp: VersionStamp, origin: str) -> None:
        if stamp in self.refused:
            return
        self.refused[stamp] = origin
        self.conflicts += 1
        reason = "the first accepted stays; publish a higher version"
        self._audit(stamp.version, AuditOutcome.REFUSED_CONFLICT, origin, reason)

    def _audit(self, to_version: int, outcome: AuditOutcome, origin: str, reason: str) -> None:
        detail = f"from {origin}: {reason}"
        self._actions.append(AuditEntry("configuration", self.version, to_version, outcome, detail))

    def _send(self, vm_id: VmId, message: Message) -> None:
        self._actions.append(SendTo(vm_id, message))


def _fields(stamp: VersionStamp) -> tuple[int, bytes]:
    return stamp.version, stamp.digest
