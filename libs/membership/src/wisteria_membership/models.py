"""Statuses, messages and actions of membership."""

import enum

import attrs

from wisteria_core import VmId

from .const import NO_VERSION


class Status(enum.Enum):
    """What this daemon takes a VM for.

    ``GONE`` comes from the platform's list alone. ``PAUSED`` is a process that reports a
    stall of its event loop, or one that is silent while its connection stands;
    ``UNREACHABLE`` is a VM that is silent without a connection, that calls fail to reach,
    or that several others report.
    """

    LIVE = "live"
    UNREACHABLE = "unreachable"
    PAUSED = "paused"
    LEAVING = "leaving"
    GONE = "gone"


class NewsKind(enum.Enum):
    """What a piece of news says of its subject."""

    STARTED = "started"
    LEAVING = "leaving"
    STAYING = "staying"
    UNREACHABLE = "unreachable"
    REACHABLE = "reachable"

    @property
    def is_report(self) -> bool:
        """Whether one VM says it of another."""
        return self in (NewsKind.UNREACHABLE, NewsKind.REACHABLE)


@attrs.frozen
class News:
    """One piece of news, passed on from daemon to daemon.

    Parameters
    ----------
    kind : NewsKind
        What is said.
    subject : VmId
        VM that it is said of.
    incarnation : int
        Process of the subject that it is said of.
    origin : VmId
        VM that said it first.
    origin_incarnation, counter : int
        Order the news of one origin: the highest is the newest.
    """

    kind: NewsKind
    subject: VmId
    incarnation: int
    origin: VmId
    origin_incarnation: int
    counter: int

    @property
    def key(self) -> tuple[VmId, VmId, bool]:
        """News with the same key replace each other."""
        return (self.subject, self.origin, self.kind.is_report)

    @property
    def age_order(self) -> tuple[int, int]:
        """Sorts news of one key, oldest first."""
        return (self.origin_incarnation, self.counter)


@attrs.frozen
class Heartbeat:
    """Sent to each neighbour once in an interval; the sender's incarnation is on the envelope.

    Parameters
    ----------
    sequence : int
        Number of the message, for the reply to name.
    list_version, config_version : int
        Versions that the sender has in force.
    config_digest : bytes
        Digest of the sender's configuration document.
    is_leaving : bool
        Whether the sender takes no new work.
    stalled_ms : int
        Longest recent gap of the sender's event loop, 0 when below the limit.
    notices_digest : int
        Digest of the VMs that the sender knows to be leaving by their own notice.
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
    """Answer to a heartbeat, with the answerer's own state; fields as in `Heartbeat`."""

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
    """Versions that a peer last said it has in force."""

    list_version: int = NO_VERSION
    config_version: int = NO_VERSION
    config_digest: bytes = b""


@attrs.define
class PeerRecord:
    """Evidence on one VM of the list."""

    vm_id: VmId
    status: Status = Status.LIVE
    incarnation: int = NO_VERSION
    unanswered: int = 0
    awaited: int | None = None
    due_ms: int = 0
    call_failures: int = 0
    is_linked: bool = False
    leaves_by_list: bool = False
    leaves_by_notice: bool = False
    stalled_until_ms: int | None = None
    reports: dict[VmId, int] = attrs.field(factory=dict)
    has_reported: bool = False
    missed: list[News] = attrs.field(factory=list)
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
    """One line of the audit trail."""

    at_ms: int
    event: str
    vm_id: VmId
    detail: str = ""


Action = Send | StatusChanged | AuditEntry
