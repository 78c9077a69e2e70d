"""Calls in flight at the backend server, found again by their call token."""

import secrets

import anyio
import attrs

from wisteria_routing import RetryAllowance
from wisteria_wire import CallHead

TOKEN_BYTES = 16


@attrs.define(eq=False)
class RunningCall:
    """A call that the backend server works on; the parent of the child calls it makes.

    Parameters
    ----------
    token : str
        Unguessable name by which the backend server refers to the call.
    deadline_at_ms : int
        Deadline on this daemon's clock, in milliseconds.
    allowance : RetryAllowance
        Retries that were lent to the call, for it to lend to child calls.
    services : set of str
        Services that the call has used through child calls, at any depth.
    children : set of CancelScope
        Child calls in flight; they end with their parent.
    """

    token: str
    head: CallHead
    deadline_at_ms: int
    allowance: RetryAllowance
    services: set[str] = attrs.field(factory=set)
    children: set[anyio.CancelScope] = attrs.field(factory=set)

    def count_spent(self) -> int:
        """Return the retries spent so far; what is lent to a child call counts as spent."""
        return self.head.allowance - self.allowance.left


@attrs.define
class CallRegistry:
    """The running calls of this VM's backend server, by token."""

    _calls: dict[str, RunningCall] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, head: CallHead, deadline_at_ms: int) -> RunningCall:
        """Register a call that is about to run and return its record."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        call = RunningCall(token, head, deadline_at_ms, RetryAllowance(head.allowance))
        self._calls[token] = call
        return call

    def find(self, token: str) -> RunningCall | None:
        """Return the running call of `token`; None when it has ended or never was."""
        return self._calls.get(token)

    def remove(self, call: RunningCall) -> None:
        """Forget a call that has ended and cancel its child calls."""
        self._calls.pop(call.token, None)
        for scope in list(call.children):
            scope.cancel()
