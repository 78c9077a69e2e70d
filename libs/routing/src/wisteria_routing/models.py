"""Candidates, outcomes, load messages and retry decisions of routing."""

import enum

import attrs

from wisteria_core import FailureDomain, Refusal, RunState, VmId


class CallOutcome(enum.Enum):
    """How one attempt ended, as far as the choice of a backend server is concerned."""

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
    vm_id : VmId
        Name of the VM.
    failure_domain : FailureDomain
        Failure domain that it stands in.
    usable : bool
        Whether membership takes it for reachable and not leaving.
    connected : bool
        Whether a connection to it is open; a new one is counted as costly.
    """

    vm_id: VmId
    failure_domain: FailureDomain
    usable: bool = True
    connected: bool = True


@attrs.frozen
class ServerLoad:
    """Message on an answer: how busy the backend server was when it was sent.

    Parameters
    ----------
    running, queued : int
        Calls that run and calls that wait.
    limit : int
        Present concurrency limit.
    """

    running: int
    queued: int
    limit: int

    def ratio(self) -> float:
        """Return the load as a multiple of the limit."""
        return (self.running + self.queued) / max(1, self.limit)


@attrs.frozen
class HealthReport:
    """What a polled health or load endpoint said.

    Parameters
    ----------
    healthy : bool
        Its claim to be healthy.
    load : float
        Claimed load as a multiple of the capacity.
    age_ms : int
        Age of the claim.
    """

    healthy: bool
    load: float
    age_ms: int


@attrs.frozen
class Attempt:
    """An attempt that failed, for `decide_retry`.

    Parameters
    ----------
    number : int
        1 for the first attempt.
    tried : frozenset of VmId
        Backend servers tried so far, with this one.
    failure : Refusal
        How this attempt ended; an answer that failed is a refusal whose run state is ``RAN``
        or ``UNKNOWN``.
    earlier : RunState
        Run state over all earlier attempts, see `merge_run_states`.
    repeatable : bool
        Whether the route may run more than once.
    deadline_at_ms : int
        Deadline of the call.
    alternatives : int
        Usable backend servers that have not been tried.
    priority : int
        Class of the whole request, the lowest is the most urgent; see `RetryBudget`.
    """

    number: int
    tried: frozenset[VmId]
    failure: Refusal
    repeatable: bool
    deadline_at_ms: int
    alternatives: int
    earlier: RunState = RunState.NOT_RUN
    priority: int = 0


@attrs.frozen
class Retry:
    """Send the call again after `delay_ms`, to none of `exclude`."""

    delay_ms: int
    exclude: frozenset[VmId]


@attrs.frozen
class GiveUp:
    """Answer the caller at once with `refusal`."""

    refusal: Refusal
