"""Messages between daemons, outcomes of reads, and actions of the state machine."""

import enum

import attrs

from wisteria_core import VmId

from ..models import Document
from ..versions import VersionStamp

NO_VERSION = 0
NEVER_CONFIRMED = -1


@attrs.frozen
class VersionQuery:
    """Asks a peer for its version; the answer echoes the nonce."""

    nonce: int


@attrs.frozen
class VersionAnnounce:
    """Announces the version in force on the sender to a peer.

    Parameters
    ----------
    version : int
        Version in force; `NO_VERSION` if there is none.
    digest : bytes
        Digest of its canonical form.
    confirmed_age_ms : int
        Time since the last answer of the configuration service that was not stale, received
        directly or through peers; `NEVER_CONFIRMED` if there was none.
    revision : int
        Latest revision of the service that the sender has processed.
    ready : bool
        Whether the sender has learned the highest version and serves callers.
    nonce : int
        Nonce of the query that this answers; 0 for an unsolicited announcement.
    """

    version: int
    digest: bytes
    confirmed_age_ms: int
    revision: int
    ready: bool
    nonce: int = 0

    @property
    def stamp(self) -> VersionStamp | None:
        """Return the announced version, or None if the sender has none."""
        if self.version == NO_VERSION:
            return None
        return VersionStamp(self.version, self.digest)


@attrs.frozen
class DocumentFetch:
    """Requests a document: as a delta from `base_version`, or as bytes from `offset`.

    A `base_version` of `NO_VERSION` requests the document itself.
    """

    version: int
    digest: bytes
    base_version: int
    base_digest: bytes
    offset: int


@attrs.frozen
class DocumentDelta:
    """A delta from the base to the document; `body` is an encoded `Delta`."""

    version: int
    digest: bytes
    base_version: int
    base_digest: bytes
    body: bytes


@attrs.frozen
class DocumentChunk:
    """A chunk of the canonical form of the document, which is `total_bytes` long."""

    version: int
    digest: bytes
    offset: int
    total_bytes: int
    data: bytes


Message = VersionQuery | VersionAnnounce | DocumentFetch | DocumentDelta | DocumentChunk


@attrs.frozen
class ServiceDocument:
    """A read of the configuration service returned a document.

    Parameters
    ----------
    read_id : int
        Identifier of the read.
    revision : int
        Revision number that the service assigned to the published document.
    raw : bytes
        The document, not yet validated.
    """

    read_id: int
    revision: int
    raw: bytes


@attrs.frozen
class ServiceUnchanged:
    """A watch ended without a revision above the requested one."""

    read_id: int


@attrs.frozen
class ServiceFailed:
    """A read failed."""

    read_id: int
    reason: str


ServiceOutcome = ServiceDocument | ServiceUnchanged | ServiceFailed


@attrs.frozen
class SendTo:
    """Send a message to the daemon of a VM; delivery is not guaranteed."""

    vm_id: VmId
    message: Message


@attrs.frozen
class ReadService:
    """Read the configuration service and pass its outcome, with the same `read_id`, to
    `Disseminator.handle_read`.

    Parameters
    ----------
    read_id : int
        Identifier of the read; a later one invalidates it.
    revision : int or None
        Wait for a revision above this one; None requests the published document as it is.
    wait_ms : int
        Maximum time that the service may wait, in milliseconds.
    """

    read_id: int
    revision: int | None
    wait_ms: int


@attrs.frozen
class ApplyDocument:
    """Put a document in force, in place of `previous`."""

    document: Document
    stamp: VersionStamp
    previous: Document | None


@attrs.frozen
class ReadyChanged:
    """The daemon may serve callers from now on, or must stop until it has learned again."""

    ready: bool


class AuditOutcome(enum.Enum):
    """Decision on an offered document."""

    ACCEPTED = "accepted"
    REFUSED_INVALID = "refused: invalid"
    REFUSED_LOWER = "refused: lower version"
    REFUSED_CONFLICT = "refused: same version, other content"


@attrs.frozen
class AuditEntry:
    """An entry of the audit trail of configuration changes.

    Parameters
    ----------
    kind : str
        Kind of the change, always ``configuration``.
    from_version : int
        Version in force before; `NO_VERSION` if there was none.
    to_version : int
        Version offered; `NO_VERSION` if it could not be read.
    outcome : AuditOutcome
        Decision on the offered document.
    reason : str
        Source of the document, and the changes or errors in it.
    """

    kind: str
    from_version: int
    to_version: int
    outcome: AuditOutcome
    reason: str


Action = SendTo | ReadService | ApplyDocument | ReadyChanged | AuditEntry
