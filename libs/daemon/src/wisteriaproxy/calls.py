"""Calls in flight at the backend server, found again by their call token."""

import secrets
from collections.abc import Callable

import attrs

from wisteria_admission import AdmissionLevel
from wisteria_routing import RetryAllowance
from wisteria_wire import CallHead, CallScope

TOKEN_BYTES = 16
MAX_LEVELS = 32
DEADLINE_TOLERANCE_MS = 4
"""Gap between the deadlines of a call and its child call: rounding to milliseconds on both sides
and the way between daemon and backend server."""


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
    started_ms : int
        When it was sent to the backend server.
    levels : dict
        Admission levels that came with the answers to child calls, at any depth, each with
        the time at which it was heard.
    children : set of CancelScope
        Child calls in flight; they end with their parent.
    child_failed : bool
        Whether a child call got no answer, or one that says that its server failed.
    """

    token: str
    head: CallHead
    deadline_at_ms: int
    allowance: RetryAllowance
    started_ms: int = 0
    levels: dict[tuple[str, str], tuple[int, AdmissionLevel]] = attrs.field(factory=dict)
    children: set[CallScope] = attrs.field(factory=set)
    child_failed: bool = False
    _waited_ms: int = 0
    _waiting_since_ms: int | None = None

    def begin_child(self, now_ms: int, scope: CallScope) -> None:
        """Register a child call."""
        if not self.children:
            self._waiting_since_ms = now_ms
        self.children.add(scope)

    def end_child(self, now_ms: int, scope: CallScope) -> None:
        """Forget a child call that has ended."""
        self.children.discard(scope)
        if self.children or self._waiting_since_ms is None:
            return
        self._waited_ms += now_ms - self._waiting_since_ms
        self._waiting_since_ms = None

    def note_levels(self, now_ms: int, levels: tuple[AdmissionLevel, ...]) -> None:
        """Keep the levels of a child call's answer for the own answer."""
        for level in levels:
            key = (level.service, level.vm_id)
            known = self.levels.get(key)
            if known is not None:
                # what the request costs there adds up over its child calls
                level = attrs.evolve(level, work_ms=level.work_ms + known[1].work_ms)
            if known is not None or len(self.levels) < MAX_LEVELS:
                self.levels[key] = (now_ms, level)

    def relay_levels(self, now_ms: int) -> tuple[AdmissionLevel, ...]:
        """Return the levels of the services below, each with its age.

        They keep their reporters: a daemon that passed on an estimate of its own would hear
        it again through its callers and take it for news.
        """
        return tuple(
            attrs.evolve(level, age_ms=level.age_ms + now_ms - heard_ms)
            for heard_ms, level in self.levels.values()
        )

    def read_waited_ms(self, now_ms: int) -> int:
        """Return the time for which at least one child call was in flight."""
        if self._waiting_since_ms is None:
            return self._waited_ms
        return self._waited_ms + now_ms - self._waiting_since_ms

    def count_spent(self) -> int:
        """Return the retries spent so far; what is lent to a child call counts as spent."""
        return self.head.allowance - self.allowance.remaining


def make_token() -> str:
    """Return a token that nobody can guess."""
    return secrets.token_urlsafe(TOKEN_BYTES)


@attrs.define
class CallRegistry:
    """The running calls of this VM's backend server, by token.

    Parameters
    ----------
    make_token : callable
        Returns a token that no running call has. It has to be unguessable only where it travels.
    """

    make_token: Callable[[], str] = make_token
    _calls: dict[str, RunningCall] = attrs.field(factory=dict)
    _by_deadline: dict[int, list[RunningCall]] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, head: CallHead, deadline_at_ms: int, started_ms: int = 0) -> RunningCall:
        """Register a call that is about to run and return its record."""
        token = self.make_token()
        allowance = RetryAllowance(head.allowance)
        call = RunningCall(token, head, deadline_at_ms, allowance, started_ms)
        self._calls[token] = call
        self._by_deadline.setdefault(deadline_at_ms, []).append(call)
        return call

    def find(self, token: str) -> RunningCall | None:
        """Return the running call of `token`; None when it has ended or never was."""
        return self._calls.get(token)

    def find_by_deadline(self, deadline_at_ms: int) -> RunningCall | None:
        """Return the running call with the deadline nearest to one, None when none is near.

        A child call expires with its parent, so that where no token travels the deadline tells
        the parent. Two calls may share a deadline: the answer is good for ranking the child
        call, not for ending it.
        """
        for gap_ms in range(DEADLINE_TOLERANCE_MS + 1):
            for near_ms in (deadline_at_ms - gap_ms, deadline_at_ms + gap_ms):
                if near_ms in self._by_deadline:
                    return self._by_deadline[near_ms][0]
        return None

    def remove(self, call: RunningCall) -> None:
        """Forget a call that has ended and cancel its child calls."""
        if self._calls.pop(call.token, None) is not None:
            same = self._by_deadline[call.deadline_at_ms]
            same.remove(call)
            if not same:
                del self._by_deadline[call.deadline_at_ms]
        for scope in list(call.children):
            scope.cancel()
