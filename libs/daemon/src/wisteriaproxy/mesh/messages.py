"""Control messages between mesh daemons."""

import attrs

from wisteria_limits import AccountDelta

from ..control.kinds import register_kinds
from .directory import EntryChanges


@attrs.frozen
class PeerNews:
    """State of a daemon, sent to the peers that it has a link to when it changes.

    Parameters
    ----------
    config_version : int
        Version of the configuration in force; 0 before the first one.
    leaving : bool
        Whether the daemon takes no new calls.
    """

    config_version: int
    leaving: bool


@attrs.frozen
class DocumentAsk:
    """Request for the configuration in force at a peer, if its version is above `above`."""

    above: int


@attrs.frozen
class PublishedDocument:
    """Configuration in the bytes that the platform publishes."""

    version: int
    content: bytes


@attrs.frozen
class Subscription:
    """Request of a member to a relay to send, or no longer send, what it learns.

    Parameters
    ----------
    epoch, revision : int
        Position of the member's entries of backend servers.
    config_version : int
        Version of the configuration in force at the member.
    """

    active: bool
    epoch: int
    revision: int
    config_version: int


@attrs.frozen
class Evacuations:
    """All failure domains that are evacuated, from a relay to its members.

    Parameters
    ----------
    epoch, revision : int
        Position of the store at which they were read.
    """

    epoch: int
    revision: int
    domains: tuple[str, ...]


@attrs.frozen
class MemberReport:
    """Report of a member to its primary relay.

    Parameters
    ----------
    uses : tuple of AccountDelta
        Calls of each account since the last report.
    is_last : bool
        Whether the member reports to another relay from now on.
    """

    config_version: int
    leaving: bool
    uses: tuple[AccountDelta, ...] = ()
    is_last: bool = False


@attrs.frozen
class DomainNews:
    """Summary of a relay's members, sent to one relay of each other failure domain.

    Parameters
    ----------
    daemons : int
        Number of daemons that it covers.
    leaving, silent : tuple of str
        Members that take no new calls, and members that have stopped reporting.
    uses : tuple of AccountDelta
        Calls of each account since the last summary.
    """

    config_version: int
    daemons: int
    leaving: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    uses: tuple[AccountDelta, ...] = ()


@attrs.frozen
class RelayNews:
    """State of the fleet, from a relay to its members; the fields are those of `DomainNews`.

    Parameters
    ----------
    is_reading : bool
        Whether the relay reaches the platform.
    outage_ms : int
        Time since it last reached the platform; 0 while it does.
    """

    config_version: int
    is_reading: bool
    outage_ms: int
    daemons: int
    leaving: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    uses: tuple[AccountDelta, ...] = ()


register_kinds(
    {
        60: PeerNews,
        61: DocumentAsk,
        62: PublishedDocument,
        63: Subscription,
        64: EntryChanges,
        65: MemberReport,
        66: DomainNews,
        67: RelayNews,
        68: Evacuations,
    }
)
