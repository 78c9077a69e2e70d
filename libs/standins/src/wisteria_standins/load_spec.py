"""Specification of a load: flows of requests, arrivals and retries."""

import ipaddress
import math
import random
from collections.abc import Iterator

import attrs

from .const import DEFAULT_SEED, LOOPBACK, MS_PER_S


@attrs.frozen
class Target:
    """A loopback address to send requests to."""

    port: int
    host: str = attrs.field(default=LOOPBACK)

    @host.validator
    def _check_host(self, _: "attrs.Attribute[str]", value: str) -> None:
        if not ipaddress.ip_address(value).is_loopback:
            raise ValueError(f"target must be a loopback address, not {value}")


@attrs.frozen
class RetryPolicy:
    """How a client retries a request that did not succeed.

    Parameters
    ----------
    attempts : int
        Maximum number of attempts per request, including the first.
    delay_ms : int
        Delay before each retry, in milliseconds.
    heeds_retry_after : bool
        Whether a Retry-After header extends the delay.
    """

    attempts: int = 1
    delay_ms: int = 0
    heeds_retry_after: bool = False


NO_RETRIES = RetryPolicy()
AGGRESSIVE_RETRIES = RetryPolicy(attempts=4, delay_ms=20)


@attrs.frozen
class Flow:
    """One kind of request.

    Parameters
    ----------
    name : str
        Name in the results; flows with the same name are added up.
    path : str
        Path; ``{n}`` is replaced by the number of the request.
    method, body : str, bytes
        HTTP method and request body.
    account : str
        Client account to which results are attributed.
    key : str
        API key sent with the requests; empty for open routes.
    priority : str
        Priority to which results are attributed.
    deadline_ms : int or None
        Deadline sent with the requests, after which the client gives up.
    with_idempotency_key : bool
        Whether each request has its own idempotency key, used for all its attempts.
    weight : float
        Relative share of the arrivals.
    retry : RetryPolicy
        Retry policy of the clients.
    expected_bytes : int or None
        Expected length of the response body; None if unknown.
    expected_digest : str
        Expected BLAKE2b digest of the response body; empty if unknown.
    echo : bool
        Whether to send the request number as a query parameter that the response must echo,
        to detect responses to other requests.
    """

    name: str
    path: str
    method: str = "GET"
    body: bytes = b""
    account: str = ""
    key: str = ""
    priority: str = "normal"
    deadline_ms: int | None = 10_000
    with_idempotency_key: bool = False
    weight: float = 1.0
    retry: RetryPolicy = NO_RETRIES
    expected_bytes: int | None = None
    expected_digest: str = ""
    echo: bool = False


@attrs.frozen
class Phase:
    """A phase of open-loop load with a constant rate.

    Parameters
    ----------
    duration_s : float
        Duration, in seconds.
    rate_per_s : float
        Arrival rate, in requests per second.
    name : str
        Name of the phase in the results.
    """

    duration_s: float
    rate_per_s: float
    name: str = "steady"


@attrs.frozen
class OpenLoop:
    """Open-loop load: requests arrive on schedule, regardless of response times.

    Parameters
    ----------
    phases : tuple of Phase
        Consecutive phases.
    arrivals : str
        ``poisson`` or ``constant``.
    """

    phases: tuple[Phase, ...]
    arrivals: str = "poisson"

    def draw_arrivals(self, rng: random.Random) -> Iterator[tuple[float, str]]:
        """Yield the time since the start, in seconds, and the phase name of each arrival."""
        begin_s = 0.0
        for phase in self.phases:
            at_s = begin_s
            while phase.rate_per_s > 0:
                at_s += self._draw_gap(rng, phase.rate_per_s)
                if at_s >= begin_s + phase.duration_s:
                    break
                yield at_s, phase.name
            begin_s += phase.duration_s

    def _draw_gap(self, rng: random.Random, rate_per_s: float) -> float:
        match self.arrivals:
            case "poisson":
                return rng.expovariate(rate_per_s)
            case "constant":
                return 1.0 / rate_per_s
            case _:
                raise ValueError(f"unknown arrival process {self.arrivals!r}")


@attrs.frozen
class ClosedLoop:
    """Closed-loop load: each client sends its next request after the previous response.

    Parameters
    ----------
    clients : int
        Number of clients.
    duration_s : float
        Duration, in seconds.
    think_ms : float
        Mean think time between a response and the next request, in milliseconds.
    """

    clients: int
    duration_s: float
    think_ms: float = 0.0

    def draw_pause_s(self, rng: random.Random) -> float:
        """Return a random think time, in seconds."""
        return rng.expovariate(MS_PER_S / self.think_ms) if self.think_ms else 0.0


@attrs.frozen
class LoadSpec:
    """A complete load specification.

    Parameters
    ----------
    targets : tuple of Target
        Addresses, used by round robin.
    flows : tuple of Flow
        Kinds of requests, mixed by weight.
    loop : OpenLoop or ClosedLoop
        Arrival model.
    max_connections : int
        Maximum number of connections per target.
    seed : int
        Seed of the arrivals and of the choice of flows.
    bucket_s : float
        Length of a time step in the results, in seconds.
    latency_from_send : bool
        Whether to measure latencies from the first send instead of the scheduled arrival,
        which excludes the 1 ms timer resolution of the generator. Use it only if
        nothing else delays the requests, as such delays are excluded too.
    """

    targets: tuple[Target, ...]
    flows: tuple[Flow, ...]
    loop: OpenLoop | ClosedLoop
    max_connections: int = 512
    seed: int = DEFAULT_SEED
    bucket_s: float = 0.5
    latency_from_send: bool = False

    def find_step(self, at_s: float) -> int:
        """Return the index of the time step that contains a time."""
        return math.floor(at_s / self.bucket_s)
