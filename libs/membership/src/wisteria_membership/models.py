"""Statuses, messages and actions of membership."""

import enum

import attrs

from wisteria_core import VmId

from .const import NO_VERSION


class Status(enum.Enum):
    """Status of a VM as seen by this daemon.

    ``GONE`` is set only by the platform's VM list. ``PAUSED`` means that the process reports a
    stall of its event loop, or is silent while its connection is open. ``UNREACHABLE`` means
    that the VM is silent without an open connection, that calls fail to reach it, or that
    several other VMs report it as unreachable.
    """

    LIVE = "live"
    UNREACHABLE = "unreachable"
    PAUSED = "paused"
    LEAVING = "leaving"
    GONE = "gone"


class NewsKind(enum.Enum):
    """What a piece of news states about its subject."""

    STARTED = "started"
    LEAVING = "leaving"
    STAYING = "staying"
    UNREACHABLE = "unreachable"
    REACHABLE = "reachable"

    @property
    def is_report(self) -> bool:
        """Whether one VM reports on another."""
        return self in (NewsKind.UNREACHABLE, NewsKind.REACHABLE)


@attrs.frozen
class News:
    """News that daemons pass on to each other.

    Parameters
    ----------
    kind : NewsKind
        Statement about the subject.
    subject : VmId
        VM that the news is about.
    incarnation : int
        Incarnation of the subject that the news is about.
    origin : VmId
        VM that issued the news.
    origin_incarnation, counter : int
        Order of the news of one origin; the highest pair is the newest.
    """

    kind: NewsKind
    subject: VmId
    incarnation: int
    origin: VmId
    origin_incarnation: int
    counter: int

    @property
    def key(self) -> tuple[VmId, VmId, bool]:
        """Newer news replaces older news with the same key."""
        return (self.subject, self.origin, self.kind.is_report)

    @property
    def recency(self) -> tuple[int, int]:
        """Sort key that orders news of one key, oldest first."""
        return (self.origin_incarnation, self.counter)


@attrs.frozen
class Heartbeat:
    """Sent to each neighbour once per interval; the envelope has the sender's incarnation.

    Parameters
    ----------
    sequence : int
        Sequence number, which the reply repeats.
    list_version, config_version : int
        Versions of the VM list and of the configuration that the sender uses.
    config_digest : bytes
        Digest of the sender's configuration document.
    is_leaving : bool
        Whether the sender accepts no new work.
    stalled_ms : int
        Recent gap of the sender's event loop, 0 if below the stall threshold.
    notices_digest : int
        Digest of the VMs that have announced their leaving, as known to the sender.
    news : tuple of News
        News, newest first.
    """

    sequence: int
    list_version: int
    config_version: int
    config_digest: bytes
    is_leaving: bool
    stalled_ms: int
    notices_digest: int
    news: tuple[News, ...]


@attrs.frozen
class HeartbeatReply:
    """Reply with the state of the replying VM; fields as in `Heartbeat`."""

    sequence: int
    list_version: int
    config_version: int
    config_digest: bytes
    is_leaving: bool
    stalled_ms: int
    notices_digest: int
    news: tuple[News, ...]


MembershipMessage = Heartbeat | HeartbeatReply


@attrs.frozen
class PeerVersions:
    """List and configuration versions that a peer last reported."""

    list_version: int = NO_VERSION
    config_version: int = NO_VERSION
    config_digest: bytes = b""


@attrs.define
class PeerRecord:
    """Status of one VM on the list, and the evidence for it."""

    vm_id: VmId
    status: Status = Status.LIVE
    incarnation: int = NO_VERSION
    unanswered: int = 0
    awaited_sequence: int | None = None
    due_ms: int = 0
    call_failures: int = 0
    is_linked: bool = False
    is_leaving_by_list: bool = False
    is_leaving_by_notice: bool = False
    stalled_until_ms: int | None = None
    reports: dict[VmId, int] = attrs.field(factory=dict)
    is_reported: bool = False
    resync_news: list[News] = attrs.field(factory=list)
    versions: PeerVersions = attrs.field(factory=PeerVersions)


@attrs.frozen
class Send:
    """Send `message` to the daemon of `vm_id`."""

    vm_id: VmId
    message: MembershipMessage


@attrs.frozen
class StatusChanged:
    """The status of a VM changed."""

    vm_id: VmId
    old: Status
    new: Status
    reason: str


@attrs.frozen
class AuditEntry:
    """Entry for the audit trail."""

    at_ms: int
    event: str
    vm_id: VmId
    detail: str = ""


Action = Send | StatusChanged | AuditEntry
