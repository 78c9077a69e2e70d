"""Calls in flight at the backend server, by call token and by deadline."""

import secrets
from collections.abc import Callable

import attrs

from wisteria_admission import AdmissionLevel
from wisteria_routing import RetryAllowance
from wisteria_wire import CallHead, CallScope

TOKEN_BYTES = 16
MAX_LEVELS = 32
DEADLINE_TOLERANCE_MS = 4
"""Largest difference between the deadlines of a call and its child call. It covers the rounding to
milliseconds on both sides and the transfer time between daemon and backend server."""


@attrs.define(eq=False)
class RunningCall:
    """A call that the backend server is running, and the parent of its child calls.

    Parameters
    ----------
    token : str
        Identifier of the call that the backend server sends with its child calls.
    deadline_at_ms : int
        Deadline on this daemon's clock, in milliseconds.
    allowance : RetryAllowance
        Retries that were lent to the call, and from which its child calls borrow.
    started_ms : int
        Time at which the call was sent to the backend server, in milliseconds.
    levels : dict
        Admission levels from the answers to child calls, at any depth, by service and VM, each
        with the time at which it was received.
    children : set of CallScope
        Scopes of the child calls in flight, which are cancelled when the call ends.
    child_failed : bool
        Whether a child call was refused or its backend server failed.
    """

    token: str
    head: CallHead
    deadline_at_ms: int
    allowance: RetryAllowance
    started_ms: int = 0
    levels: dict[tuple[str, str], tuple[int, AdmissionLevel]] = attrs.field(factory=dict)
    children: set[CallScope] = attrs.field(factory=set)
    child_failed: bool = False
    _child_wait_ms: int = 0
    _child_wait_since_ms: int | None = None

    def begin_child(self, now_ms: int, scope: CallScope) -> None:
        """Register a child call."""
        if not self.children:
            self._child_wait_since_ms = now_ms
        self.children.add(scope)

    def end_child(self, now_ms: int, scope: CallScope) -> None:
        """Remove a child call that has ended."""
        self.children.discard(scope)
        if self.children or self._child_wait_since_ms is None:
            return
        self._child_wait_ms += now_ms - self._child_wait_since_ms
        self._child_wait_since_ms = None

    def note_levels(self, now_ms: int, levels: tuple[AdmissionLevel, ...]) -> None:
        """Store a child answer's levels, to be sent with the answer to this call."""
        for level in levels:
            key = (level.service, level.vm_id)
            known = self.levels.get(key)
            if known is not None:
                # the work of the request in that service is the sum over its child calls
                level = attrs.evolve(level, work_ms=level.work_ms + known[1].work_ms)
            if known is not None or len(self.levels) < MAX_LEVELS:
                self.levels[key] = (now_ms, level)

    def list_levels_below(self, now_ms: int) -> tuple[AdmissionLevel, ...]:
        """Return the stored levels of the services below, each with its present age.

        Each level keeps the VM that measured it. If a daemon sent its own estimate instead, the
        estimate would come back to it through its callers and look like a new measurement.
        """
        return tuple(
            attrs.evolve(level, age_ms=level.age_ms + now_ms - received_ms)
            for received_ms, level in self.levels.values()
        )

    def total_child_wait_ms(self, now_ms: int) -> int:
        """Return the time during which at least one child call was in flight."""
        if self._child_wait_since_ms is None:
            return self._child_wait_ms
        return self._child_wait_ms + now_ms - self._child_wait_since_ms

    def count_spent(self) -> int:
        """Count the retries spent so far, including those lent to child calls."""
        return self.head.allowance - self.allowance.remaining


def make_token() -> str:
    """Return an unguessable token: whoever knows it can act for the call's account."""
    return secrets.token_urlsafe(TOKEN_BYTES)


@attrs.define
class CallRegistry:
    """The running calls of this VM's backend server, by token.

    Parameters
    ----------
    make_token : callable
        Returns a unique token. It must be unguessable where it is sent to the backend server.
    """

    make_token: Callable[[], str] = make_token
    _calls: dict[str, RunningCall] = attrs.field(factory=dict)
    _by_deadline: dict[int, list[RunningCall]] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, head: CallHead, deadline_at_ms: int, started_ms: int = 0) -> RunningCall:
        """Register a call that is about to run."""
        token = self.make_token()
        allowance = RetryAllowance(head.allowance)
        call = RunningCall(token, head, deadline_at_ms, allowance, started_ms)
        self._calls[token] = call
        self._by_deadline.setdefault(deadline_at_ms, []).append(call)
        return call

    def find(self, token: str) -> RunningCall | None:
        return self._calls.get(token)

    def find_by_deadline(self, deadline_at_ms: int) -> RunningCall | None:
        """Return the running call with the nearest deadline; None beyond `DEADLINE_TOLERANCE_MS`.

        Identifies the parent of a child call that carries no token, because a child call expires
        with its parent. Several calls may share a deadline, so the result is accurate enough to
        rank the child call, but not to cancel it together with the call found.
        """
        for gap_ms in range(DEADLINE_TOLERANCE_MS + 1):
            for candidate_ms in (deadline_at_ms - gap_ms, deadline_at_ms + gap_ms):
                if candidate_ms in self._by_deadline:
                    return self._by_deadline[candidate_ms][0]
        return None

    def remove(self, call: RunningCall) -> None:
        """Remove an ended call and cancel its child calls."""
        if self._calls.pop(call.token, None) is not None:
            same_deadline = self._by_deadline[call.deadline_at_ms]
            same_deadline.remove(call)
            if not same_deadline:
                del self._by_deadline[call.deadline_at_ms]
        for scope in list(call.children):
            scope.cancel()
