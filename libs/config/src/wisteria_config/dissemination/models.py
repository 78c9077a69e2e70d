"""Messages between daemons, outcomes of reads, and the actions that result."""

import enum

import attrs

from wisteria_core import VmId

from ..models import Document
from ..versions import VersionStamp

NO_VERSION = 0
NEVER_CONFIRMED = -1


@attrs.frozen
class VersionQuery:
    """Asks a peer for its version; the answer repeats the nonce."""

    nonce: int


@attrs.frozen
class VersionAnnounce:
    """Tells a peer which version is in force here.

    Parameters
    ----------
    version : int
        Version in force; `NO_VERSION` when there is none.
    digest : bytes
        Digest of its canonical form.
    confirmed_age_ms : int
        Time since the configuration service was last heard, directly or through peers;
        `NEVER_CONFIRMED` when it was not.
    revision : int
        Latest revision of the service that is dealt with.
    ready : bool
        Whether the sender has learned the highest version and serves callers.
    nonce : int
        That of the query; 0 when nobody asked.
    """

    version: int
    digest: bytes
    confirmed_age_ms: int
    revision: int
    ready: bool
    nonce: int = 0

    @property
    def stamp(self) -> VersionStamp | None:
        """Return the announced version, or None when the sender has none."""
        if self.version == NO_VERSION:
            return None
        return VersionStamp(self.version, self.digest)


@attrs.frozen
class DocumentFetch:
    """Asks for a document: as a delta from `base_version`, or from a byte offset on.

    A `base_version` of `NO_VERSION` asks for the document itself.
    """

    version: int
    digest: bytes
    base_version: int
    base_digest: bytes
    offset: int


@attrs.frozen
class DocumentDelta:
    """What turns the base into the document; `body` is an encoded `Delta`."""

    version: int
    digest: bytes
    base_version: int
    base_digest: bytes
    body: bytes


@attrs.frozen
class DocumentChunk:
    """A part of the canonical form of the document, which is `total_bytes` long."""

    version: int
    digest: bytes
    offset: int
    total_bytes: int
    data: bytes


Message = VersionQuery | VersionAnnounce | DocumentFetch | DocumentDelta | DocumentChunk


@attrs.frozen
class ServiceDocument:
    """The configuration service answered a read with a document.

    Parameters
    ----------
    read_id : int
        That of the read.
    revision : int
        The service's own number for what it published.
    raw : bytes
        The document, not yet validated.
    """

    read_id: int
    revision: int
    raw: bytes


@attrs.frozen
class ServiceUnchanged:
    """A watch ended without a revision above the one that it named."""

    read_id: int


@attrs.frozen
class ServiceFailed:
    """A read failed."""

    read_id: int
    reason: str


ServiceOutcome = ServiceDocument | ServiceUnchanged | ServiceFailed


@attrs.frozen
class SendTo:
    """Send a message to the daemon of a VM; it may be lost."""

    vm_id: VmId
    message: Message


@attrs.frozen
class ReadService:
    """Read the configuration service and hand back the outcome with the same `read_id`.

    Parameters
    ----------
    read_id : int
        Names the read; a later one makes an earlier one void.
    revision : int or None
        Wait for a revision above this one; None asks for whatever is published.
    wait_ms : int
        How long the service may wait, in milliseconds.
    """

    read_id: int
    revision: int | None
    wait_ms: int


@attrs.frozen
class ApplyDocument:
    """A document takes effect, in place of `previous`."""

    document: Document
    stamp: VersionStamp
    previous: Document | None


@attrs.frozen
class ReadyChanged:
    """The daemon may serve callers from now on, or must not until it has learned again."""

    ready: bool


class AuditOutcome(enum.Enum):
    """What became of an offered document."""

    ACCEPTED = "accepted"
    REFUSED_INVALID = "refused: invalid"
    REFUSED_LOWER = "refused: lower version"
    REFUSED_CONFLICT = "refused: same version, other content"


@attrs.frozen
class AuditEntry:
    """One line of the trail of changes.

    Parameters
    ----------
    kind : str
        ``configuration``.
    from_version : int
        Version in force before; `NO_VERSION` when there was none.
    to_version : int
        Version offered; `NO_VERSION` when it could not be read.
    outcome : AuditOutcome
        What became of it.
    reason : str
        Source, and the changes or the faults.
    """

    kind: str
    from_version: int
    to_version: int
    outcome: AuditOutcome
    reason: str


Action = SendTo | ReadService | ApplyDocument | ReadyChanged | AuditEntry
