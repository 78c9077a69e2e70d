"""Order of rate limits and shedding at the entry daemon, and the retry advice of both."""

import attrs
import pytest

from wisteria_admission import AdmissionLevel
from wisteria_core import Priority, Refusal, ResultCode
from wisteria_limits import Admitted

from .support import Mesh, make_config, make_route

pytestmark = pytest.mark.anyio


@attrs.define
class Rates:
    """Admits calls, or refuses them with a retry advice that is far too long."""

    refuses: bool
    refunded: int = 0

    async def admit(self, account: str) -> Admitted | Refusal:
        if self.refuses:
            return Refusal(ResultCode.RATE_EXCEEDED, "over the rate", retry_after_ms=5_000)
        return Admitted(account)

    def refund(self, admitted: Admitted) -> None:
        self.refunded += 1


@pytest.mark.parametrize(("refuses", "status", "demand"), [(True, 429, 1), (False, 503, 2)])
async def test_calls_beyond_a_rate_are_no_demand(
    mesh: Mesh, refuses: bool, status: int, demand: int
) -> None:
    """Otherwise an account over its rate would take what shedding admits from all others."""
    route = {**make_route("yields", "/yields/", "idempotent"), "target_latency_s": 0.4}
    mesh.publish(make_config(routes=[route]))
    (node,) = await mesh.add_ready(1)
    entry, rates = node.daemon.entry, Rates(refuses)
    entry.rates = rates
    now_ms = entry.clock.now_ms()
    shedding = AdmissionLevel("yield", "vm", threshold=0, excess_milli=0, work_ms=10)
    entry.levels.note_answer(now_ms, "yields", "co-op", Priority.HIGH, [shedding])
    found = await mesh.call(node, "/yields/1")
    assert found.status == status
    assert rates.refunded == (0 if refuses else 1)
    assert entry.levels.take_represented(now_ms, "yields", "co-op", Priority.HIGH) == demand
    if refuses:
        assert 0.1 <= float(found.headers["retry-after"]) <= 0.2
