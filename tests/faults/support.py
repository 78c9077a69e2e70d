"""Fleet specifications, clients and run counts for the process-level failure tests."""

import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs
from script.tools.demo import make_uuid7
from script.tools.documents import AccountPlan, RoutePlan, make_document

from wisteria_core import rank_by_rendezvous
from wisteria_ledger import LedgerConfig, RunKey, slot_for
from wisteria_standins.behaviour import Behaviour, Rule, ServiceTime
from wisteria_standins.client import Answer, Call, Client
from wisteria_standins.fleet import Fleet, FleetError
from wisteria_standins.fleet_spec import FleetSpec, ServiceSpec
from wisteriaproxy.slots import ledger_slot

ACCOUNT = AccountPlan("dairy", "wk_faults_dairy", 10_000, 10_000)
DOMAINS = ("north", "south")
KEY_MARKER = "wk_faults_"  # longer than the default, which a random call token may contain
WAIT_S = 40.0
POLL_S = 0.05
KEY_TIMESTAMP_MARGIN_S = LedgerConfig().key_timestamp_margin_ms / 1_000 + 0.5
NOT_RUN = "not-run"
FINAL_CODES = frozenset({"0", "400", "402"})


async def wait_for(
    condition: Callable[[], Awaitable[bool]], what: str, limit_s: float = WAIT_S
) -> None:
    """Poll a condition until it holds; fail after `limit_s`."""
    end = time.monotonic() + limit_s
    while not await condition():
        assert time.monotonic() < end, f"not within {limit_s} s: {what}"
        await anyio.sleep(POLL_S)


def with_key(plan: AccountPlan = ACCOUNT, *more: tuple[str, str]) -> tuple[tuple[str, str], ...]:
    """Return the headers that authenticate a call as an account."""
    return (("Authorization", f"Bearer {plan.key}"), *more)


def read_code(answer: Answer) -> str:
    """Return the result code of an answer, or an empty string."""
    return answer.headers.get("wisteria-result", "")


def read_run_state(answer: Answer) -> str:
    """Return the run state of an answer, or an empty string."""
    return answer.headers.get("wisteria-run", "")


async def send_get(fleet: Fleet, vm_id: str, path: str, plan: AccountPlan = ACCOUNT) -> Answer:
    """Send a GET request through the daemon of a VM."""
    return await fleet.async_call(vm_id, Call("GET", path, with_key(plan)))


async def wait_served(fleet: Fleet, path: str, plan: AccountPlan = ACCOUNT) -> None:
    """Wait until every daemon serves calls of an account."""

    answers: list[tuple[str, str]] = []

    async def is_served() -> bool:
        answers.clear()
        for vm_id in fleet.daemons:
            answer = await send_get(fleet, vm_id, path, plan)
            answers.append((vm_id, read_code(answer) or answer.error))
        return {code for _, code in answers} == {"0"}

    try:
        await wait_for(is_served, f"{path} answered through every daemon")
    except AssertionError as error:
        raise AssertionError(f"{path} through every daemon: {answers}") from error


async def read_audit(fleet: Fleet, vm_id: str) -> str:
    """Return the audit trail of a daemon as text."""
    answer = await fleet.async_get(fleet.nodes[vm_id].operator_port, "/audit")
    return answer.body.decode()


async def post(port: int, path: str) -> Answer:
    """Send a POST request to a port on loopback over a new connection."""
    client = Client(port)
    try:
        return await client.async_call(Call("POST", path), 5_000)
    finally:
        client.close()


async def read_runs(fleet: Fleet, vm_id: str) -> dict[str, Any]:
    """Return the run counts of a backend server; wait for it if it is restarting."""
    end = time.monotonic() + WAIT_S
    while True:
        try:
            return await fleet.async_runs(vm_id)
        except FleetError:
            assert time.monotonic() < end
            await anyio.sleep(POLL_S)


async def sum_runs(fleet: Fleet, field: str) -> int:
    """Return one run count summed over all backend servers."""
    return sum([(await read_runs(fleet, vm_id))[field] for vm_id in fleet.nodes])


# calls that must not run twice


@attrs.frozen
class Attempt:
    """One attempt of a caller to send an order."""

    request_id: str
    answer: Answer


