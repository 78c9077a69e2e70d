"""What load to offer: flows of calls, how they arrive, how their clients retry."""

import ipaddress
import math
import random
from collections.abc import Iterator

import attrs

from .const import DEFAULT_SEED, LOOPBACK, MS_PER_S


@attrs.frozen
class Target:
    """An address on loopback that takes calls."""

    port: int
    host: str = attrs.field(default=LOOPBACK)

    @host.validator
    def _check_host(self, _: "attrs.Attribute[str]", value: str) -> None:
        if not ipaddress.ip_address(value).is_loopback:
            raise ValueError(f"load goes to loopback only, not to {value}")


@attrs.frozen
class RetryPolicy:
    """How a client asks again after an answer that is no success.

    Parameters
    ----------
    attempts : int
        Tries at most for one request, the first included.
    delay_ms : int
        Pause before each further try, in milliseconds.
    heeds_retry_after : bool
        Whether a Retry-After header lengthens the pause.
    """

    attempts: int = 1
    delay_ms: int = 0
    heeds_retry_after: bool = False


NO_RETRIES = RetryPolicy()
AGGRESSIVE_RETRIES = RetryPolicy(attempts=4, delay_ms=20)


@attrs.frozen
class Flow:
    """One kind of call.

    Parameters
    ----------
    name : str
        Name in the results; flows of the same name are summed.
    path : str
        Path; ``{n}`` stands for the number of the request.
    method, body : str, bytes
        The rest of the request.
    account : str
        Client account under which results are kept.
    key : str
        Key that the calls present; empty on open routes.
    priority : str
        Priority under which results are kept.
    deadline_ms : int or None
        Deadline that the calls carry, and after which the client gives up.
    with_idempotency_key : bool
        Whether each request carries a key of its own, the same on each try.
    weight : float
        Share of the arrivals, relative to other flows.
    retry : RetryPolicy
        How its clients ask again.
    expected_bytes : int or None
        Length of a whole answer, when it is known.
    expected_digest : str
        BLAKE2b digest of a whole answer, when it is known.
    echo : bool
        Whether a query field is sent that the answer must hold, to find mixed-up answers.
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
    """A stretch of open-loop load.

    Parameters
    ----------
    duration_s : float
        Length, in seconds.
    rate_per_s : float
        Arrivals in calls/s.
    name : str
        Name of the phase in the results.
    """

    duration_s: float
    rate_per_s: float
    name: str = "steady"


@attrs.frozen
class OpenLoop:
    """Calls arrive by the clock, however slowly they are answered.

    Parameters
    ----------
    phases : tuple of Phase
        Stretches one after the other.
    arrivals : str
        ``poisson`` or ``constant``.
    """

    phases: tuple[Phase, ...]
    arrivals: str = "poisson"

    def draw_arrivals(self, rng: random.Random) -> Iterator[tuple[float, str]]:
        """Return the seconds from the start, and the phase, of each arrival."""
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
                raise ValueError(f"unknown arrivals {self.arrivals!r}")


@attrs.frozen
class ClosedLoop:
    """A number of clients, each of which sends its next call after an answer.

    Parameters
    ----------
    clients : int
        Number of clients.
    duration_s : float
        Length, in seconds.
    think_ms : float
        Mean pause between answer and next call, in milliseconds.
    """

    clients: int
    duration_s: float
    think_ms: float = 0.0

    def draw_pause_s(self, rng: random.Random) -> float:
        """Return one pause, in seconds."""
        return rng.expovariate(MS_PER_S / self.think_ms) if self.think_ms else 0.0


@attrs.frozen
class LoadSpec:
    """A whole load.

    Parameters
    ----------
    targets : tuple of Target
        Addresses; each call takes the next one.
    flows : tuple of Flow
        Kinds of calls, mixed by weight.
    loop : OpenLoop or ClosedLoop
        How the calls arrive.
    max_connections : int
        Connections to one target at most.
    seed : int
        Seed of arrivals and mix.
    bucket_s : float
        Width of a step of the time line in the results, in seconds.
    latency_from_send : bool
        Whether latencies count from the first send in place of the arrival, so that the
        generator's timers (1 ms) don't show; only for loads that nothing holds up.
    """

    targets: tuple[Target, ...]
    flows: tuple[Flow, ...]
    loop: OpenLoop | ClosedLoop
    max_connections: int = 512
    seed: int = DEFAULT_SEED
    bucket_s: float = 0.5
    latency_from_send: bool = False

    def find_step(self, at_s: float) -> int:
        """Return the step of the time line in which a time lies."""
        return math.floor(at_s / self.bucket_s)
