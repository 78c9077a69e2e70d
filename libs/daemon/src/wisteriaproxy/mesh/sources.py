"""Interfaces that a platform adapter implements for the mesh daemon."""

from collections.abc import Callable
from typing import Protocol

import attrs

from wisteria_config import Document
from wisteria_core import Clock, FailureDomain
from wisteria_limits import AccountRate

from ..calls import RunningCall
from ..dialect import BackendDialect, CallerDialect
from ..metrics import Metrics
from .directory import EntryChanges
from .entries import StorePosition
from .settings import MeshSettings


@attrs.frozen
class PublishedConfig:
    """Configuration together with the bytes that the platform published.

    Parameters
    ----------
    rates : dict of str to AccountRate
        Rates by account name; accounts without an entry are not limited.
    """

    document: Document
    content: bytes
    rates: dict[str, AccountRate]

    @property
    def services(self) -> frozenset[str]:
        """Names of the configured services."""
        return frozenset(service.name for service in self.document.services)


class Listener(Protocol):
    """Receives what the platform publishes."""

    def update_document(self, published: PublishedConfig, origin: str) -> None:
        """Handle a configuration, which may be known already or older."""

    def update_entries(self, changes: EntryChanges) -> bool:
        """Handle entries of backend servers; return whether changes before them are missing."""

    def update_evacuations(
        self, position: StorePosition, domains: frozenset[FailureDomain]
    ) -> None:
        """Handle all evacuated failure domains at a position of the store."""

    def note_store(self, *, is_reached: bool) -> None:
        """Handle whether a read has succeeded."""


class Source(Protocol):
    """Reads the configuration and the list of VMs from the platform."""

    async def run(self, listener: Listener) -> None:
        """Read the servers once, and everything while reading is on, until cancelled."""

    def set_reading(self, is_reading: bool) -> None:
        """Begin or end to watch; others tell this daemon what changes while it is off."""

    def describe(self, now_ms: int) -> dict[str, object]:
        """Return when each part of the platform was last read, for operators."""

    def decode_document(self, content: bytes) -> PublishedConfig | None:
        """Return the configuration in `content`, or None if it is invalid."""


IsBusy = Callable[[], bool]
FindParent = Callable[[int], RunningCall | None]


@attrs.frozen(eq=False)
class Platform:
    """Platform-specific parts of the daemon.

    Parameters
    ----------
    make_source : callable
        Returns the source of configuration and list of VMs.
    caller_dialect : callable
        Returns the HTTP dialect towards callers. Its arguments return the settings in force, tell
        whether the backend server is busy, and find the running call with a given remaining time
        in ms.
    backend_dialect : callable
        Returns the HTTP dialect towards the backend server.
    """

    make_source: Callable[[MeshSettings, Clock, Metrics], Source]
    caller_dialect: Callable[[Callable[[], MeshSettings], IsBusy, FindParent], CallerDialect]
    backend_dialect: Callable[[MeshSettings], BackendDialect]
