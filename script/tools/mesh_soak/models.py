"""What clients, backend servers and the operator saw; times are of the monotonic clock, in s."""

import math
from typing import Any

import attrs
from tests.processes.documents import list_services


@attrs.define(eq=False)
class Sample:
    """One client attempt, or one child call of a backend server.

    Parameters
    ----------
    host : str
        Machine whose daemon took the request.
    key : str
        API key that was sent; empty for a child call.
    number : int
        Requests sent before on the same connection.
    sent_s, written_s, ended_s : float
        When the first and the last byte were sent, and when the answer or the connection ended.
    status : int
        0 if the request got no complete answer.
    end : str
        ``answered``, ``closed`` (by the daemon), ``cut`` (midway in the answer), ``refused`` (no
        connection), ``waited`` (in vain), ``left`` (the run that called was cancelled) or ``open``.
    owner : str
        Attempt that the answer names.
    signed : str
        Signature in the answer; empty if the daemon made it.
    parent : str
        Attempt whose run made this call.
    """

    attempt: str
    host: str
    route: str
    method: str
    path: str
    key: str
    is_repeatable: bool
    timeout_s: float
    sent_s: float = 0.0
    written_s: float = math.inf
    ended_s: float = math.inf
    number: int = 0
    status: int = 0
    end: str = "open"
    owner: str = ""
    signed: str = ""
    body: bytes = b""
    parent: str = ""
    reads_slowly: bool = False
    faults: list[str] = attrs.field(factory=list)


@attrs.define(eq=False)
class Work:
    """A run of a request at a backend server.

    Parameters
    ----------
    end : str
        ``running``, ``done``, ``cancelled`` (its connection closed) or ``died`` (with the server).
    """

    attempt: str
    service: str
    instance: str
    host: str
    method: str
    path: str
    headers: dict[str, str]
    at_s: float
    ended_s: float = math.inf
    end: str = "running"
    status: int = 0


@attrs.define(eq=False)
class Version:
    """A configuration; the store acknowledges it at once."""

    number: int
    at_s: float
    routes: list[dict[str, Any]]
    keys: frozenset[str]
    _found: dict[str, dict[str, Any] | None] = attrs.field(factory=dict)

    def find_route(self, path: str) -> dict[str, Any] | None:
        """Return the route with the longest prefix that begins a path."""
        prefix = path[: path.find("/", 1) + 1]
        if prefix not in self._found:
            fitting = [route for route in self.routes if prefix.startswith(route["prefix"])]
            self._found[prefix] = max(fitting, key=lambda route: len(route["prefix"]), default=None)
        return self._found[prefix]

    def list_services(self, path: str, key: str) -> frozenset[str]:
        """Return the services that may run a request."""
        route = self.find_route(path)
        if route is None or not (route["public"] or key in self.keys):
            return frozenset()
        return list_services(route)

    def explains(self, path: str, key: str, status: int) -> bool:
        """Return whether a refusal with 401, 403 or 404 follows from this version."""
        route = self.find_route(path)
        if status == 404:
            return route is None
        return route is not None and not route["public"] and key not in self.keys


@attrs.define(eq=False)
class Disruption:
    """Span in which something was disturbed.

    Parameters
    ----------
    hosts : frozenset of str or None
        Machines that aren't in touch; None for all of them.
    is_planned : bool
        Whether it is planned work, around which nothing may be lost.
    """

    kind: str
    hosts: frozenset[str] | None
    start_s: float
    end_s: float = math.inf
    is_planned: bool = False


@attrs.define(eq=False)
class Departure:
    """A report of a backend server that it leaves, acknowledged by the store."""

    instance: str
    host: str
    at_s: float
    kind: str


@attrs.define(eq=False)
class Record:
    """Everything that was seen."""

    samples: list[Sample] = attrs.field(factory=list)
    work: list[Work] = attrs.field(factory=list)
    versions: list[Version] = attrs.field(factory=list)
    disruptions: list[Disruption] = attrs.field(factory=list)
    departures: list[Departure] = attrs.field(factory=list)
    starts: list[tuple[str, float]] = attrs.field(factory=list)
    """Machines and times at which their processes started."""
    stops: list[tuple[str, float, int, float]] = attrs.field(factory=list)
    """Machines, times of SIGTERM, exit statuses and durations of planned stops."""
    reloads: list[tuple[str, float]] = attrs.field(factory=list)
    ends: list[tuple[str, float, int]] = attrs.field(factory=list)
    """Machines whose process ended by itself, times and exit statuses."""
    unready: list[tuple[str, float]] = attrs.field(factory=list)
    """Disruptions after which a daemon did not get ready in time, and when that was seen."""
    memory_mb: dict[str, float] = attrs.field(factory=dict)
    """Most memory that the daemon of a machine has used."""
    dead: dict[str, float] = attrs.field(factory=dict)
    """Processes of backend servers that ended, and when."""
