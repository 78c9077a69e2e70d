"""Fleet of a soak: the daemons, with relays between them and what they connect to."""

import attrs
from tests.platform.standins import STORE
from tests.processes.links import make_inner
from tests.processes.support import PEERS, Fleet


@attrs.define(eq=False)
class SoakFleet(Fleet):
    """Fleet whose daemons reach the store, and maybe each other, through relays.

    Parameters
    ----------
    has_links : bool
        Whether a relay listens for the peers of each daemon.
    """

    has_links: bool = False

    def _make_settings(self, host: str, service: str, zone: str) -> str:
        text = super()._make_settings(host, service, zone)
        relay = f"{self.host(100 + int(host.rpartition('.')[2]))}:{STORE}"
        text = text.replace(f"{self.host(1)}:{STORE}", relay)
        if self.has_links:
            peers = f"{make_inner(host)}:{PEERS}"
            text = text.replace(f'peers = "{host}:{PEERS}"', f'peers = "{peers}"')
        return text
