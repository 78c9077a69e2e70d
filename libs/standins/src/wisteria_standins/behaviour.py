"""Behaviour of a simulated backend server: service times, faults, child calls, downloads."""

import random
from typing import Any

import attrs
import cattrs

from .const import DEFAULT_KEY_MARKER, DEFAULT_POISON_MARKER, DEFAULT_SEED


@attrs.frozen
class ServiceTime:
    """Distribution of the service time.

    Parameters
    ----------
    kind : str
        ``constant``, ``exponential`` or ``lognormal``.
    mean_ms : float
        Mean, in milliseconds.
    sigma : float
        Shape of the lognormal distribution.
    """

    kind: str = "exponential"
    mean_ms: float = 5.0
    sigma: float = 0.8

    def draw_ms(self, rng: random.Random) -> float:
        """Return a random service time in milliseconds."""
        match self.kind:
            case "constant":
                return self.mean_ms
            case "exponential":
                return rng.expovariate(1.0 / self.mean_ms) if self.mean_ms else 0.0
            case "lognormal":
                return self.mean_ms * rng.lognormvariate(-self.sigma**2 / 2, self.sigma)
            case _:
                raise ValueError(f"unknown service time distribution {self.kind!r}")


@attrs.frozen
class ChildCall:
    """A call to another service, made through the local daemon while a request is served.

    Parameters
    ----------
    path : str
        Path of the call.
    method : str
        HTTP method of the call.
    count : int
        Number of such calls per request.
    with_key : bool
        Whether to send an idempotency key derived from that of the parent request.
    """

    path: str
    method: str = "GET"
    count: int = 1
    with_key: bool = False


@attrs.frozen
class Rule:
    """How requests whose path starts with `prefix` are served.

    Parameters
    ----------
    prefix : str
        Path prefix; the longest matching prefix applies.
    service : ServiceTime
        Distribution of the service time, without child calls.
    answer_bytes : int
        Length of the response body; 0 gives a short JSON object.
    download : bool
        Whether to stream the body, with an entity tag and support for range requests.
    chunk_ms : int
        Pause between two chunks of a download, in milliseconds.
    children : tuple of ChildCall
        Calls to other services, made in sequence unless `parallel`.
    parallel : bool
        Whether to make the child calls concurrently.
    """

    prefix: str = "/"
    service: ServiceTime = ServiceTime()
    answer_bytes: int = 0
    download: bool = False
    chunk_ms: int = 0
    children: tuple[ChildCall, ...] = ()
    parallel: bool = False


@attrs.frozen
class Behaviour:
    """Settings of a simulated backend server; they can be changed while it runs.

    Parameters
    ----------
    slots : int
        Maximum number of requests served concurrently.
    max_queue : int
        Maximum number of requests that wait for a slot; further ones get status 503.
    slow_factor : float
        Factor on each service time.
    failure_rate : float
        Fraction of requests that fail with status 500.
    cold_ms, cold_factor : int, float
        Length of the cold start, in milliseconds, and the factor on service times during it.
    healthy : bool
        Whether the health endpoint reports a healthy server.
    reported_load : int or None
        Fixed number of requests that the load endpoint reports in place of the actual one.
    report_lag_ms : int
        Maximum age of the value that the load endpoint reports, in milliseconds.
    ignore_cancellation : bool
        Whether a request continues after its caller has disconnected.
    stall_after_bytes : int or None
        Number of bytes after which a download stalls.
    cut_after_bytes : int or None
        Number of bytes after which the connection of a download is aborted.
    key_marker, poison_marker : str
        Text that identifies a caller's API key, and text in a request body that makes the
        server crash.
    restart_ms : int
        Delay of the restart after a crash, in milliseconds; 0 exits the process.
    seed, content_seed : int
        Seed of service times and failures, and seed of the content of long responses.
    rules : tuple of Rule
        How requests are served, by path prefix.
    """

    slots: int = 20
    max_queue: int = 1_000
    slow_factor: float = 1.0
    failure_rate: float = 0.0
    cold_ms: int = 0
    cold_factor: float = 1.0
    healthy: bool = True
    reported_load: int | None = None
    report_lag_ms: int = 0
    ignore_cancellation: bool = False
    stall_after_bytes: int | None = None
    cut_after_bytes: int | None = None
    key_marker: str = DEFAULT_KEY_MARKER
    poison_marker: str = DEFAULT_POISON_MARKER
    restart_ms: int = 500
    seed: int = DEFAULT_SEED
    content_seed: int = DEFAULT_SEED
    rules: tuple[Rule, ...] = (Rule(),)

    def find_rule(self, path: str) -> Rule:
        """Return the rule with the longest prefix of `path`, or the default rule."""
        matching = [rule for rule in self.rules if path.startswith(rule.prefix)]
        return max(matching, key=lambda rule: len(rule.prefix), default=Rule())


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def structure_behaviour(fields: dict[str, Any]) -> Behaviour:
    """Return the behaviour with the given fields.

    Raises
    ------
    ValueError
        If a field is unknown or has a value of the wrong type.
    """
    try:
        return _CONVERTER.structure(fields, Behaviour)
    except cattrs.BaseValidationError as error:
        raise ValueError("; ".join(cattrs.transform_error(error))) from error


def unstructure_behaviour(behaviour: Behaviour) -> dict[str, Any]:
    """Return plain data, the inverse of `structure_behaviour`."""
    plain: dict[str, Any] = _CONVERTER.unstructure(behaviour)
    return plain


def change_behaviour(behaviour: Behaviour, changes: dict[str, Any]) -> Behaviour:
    """Return a copy with some fields replaced."""
    return structure_behaviour(unstructure_behaviour(behaviour) | changes)
