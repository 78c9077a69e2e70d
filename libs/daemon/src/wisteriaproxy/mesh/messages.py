"""Messages between the daemons of a mesh."""

import attrs

from wisteria_limits import AccountUse

from ..control.kinds import register_kinds


@attrs.frozen
class PeerNews:
    """What a daemon says of itself several times a second.

    Parameters
    ----------
    config_version : int
        Version of the configuration in force; 0 before the first one.
    leaving : bool
        Whether it takes no new work.
    uses : tuple of AccountUse
        Calls of each account that it was offered and has admitted.
    """

    config_version: int
    leaving: bool
    uses: tuple[AccountUse, ...] = ()


@attrs.frozen
class DocumentAsk:
    """Asks a peer for the configuration that it has in force, when newer than `above`."""

    above: int


@attrs.frozen
class PublishedDocument:
    """A configuration as the platform publishes it."""

    version: int
    content: bytes


register_kinds({60: PeerNews, 61: DocumentAsk, 62: PublishedDocument})
