"""What the daemon in a mesh asks of the platform it runs on."""

from collections.abc import Callable
from typing import Protocol

import attrs

from wisteria_config import Document
from wisteria_core import Clock, VmList
from wisteria_limits import AccountRate

from ..calls import RunningCall
from ..dialect import BackendDialect, CallerDialect
from ..metrics import Metrics
from .settings import MeshSettings


@attrs.frozen
class Published:
    """A configuration with the bytes in which the platform publishes it.

    Parameters
    ----------
    rates : dict of str to AccountRate
        Accounts that have a rate; the others are not bounded.
    """

    document: Document
    content: bytes
    rates: dict[str, AccountRate]


class Listener(Protocol):
    """Takes in what the platform publishes."""

    def put_document(self, published: Published, origin: str) -> None:
        """Take in a configuration, which may be one that is known or older."""

    def put_list(self, vm_list: VmList) -> None:
        """Take in the present list of VMs."""


class Source(Protocol):
    """Reads the configuration and the list of VMs from the platform."""

    async def run(self, listener: Listener) -> None:
        """Read and watch until cancelled."""

    def decode_document(self, content: bytes) -> Published | None:
        """Return the configuration in `content`, None when it can't be read."""


IsBusy = Callable[[], bool]
FindParent = Callable[[int], RunningCall | None]


@attrs.frozen(eq=False)
class Platform:
    """What differs from one platform to another.

    Parameters
    ----------
    make_source : callable
        Returns the source for the settings.
    caller_dialect : callable
        Returns how requests of callers are read and answered, given whether the backend server
        runs anything and the running call that ends in so many milliseconds.
    backend_dialect : callable
        Returns how the backend server is called.
    """

    make_source: Callable[[MeshSettings, Clock, Metrics], Source]
    caller_dialect: Callable[[MeshSettings, IsBusy, FindParent], CallerDialect]
    backend_dialect: Callable[[MeshSettings], BackendDialect]
