"""Queue of waiting calls: strict priority, then weighted fair queueing of client accounts."""

from collections import deque
from collections.abc import Callable, Hashable, Iterator

import attrs

from wisteria_core import Priority

from .const import VIRTUAL_TIME_PER_MS
from .models import Ticket


@attrs.define
class _AccountQueue:
    """Waiting calls of one account at one priority, with its virtual time."""

    weight: int
    virtual_time: int
    waiting: deque[Ticket] = attrs.Factory(deque)


@attrs.define
class _PriorityClass:
    """Accounts of one priority."""

    accounts: dict[str, _AccountQueue] = attrs.Factory(dict)
    virtual_now: int = 0
    size: int = 0

    def account_of(self, ticket: Ticket) -> _AccountQueue:
        account = self.accounts.get(ticket.account)
        if account is None:
            account = _AccountQueue(ticket.weight, self.virtual_now)
            self.accounts[ticket.account] = account
        account.weight = max(1, ticket.weight)
        return account

    def push(self, ticket: Ticket) -> None:
        account = self.account_of(ticket)
        if not account.waiting:
            account.virtual_time = max(account.virtual_time, self.virtual_now)
        account.waiting.append(ticket)
        self.size += 1

    def charge(self, ticket: Ticket, cost_ms: int) -> None:
        account = self.account_of(ticket)
        start = max(account.virtual_time, self.virtual_now)
        account.virtual_time = start + max(1, cost_ms) * VIRTUAL_TIME_PER_MS // account.weight
        self._drop_idle_accounts()

    def next_account(self) -> _AccountQueue | None:
        return min(self._active(), key=lambda account: account.virtual_time, default=None)

    def longest_account(self) -> _AccountQueue | None:
        return max(self._active(), key=lambda a: (len(a.waiting) / a.weight), default=None)

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many calls weighted fair queueing starts before a new call like `ticket`."""
        own = self.accounts.get(ticket.account)
        rounds = (len(own.waiting) if own else 0) + 1
        weight = max(1, ticket.weight)
        ahead = rounds - 1
        for account in self._active():
            if account is not own:
                ahead += min(len(account.waiting), -(-rounds * account.weight // weight))
        return ahead

    def _active(self) -> Iterator[_AccountQueue]:
        return (account for account in self.accounts.values() if account.waiting)

    def _drop_idle_accounts(self) -> None:
        """Drop accounts without waiting calls whose virtual time is not ahead of the class."""
        if len(self.accounts) <= 2 * sum(1 for _ in self._active()) + 8:
            return
        self.accounts = {
            name: account
            for name, account in self.accounts.items()
            if account.waiting or account.virtual_time > self.virtual_now
        }


@attrs.define
class FairQueue:
    """Waiting calls of one class of work.

    Parameters
    ----------
    newest_first : bool
        Serve the newest call of the selected account instead of the oldest.
    """

    newest_first: bool = False
    _classes: dict[Priority, _PriorityClass] = attrs.Factory(
        lambda: {p: _PriorityClass() for p in Priority}
    )
    _tickets: dict[Hashable, Ticket] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self._tickets)

    def __contains__(self, call_id: Hashable) -> bool:
        return call_id in self._tickets

    def size_of(self, priority: Priority) -> int:
        return self._classes[priority].size

    def push(self, ticket: Ticket) -> None:
        self._tickets[ticket.call_id] = ticket
        self._classes[ticket.priority].push(ticket)

    def charge(self, ticket: Ticket, cost_ms: int) -> None:
        """Charge a dispatched call of `cost_ms` to its account."""
        self._classes[ticket.priority].charge(ticket, cost_ms)

    def pop(self, urgent_only: bool) -> Ticket | None:
        """Remove and return the call to serve next, or None when none may be served."""
        for priority, queue in self._classes.items():
            if urgent_only and priority is not Priority.URGENT:
                return None
            account = queue.next_account()
            if account is not None:
                queue.virtual_now = max(queue.virtual_now, account.virtual_time)
                index = -1 if self.newest_first else 0
                return self._take(queue, account, account.waiting[index])
        return None

    def evict_for(self, ticket: Ticket) -> Ticket | None:
        """Remove and return the call to evict for `ticket`, or None when there is none.

        The call is taken from the lowest priority, there from the account with the longest
        queue relative to its weight, and there it is the newest. At equal priority, a call is
        evicted only for another account whose queue stays shorter, relative to its weight.
        """
        for priority in sorted(Priority, reverse=True):
            queue = self._classes[priority]
            account = queue.longest_account()
            if priority < ticket.priority:
                return None
            if account is None:
                continue
            if priority == ticket.priority and not self._is_longer(queue, account, ticket):
                return None
            return self._take(queue, account, account.waiting[-1])
        return None

    def remove(self, call_id: Hashable) -> Ticket | None:
        """Remove and return one call, or return None when it is not queued."""
        ticket = self._tickets.get(call_id)
        if ticket is None:
            return None
        queue = self._classes[ticket.priority]
        return self._take(queue, queue.accounts[ticket.account], ticket)

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many queued calls start before a new call like `ticket`."""
        before = sum(q.size for p, q in self._classes.items() if p < ticket.priority)
        return before + self._classes[ticket.priority].ahead_of(ticket)

    def find(self, predicate: Callable[[Ticket], bool]) -> list[Ticket]:
        """Return the waiting calls for which `predicate` holds, oldest first."""
        return [ticket for ticket in self._tickets.values() if predicate(ticket)]

    def positions(self) -> Iterator[tuple[Ticket, int]]:
        """Yield each waiting call with a lower bound on the calls that start before it."""
        before = 0
        for queue in self._classes.values():
            for account in queue.accounts.values():
                waiting = reversed(account.waiting) if self.newest_first else account.waiting
                for index, ticket in enumerate(waiting):
                    yield ticket, before + index
            before += queue.size

    def _take(self, queue: _PriorityClass, account: _AccountQueue, ticket: Ticket) -> Ticket:
        account.waiting.remove(ticket)
        queue.size -= 1
        del self._tickets[ticket.call_id]
        return ticket

    @staticmethod
    def _is_longer(queue: _PriorityClass, longest: _AccountQueue, ticket: Ticket) -> bool:
        own = queue.accounts.get(ticket.account)
        if own is longest:
            return False
        own_size = len(own.waiting) if own else 0
        return len(longest.waiting) / longest.weight > (own_size + 1) / max(1, ticket.weight)
