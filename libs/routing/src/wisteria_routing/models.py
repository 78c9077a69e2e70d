"""Candidates, call outcomes, load reports and retry decisions."""

import enum

import attrs

from wisteria_core import FailureDomain, Refusal, RunState, VmId


class CallOutcome(enum.Enum):
    """How an attempt ended, as seen by the load balancer."""

    SUCCESS = "success"
    ERROR = "error"
    REFUSED = "refused"
    TIMEOUT = "timeout"
    LINK_LOST = "link lost"
    CANCELLED = "cancelled"


@attrs.frozen
class Candidate:
    """A VM that runs a backend server of the service.

    Parameters
    ----------
    usable : bool
        Whether membership considers the VM reachable and not leaving.
    connected : bool
        Whether the VM is connected, as far as the daemon knows; see
        `LoadBalancerConfig.connect_penalty`.
    evacuated : bool
        Whether its failure domain is evacuated.
    instance : str
        Process of the backend server; empty if unknown.
    """

    vm_id: VmId
    failure_domain: FailureDomain
    usable: bool = True
    connected: bool = True
    evacuated: bool = False
    instance: str = ""

    @property
    def takes_calls(self) -> bool:
        """Whether it may be sent calls."""
        return self.usable and not self.evacuated

    def has_returned(self, before: "Candidate") -> bool:
        """Return whether it was evacuated before, or is another process of the server."""
        was_evacuated = before.evacuated and not self.evacuated
        return was_evacuated or bool(before.instance and before.instance != self.instance)


@attrs.frozen
class ServerLoad:
    """Load of a backend server, as reported with an answer.

    Parameters
    ----------
    running, queued : int
        Numbers of calls.
    limit : int
        Current concurrency limit.
    """

    running: int
    queued: int
    limit: int

    def ratio(self) -> float:
        """Return the load relative to the concurrency limit."""
        return (self.running + self.queued) / max(1, self.limit)


@attrs.frozen
class HealthReport:
    """Response of a polled health or load endpoint, which may be wrong.

    Parameters
    ----------
    healthy : bool
        Whether the backend server reports itself healthy.
    load : float
        Reported load relative to the capacity.
    """

    healthy: bool
    load: float
    age_ms: int


@attrs.frozen
class Attempt:
    """A failed attempt, as input of `decide_retry`.

    Parameters
    ----------
    number : int
        1 for the first attempt.
    tried : frozenset of VmId
        Backend servers tried so far, including the one of this attempt.
    failure : Refusal
        How this attempt ended. An error answer of a backend server is given as a refusal with
        run state ``RAN`` or ``UNKNOWN``.
    repeatable : bool
        Whether a request of this route may run more than once.
    deadline_at_ms : int
        Clock reading at which the call's deadline expires.
    alternatives : int
        Number of usable backend servers that have not been tried.
    earlier : RunState
        Combined run state of all earlier attempts, see `merge_run_states`.
    priority : int
        Priority class of the request; the lowest value is the most urgent. See `RetryBudget`.
    moves : int
        Earlier attempts that no backend server received, see `Retry`.
    """

    number: int
    tried: frozenset[VmId]
    failure: Refusal
    repeatable: bool
    deadline_at_ms: int
    alternatives: int
    earlier: RunState = RunState.NOT_RUN
    priority: int = 0
    moves: int = 0


@attrs.frozen
class Retry:
    """Send the call again after `delay_ms`, to a backend server outside `exclude`.

    Parameters
    ----------
    is_move : bool
        Whether the failed attempt reached no backend server, so that this is no repeated call for
        the service and consumes neither allowance nor budget.
    """

    delay_ms: int
    exclude: frozenset[VmId]
    is_move: bool = False


@attrs.frozen
class GiveUp:
    """Stop retrying and answer the caller with `refusal`."""

    refusal: Refusal