@attrs.define
class OrderClient:
    """A caller that sends orders and checks each stated run state against the actual runs.

    Parameters
    ----------
    fleet : Fleet
        Fleet in which the route ``POST /orders`` belongs to the service ``orders``.
    """

    fleet: Fleet
    attempts: list[Attempt] = attrs.field(factory=list)
    _sent: int = 0

    def find_owner(self, key: str) -> str:
        """Return the VM that owns a key while all VMs of the service are live."""
        slot = slot_for("orders", RunKey(ACCOUNT.name, "order", key))
        vms = [vm_id for vm_id, node in self.fleet.nodes.items() if node.vm.service == "orders"]
        return rank_by_rendezvous(ledger_slot("orders", slot.index).key, vms)[0]

    def make_key(self, owner: str) -> str:
        """Return a new key that is owned by a VM."""
        while True:
            key = make_uuid7()
            if self.find_owner(key) == owner:
                return key

    async def send(self, vm_id: str, key: str, body: bytes = b"{}") -> Answer:
        """Send an order once; if the answer says "not run", the attempt must not have run."""
        self._sent += 1
        request_id = f"order-{self._sent}-{key}"
        headers = with_key(ACCOUNT, ("Idempotency-Key", key), ("Wisteria-Request-Id", request_id))
        answer = await self.fleet.async_call(vm_id, Call("POST", "/orders", headers, body))
        self.attempts.append(Attempt(request_id, answer))
        if read_run_state(answer) == NOT_RUN:
            assert await self.count_request(request_id) == 0
        return answer

    async def retry_until_final(self, vm_ids: list[str], key: str) -> Answer:
        """Send an order through the daemons in turn until its outcome is known."""
        end = time.monotonic() + WAIT_S
        number = 0
        while True:
            answer = await self.send(vm_ids[number % len(vm_ids)], key)
            if read_code(answer) in FINAL_CODES:
                return answer
            assert time.monotonic() < end, f"no outcome: {answer}"
            number += 1
            await anyio.sleep(POLL_S * 2)

    async def wait_owners_ready(self, entry: str, vm_ids: list[str]) -> None:
        """Wait until orders run on every VM that may own one."""

        async def runs_on_each() -> bool:
            answers: list[Answer] = []

            async def send_one(vm_id: str) -> None:
                answers.append(await self.send(entry, self.make_key(vm_id)))

            async with anyio.create_task_group() as tasks:
                for vm_id in vm_ids:
                    tasks.start_soon(send_one, vm_id)
            return all(answer.status == 200 for answer in answers)

        await wait_for(runs_on_each, f"orders run on {vm_ids}")

    async def wait_sent(self, key: str) -> None:
        """Wait until a backend server has started to run an order."""

        async def is_sent() -> bool:
            return await self.count(key) > 0

        await wait_for(is_sent, "the order has reached a backend server", 8.0)

    async def count(self, key: str) -> int:
        """Return the number of runs of a key on all backend servers."""
        return sum(
            [counts.get(f"{ACCOUNT.name}/{key}", 0) for counts in await self._read("by_key")]
        )

    async def count_request(self, request_id: str) -> int:
        """Return the number of runs of one attempt on all backend servers."""
        return sum([counts.get(request_id, 0) for counts in await self._read("by_request")])

    async def _read(self, field: str) -> list[dict[str, int]]:
        return [(await read_runs(self.fleet, vm_id))[field] for vm_id in self.fleet.nodes]

    async def check(self) -> None:
        """Check that no key ran twice and that no attempt answered "not run" has run since."""
        runs: dict[str, int] = {}
        for counts in await self._read("by_key"):
            for key, number in counts.items():
                runs[key] = runs.get(key, 0) + number
        assert max(runs.values(), default=0) <= 1
        for attempt in self.attempts:
            if read_run_state(attempt.answer) == NOT_RUN:
                assert await self.count_request(attempt.request_id) == 0, attempt


def make_spec(
    services: tuple[ServiceSpec, ...],
    routes: tuple[RoutePlan, ...],
    accounts: tuple[AccountPlan, ...] = (ACCOUNT,),
    **more: Any,
) -> FleetSpec:
    """Return the specification of a fleet in two failure domains."""
    return FleetSpec(services, make_document(1, accounts, routes), DOMAINS, **more)


def constant(ms: float, **more: Any) -> Behaviour:
    """Return the behaviour of a backend server with a constant service time."""
    rule = Rule(service=ServiceTime("constant", ms))
    return Behaviour(key_marker=KEY_MARKER, rules=(rule,), **more)
