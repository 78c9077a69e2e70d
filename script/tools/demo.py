"""Demo: a chain of two services on loopback, and the result of each kind of call."""

import json
import sys
import time
import uuid
from typing import Annotated

import anyio
import attrs
import typer
from rich.console import Console
from rich.table import Table
from script.tools.documents import AccountPlan, RoutePlan, make_document

from wisteria_ledger import LedgerConfig
from wisteria_standins.behaviour import Behaviour, ChildCall, Rule, ServiceTime
from wisteria_standins.client import Answer, Call
from wisteria_standins.fleet import Fleet
from wisteria_standins.fleet_spec import FleetSpec, ServiceSpec

READER = AccountPlan("dairy-co-op", "demo-key-dairy-co-op", rate_per_s=200, burst=200)
LOW_RATE = AccountPlan("sharemilker", "demo-key-sharemilker", rate_per_s=5, burst=5)
WITHDRAWN = AccountPlan("contractor", "demo-key-contractor")
ACCOUNTS = (READER, LOW_RATE, WITHDRAWN)
ROUTES = (
    RoutePlan("stall-status", "stalls", "/stalls"),
    RoutePlan("yield-lookup", "yields", "/yields"),
    RoutePlan("refill-order", "stalls", "/orders", method="POST", repeatable=False),
)
SETTLE_LIMIT_S = 15.0
WITHDRAWAL_LIMIT_S = 5.0
BURST_CALLS = 60
POLL_S = 0.1
# an empty ledger answers "unknown" for keys with a timestamp up to this long after its start
KEY_TIMESTAMP_MARGIN_S = LedgerConfig().key_timestamp_margin_ms / 1_000 + 1.0


@attrs.frozen
class Step:
    """One step of the demo: the action, its result, and whether the result is as expected."""

    action: str
    result: str
    holds: bool


