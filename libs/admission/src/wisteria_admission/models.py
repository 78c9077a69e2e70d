"""Tickets, verdicts, actions and the admission level reported on answers."""

import enum
from collections.abc import Hashable

import attrs

from wisteria_core import Priority, Refusal

from .const import HASH_RANKS, RANK_COUNT


class Outcome(enum.Enum):
    """How a dispatched call ended, as seen by the concurrency limiter."""

    SUCCESS = "success"
    ERROR = "error"
    TIMEOUT = "timeout"
    REJECTED = "rejected"
    CANCELLED = "cancelled"


@attrs.frozen
class Ticket:
    """A call that requests admission.

    Parameters
    ----------
    call_id : Hashable
        Unique among the calls that are queued or running.
    account : str
        Client account that the call is served for.
    weight : int
        Weight of the account, at least 1.
    priority : Priority
        Priority of the request.
    rank : int
        Shed rank of the request, see `shed_rank`.
    deadline_at_ms : int
        Deadline on the clock of this daemon.
    cost_ms : int
        Expected run time; 0 when unknown.
    long_download : bool
        Whether the call belongs to the class of long downloads.
    route : str
        Key of the run time estimate.
    represented : int
        Number of requests that this one represents: itself and similar ones that the entry
        daemon refused since it last sent one, see `ChainLevels.take_represented`.
    key_id : str
        Identifier (never the secret) of the caller's key, for `AdmissionGate.withdraw`.
    is_child : bool
        Whether the call is made on behalf of a request that was admitted upstream.
    rank_span : int
        Ranks over which requests of its kind are spread within their priority and share.
    """

    call_id: Hashable
    account: str
    weight: int
    priority: Priority
    rank: int
    deadline_at_ms: int
    cost_ms: int = 0
    long_download: bool = False
    route: str = ""
    represented: int = 1
    key_id: str = ""
    is_child: bool = False
    rank_span: int = HASH_RANKS


@attrs.frozen
class Dispatch:
    """Send the call to the backend server now."""

    call_id: Hashable


@attrs.frozen
class Refuse:
    """Refuse a queued call, which has not run."""

    call_id: Hashable
    refusal: Refusal


@attrs.frozen
class Queued:
    """The call was queued; a later action dispatches or refuses it."""

    expected_wait_ms: int


Action = Dispatch | Refuse
Verdict = Dispatch | Queued | Refusal


@attrs.frozen
class Offer:
    """Answer to one offered ticket.

    `evicted` are queued calls that made room for the offered one; each is refused at once.
    """

    verdict: Verdict
    evicted: tuple[Refuse, ...] = ()


@attrs.frozen
class AdmissionLevel:
    """Admission level reported on an answer: which shed ranks a backend server admits.

    Parameters
    ----------
    service : str
        Service to which the level applies.
    vm_id : str
        VM that reported it.
    threshold : int
        Ranks below it are admitted; `RANK_COUNT` admits all.
    excess_milli : int
        Thousandths of the demand of this call's account, at its priority, that exceed the
        fair share of the account there.
    age_ms : int
        Age of a relayed level when the answer was sent, in milliseconds.
    work_ms : int
        Time for which the request occupied slots of the service, in milliseconds.
    """

    service: str
    vm_id: str
    threshold: int = RANK_COUNT
    excess_milli: int = 0
    age_ms: int = 0
    work_ms: int = 0
