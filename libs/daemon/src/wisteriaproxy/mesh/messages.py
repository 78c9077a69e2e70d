"""Control messages between mesh daemons."""

import attrs

from wisteria_limits import AccountUse

from ..control.kinds import register_kinds


@attrs.frozen
class PeerNews:
    """Report that a daemon sends to its peers several times a second.

    Parameters
    ----------
    config_version : int
        Version of the configuration in force; 0 before the first one.
    leaving : bool
        Whether the daemon takes no new calls.
    uses : tuple of AccountUse
        Demand and admitted calls of each account.
    """

    config_version: int
    leaving: bool
    uses: tuple[AccountUse, ...] = ()


@attrs.frozen
class DocumentAsk:
    """Request for the configuration in force at a peer, if its version is above `above`."""

    above: int


@attrs.frozen
class PublishedDocument:
    """Configuration in the bytes that the platform publishes."""

    version: int
    content: bytes


register_kinds({60: PeerNews, 61: DocumentAsk, 62: PublishedDocument})
