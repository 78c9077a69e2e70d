"""A fleet whose links between daemons can go silent."""

import attrs

from .relay import Relay
from .support import PEERS, Fleet, Machine


def make_inner(host: str) -> str:
    """Return the address at which the daemon of a VM listens behind its relay."""
    return host.replace("127.78.", "127.79.")


@attrs.define(eq=False)
class LinkedFleet(Fleet):
    """A fleet whose daemons reach one another through relays."""

    _relays: list[Relay] = attrs.field(factory=list)

    async def async_unload(self) -> None:
        await super().async_unload()
        for relay in self._relays:
            await relay.async_unload()

    def silence_links(self) -> int:
        """Pass on nothing more on the open links; return their number."""
        return sum(relay.mute() for relay in self._relays)

    async def add(self, places: list[tuple[str, str]], *, is_ready: bool = True) -> list[Machine]:
        first = len(self.machines)
        for number in range(len(places)):
            host = self.host(10 + first + number)
            relay = Relay(host, PEERS, (make_inner(host), PEERS))
            await relay.async_setup()
            self._relays.append(relay)
        return await super().add(places, is_ready=is_ready)

    def _make_settings(self, host: str, service: str, zone: str) -> str:
        settings: str = super()._make_settings(host, service, zone)
        return settings.replace(f'peers = "{host}:', f'peers = "{make_inner(host)}:')
