"""How a backend server stand-in behaves: service times, faults, children, downloads."""

import random
from typing import Any

import attrs
import cattrs

from .const import DEFAULT_KEY_MARKER, DEFAULT_POISON_MARKER, DEFAULT_SEED


@attrs.frozen
class ServiceTime:
    """Distribution of the time that one run takes.

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
        """Return one service time in milliseconds."""
        match self.kind:
            case "constant":
                return self.mean_ms
            case "exponential":
                return rng.expovariate(1.0 / self.mean_ms) if self.mean_ms else 0.0
            case "lognormal":
                return self.mean_ms * rng.lognormvariate(-self.sigma**2 / 2, self.sigma)
            case _:
                raise ValueError(f"unknown distribution {self.kind!r}")


@attrs.frozen
class ChildCall:
    """A call that a run makes to the next service, through the local daemon.

    Parameters
    ----------
    path : str
        Path of the child call.
    method : str
        Method of the child call.
    count : int
        How many such calls one run makes.
    with_key : bool
        Whether the child call carries an idempotency key derived from the parent's.
    """

    path: str
    method: str = "GET"
    count: int = 1
    with_key: bool = False


@attrs.frozen
class Rule:
    """What a run does for paths that start with `prefix`.

    Parameters
    ----------
    prefix : str
        Start of the paths that the rule is for; the longest that fits counts.
    service : ServiceTime
        Distribution of the run's own time.
    answer_bytes : int
        Length of the answer; 0 answers a short JSON object.
    download : bool
        Whether the answer is a stream with an entity tag and ranges.
    chunk_ms : int
        Pause between two chunks of a download, in milliseconds.
    children : tuple of ChildCall
        Calls made to the next service, one after the other unless `parallel`.
    parallel : bool
        Whether the children run side by side.
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
    """Everything that can be set on a backend server, also while it runs.

    Parameters
    ----------
    slots : int
        Runs at the same time.
    max_queue : int
        Calls that wait for a slot; more are answered by status 503.
    slow_factor : float
        Multiplies each service time.
    failure_rate : float
        Share of the runs that answer by status 500.
    cold_ms, cold_factor : int, float
        For so long after the start each service time is multiplied by the factor.
    healthy : bool
        What the health endpoint says.
    reported_load : int or None
        A fixed figure that the load endpoint gives in place of the true one.
    report_lag_ms : int
        Age to which the load endpoint's figure may grow, in milliseconds.
    ignore_cancellation : bool
        Whether a run goes on when its caller has gone.
    stall_after_bytes : int or None
        Where a download stops without an end.
    cut_after_bytes : int or None
        Where a download's connection is cut.
    key_marker, poison_marker : str
        Text that marks a caller's key, and text that crashes the server that runs it.
    restart_ms : int
        Time that a crashed server is away, in milliseconds; 0 ends the process for good.
    seed, content_seed : int
        Seeds of the service times and failures, and of the content of long answers.
    rules : tuple of Rule
        What a run does, by the start of its path.
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
        """Return the rule whose prefix fits `path` best; the default rule when none does."""
        fitting = [rule for rule in self.rules if path.startswith(rule.prefix)]
        return max(fitting, key=lambda rule: len(rule.prefix), default=Rule())


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def structure_behaviour(fields: dict[str, Any]) -> Behaviour:
    """Return the behaviour that plain data describes.

    Raises
    ------
    ValueError
        If a field is unknown or its value is of the wrong type.
    """
    try:
        return _CONVERTER.structure(fields, Behaviour)
    except cattrs.BaseValidationError as error:
        raise ValueError("; ".join(cattrs.transform_error(error))) from error


def unstructure_behaviour(behaviour: Behaviour) -> dict[str, Any]:
    """Return plain data from which `structure_behaviour` makes the same behaviour."""
    plain: dict[str, Any] = _CONVERTER.unstructure(behaviour)
    return plain


def change_behaviour(behaviour: Behaviour, changes: dict[str, Any]) -> Behaviour:
    """Return `behaviour` with the named fields set anew."""
    return structure_behaviour(unstructure_behaviour(behaviour) | changes)