def make_uuid7() -> str:
    """The first 48 bits of a UUIDv7 are the Unix time in milliseconds."""
    value = uuid.uuid4().int & ((1 << 74) - 1)
    value |= (time.time_ns() // 1_000_000) << 80
    value |= 7 << 76
    value = (value & ~(3 << 62)) | (2 << 62)
    return str(uuid.UUID(int=value))


def make_spec() -> FleetSpec:
    """Return two services of two VMs in two failure domains."""
    front = Rule(prefix="/stalls", children=(ChildCall("/yields/7"),))
    quick = ServiceTime("constant", 2.0)
    services = (
        ServiceSpec("stalls", 2, Behaviour(rules=(front, Rule(service=quick)))),
        ServiceSpec("yields", 2, Behaviour(rules=(Rule(service=quick),))),
    )
    return FleetSpec(services, make_document(1, ACCOUNTS, ROUTES), ("north", "south"))


def describe(answer: Answer) -> str:
    """Return status, result code and run state."""
    code = answer.headers.get("wisteria-result", "-")
    run = answer.headers.get("wisteria-run", "-")
    after = answer.headers.get("retry-after")
    text = f"{answer.status}, code {code}, {run}"
    return f"{text}, Retry-After {after} s" if after else text


def with_key(account: AccountPlan, *extra_headers: tuple[str, str]) -> tuple[tuple[str, str], ...]:
    """Return the headers of a call with the account's key."""
    return (("Authorization", f"Bearer {account.key}"), *extra_headers)


async def wait_settled(fleet: Fleet) -> Step:
    """Wait until the rate slots have owners, so that calls are admitted."""
    started = time.monotonic()
    answer = Answer()
    while answer.status != 200 and time.monotonic() - started < SETTLE_LIMIT_S:
        answer = await fleet.async_call("stalls-1", Call("GET", "/stalls/1", with_key(READER)))
        await anyio.sleep(POLL_S)
    seconds = time.monotonic() - started
    await anyio.sleep(KEY_TIMESTAMP_MARGIN_S)
    return Step("fleet starts cold", f"first answer after {seconds:.1f} s", answer.status == 200)


async def show_read(fleet: Fleet) -> Step:
    """Send a read that calls both services."""
    answer = await fleet.async_call("stalls-1", Call("GET", "/stalls/4", with_key(READER)))
    children = json.loads(answer.body).get("children", []) if answer.status == 200 else []
    text = f"{describe(answer)}, child call answered by {[one['by'] for one in children]}"
    return Step("read through two services", text, answer.status == 200 and len(children) == 1)


async def show_order(fleet: Fleet) -> list[Step]:
    """Send one order twice, through two daemons, and count its runs."""
    key = make_uuid7()
    headers = with_key(READER, ("Idempotency-Key", key))
    call = Call("POST", "/orders", headers, b'{"dip": 20}')
    first = await fleet.async_call("stalls-1", call)
    second = await fleet.async_call("yields-2", call)
    other = Call("POST", "/orders", headers, b'{"dip": 99}')
    third = await fleet.async_call("stalls-2", other)
    runs = 0
    for vm_id in ("stalls-1", "stalls-2"):
        counts = await fleet.async_runs(vm_id)
        runs += sum(n for name, n in counts["by_key"].items() if name.endswith(key))
    same = first.status == 200 and first.body == second.body
    return [
        Step("order", describe(first), first.status == 200),
        Step("same order again, elsewhere", f"{describe(second)}, runs {runs}", same and runs == 1),
        Step("same key, other body", describe(third), third.status == 422),
    ]


async def show_over_rate(fleet: Fleet) -> Step:
    """Exceed the burst of an account at once."""
    answers: list[Answer] = []

    async def send_call(number: int) -> None:
        call = Call("GET", f"/yields/{number}", with_key(LOW_RATE))
        answers.append(await fleet.async_call("yields-1", call))

    async with anyio.create_task_group() as tasks:
        for number in range(BURST_CALLS):
            tasks.start_soon(send_call, number)
    refused = [one for one in answers if one.headers.get("wisteria-result") == "210"]
    admitted = sum(one.status == 200 for one in answers)
    holds = bool(refused) and all(
        one.headers["wisteria-run"] == "not-run" and "retry-after" in one.headers for one in refused
    )
    text = f"{admitted} of {BURST_CALLS} answered"
    return Step(
        "account over its rate", f"{text}; {describe(refused[0])}" if refused else text, holds
    )


async def show_withdrawal(fleet: Fleet) -> Step:
    """Withdraw a key and keep calling over the same connection."""
    client = fleet.client(fleet.nodes["stalls-2"].vm.caller_port)
    call = Call("GET", "/yields/1", with_key(WITHDRAWN))
    before = await client.async_call(call, 2_000)
    opened = client.opened
    await fleet.async_put_document(make_document(2, ACCOUNTS, ROUTES, frozenset({WITHDRAWN.name})))
    started = time.monotonic()
    answer = before
    while answer.status == 200 and time.monotonic() - started < WITHDRAWAL_LIMIT_S:
        await anyio.sleep(POLL_S)
        answer = await client.async_call(call, 2_000)
    seconds = time.monotonic() - started
    text = f"{describe(before)} before; {describe(answer)} after {seconds:.1f} s"
    holds = before.status == 200 and answer.status == 401 and client.opened == opened
    return Step("withdrawn key, connection kept", text, holds)


async def show_stop(fleet: Fleet) -> Step:
    """Stop a daemon gracefully."""
    status = await fleet.async_stop_daemon("yields-2")
    return Step("planned stop of a daemon", f"exit status {status}", status == 0)


async def run_demo() -> list[Step]:
    async with Fleet(make_spec()) as fleet:
        steps = [await wait_settled(fleet), await show_read(fleet)]
        steps += await show_order(fleet)
        steps.append(await show_over_rate(fleet))
        steps.append(await show_withdrawal(fleet))
        steps.append(await show_stop(fleet))
        statuses = await fleet.async_stop()
    daemons = [status for name, status in statuses.items() if name in fleet.nodes]
    steps.append(Step("the others stop", f"exit statuses {daemons}", set(daemons) == {0}))
    return steps


def main(
    as_json: Annotated[bool, typer.Option("--json", help="Print the steps as JSON.")] = False,
) -> None:
    """Run the demo on loopback; exit status 0 if the result of every step is as expected."""
    steps = anyio.run(run_demo)
    if as_json:
        print(json.dumps([attrs.asdict(step) for step in steps]))
    else:
        table = Table("action", "result", "holds")
        for step in steps:
            table.add_row(step.action, step.result, "yes" if step.holds else "NO")
        Console(width=150).print(table)
    sys.exit(0 if all(step.holds for step in steps) else 1)


if __name__ == "__main__":
    typer.run(main)
