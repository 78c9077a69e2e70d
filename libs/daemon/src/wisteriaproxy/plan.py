"""Accepted request at the entry daemon, with route and policy."""

import attrs

from wisteria_config import Document, Route
from wisteria_core import Priority
from wisteria_wire import CallScope, HttpRequest

from .identify import Caller

HOPS_MAX = 255
"""Highest number of ancestors in the head of a call."""


@attrs.frozen(eq=False)
class Plan:
    """A request that passed authentication and routing, with its caller, policy and deadline.

    Parameters
    ----------
    service : str
        Service that the call goes to: the route's, or the one selected by its traffic split.
    priority : Priority
        Priority of the request; see `Document.resolve_priority`.
    trace : dict
        Decisions made while the request was processed, as fields for the log line.
    sent : list of str
        Destinations of the attempts made so far; see `describe_destination`.
    """

    request: HttpRequest
    request_id: str
    route: Route
    service: str
    caller: Caller
    deadline_at_ms: int
    idempotency_key: str
    document: Document
    priority: Priority
    scope: CallScope = attrs.field(factory=CallScope)
    trace: dict[str, object] = attrs.field(factory=dict)
    sent: list[str] = attrs.field(factory=list)

    def describe(self, started_ms: int) -> dict[str, object]:
        """Return log fields that explain the routing."""
        likely = self.caller.likely_parent
        fields: dict[str, object] = {
            "service": self.service,
            "config_version": self.document.version,
            "time_ms": self.deadline_at_ms - started_ms,
            "sent": " ".join(self.sent),
            **self.trace,
        }
        if self.caller.is_internal:
            fields["parent"] = likely.head.request_id if likely is not None else None
        return fields


def count_hops(caller: Caller) -> int:
    """Count known ancestors in the call chain, up to what the head of a call holds."""
    parent_call = caller.parent or caller.likely_parent
    if parent_call is not None:
        return min(parent_call.head.hops + 1, HOPS_MAX)
    return 1 if caller.is_internal else 0


def list_parts(route: Route) -> tuple[tuple[str, int], ...]:
    """Return a traffic split's services with their weights."""
    return tuple((part.service, part.weight) for part in route.split)
