"""Tests of the priority of a call, derived from its account and its route."""

import pytest

from wisteria_config import Account, Document, PublicPolicy, Route
from wisteria_core import Priority


def make_document(*priorities: Priority | None) -> Document:
    accounts = tuple(
        Account(f"a{place}", 10, 10, priority=priority) for place, priority in enumerate(priorities)
    )
    return Document(1, 1, PublicPolicy(1, 1), accounts=accounts)


def make_route(priority: Priority) -> Route:
    return Route(id="r", service="s", method="GET", path="/r", priority=priority)


@pytest.mark.parametrize("priority", Priority)
@pytest.mark.parametrize("stated", [None, Priority.URGENT, Priority.HIGH])
def test_route_priority_applies_to_accounts_of_equal_priority(
    priority: Priority, stated: Priority | None
) -> None:
    document = make_document(stated, stated)
    for account in ("a0", "a1", "public"):
        assert document.resolve_priority(account, make_route(priority)) is priority


def test_account_priority_takes_precedence() -> None:
    document = make_document(Priority.HIGH, Priority.URGENT, None)
    urgent, normal = make_route(Priority.URGENT), make_route(Priority.NORMAL)
    order = [
        document.resolve_priority("a1", urgent),
        document.resolve_priority("a1", normal),
        document.resolve_priority("a0", urgent),
        document.resolve_priority("a0", normal),
    ]
    assert order == list(Priority)
    for last in ("a2", "public"):
        assert document.resolve_priority(last, normal) >= document.resolve_priority("a0", normal)
