"""Shared fixtures of the admission tests."""

from collections.abc import Callable

import pytest

from wisteria_admission import Ticket, shed_rank
from wisteria_core import Priority

TicketMaker = Callable[..., Ticket]


@pytest.fixture
def make_ticket() -> TicketMaker:
    """Return a factory of tickets with defaults that suit most tests."""

    def make(
        call: int,
        account: str = "a",
        priority: Priority = Priority.NORMAL,
        deadline_at_ms: int = 10_000,
        cost_ms: int = 10,
        is_long: bool = False,
    ) -> Ticket:
        rank = shed_rank(priority, 0, f"r{call}")
        return Ticket(
            call, account, 1, priority, rank, deadline_at_ms, cost_ms, is_long, route="read"
        )

    return make
