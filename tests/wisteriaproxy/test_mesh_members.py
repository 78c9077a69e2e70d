"""Sums that a relay makes of its members' and other relays' numbers."""

import pytest

from wisteria_core import VmId
from wisteria_limits import AccountDelta
from wisteriaproxy.control import encode_control
from wisteriaproxy.mesh.members import DomainSummary, MemberTable
from wisteriaproxy.mesh.messages import DomainNews, RelayNews

WHOLE_MIN, WHOLE_MAX = -(2**63), 2**63 - 1


@pytest.mark.parametrize("number", [WHOLE_MIN, WHOLE_MAX])
def test_sums_of_any_numbers_of_peers_can_be_sent(number: int) -> None:
    """Guards against a relay that sends no news because one sum fits into no message."""
    members = MemberTable()
    use = AccountDelta("co-op", number, number)
    for name in ("10.0.0.1", "10.0.0.2"):
        members.note_report(0, VmId(name), False, (use,))
        summary = DomainSummary(number, frozenset(), frozenset())
        members.note_domain(0, VmId(name), summary, (use,))
    daemons = members.summarize_fleet(0, 2).daemons
    news = RelayNews(1, True, 0, daemons, uses=members.for_members.take())
    assert isinstance(encode_control(news), bytes)
    domain_news = DomainNews(1, 2, uses=members.for_domains.take())
    assert isinstance(encode_control(domain_news), bytes)
