"""A configuration is in force on all daemons or none, and is never replaced by an older one."""

import json
from collections.abc import AsyncIterator

import anyio
import attrs
import pytest
from script.tools.documents import AccountPlan, RoutePlan, make_document

from wisteria_standins.fleet import Fleet
from wisteria_standins.fleet_spec import FleetSpec, ServiceSpec

from .support import ACCOUNT, DOMAINS, constant, read_audit, send_get, wait_for, wait_served

pytestmark = pytest.mark.anyio

ROUTES = (RoutePlan("probe", "work", "/probe"),)
LIMIT_S = 10.0
OUTAGE_S = 3.0


@attrs.define
class Operator:
    """Publishes documents and checks which versions the daemons have in force."""

    fleet: Fleet
    version: int = 1
    highest: dict[str, int] = attrs.field(factory=dict)

    def make(self, version: int, more: str = "") -> bytes:
        """Return a valid document, with an additional account if `more` is given."""
        extra = (AccountPlan(more, f"wk_faults_{more}"),) if more else ()
        return make_document(version, (ACCOUNT, *extra), ROUTES, domains=DOMAINS)

    async def read(self) -> list[dict[str, object]]:
        """Return the status of every daemon; fail if a daemon has gone back to an older version."""
        statuses = [await self.fleet.async_status(vm_id) for vm_id in self.fleet.daemons]
        for status in statuses:
            name, version = status["vm"], status["version"] or 0
            assert version >= self.highest.get(name, 0), f"{name} went back to an older version"
            self.highest[name] = version
        return statuses

    async def wait_agreed(self, version: int) -> None:
        """Wait until all daemons have the same document of a version in force."""

        async def is_agreed() -> bool:
            statuses = await self.read()
            versions = {status["version"] for status in statuses}
            return versions == {version} and len({status["digest"] for status in statuses}) == 1

        await wait_for(is_agreed, f"version {version} in force everywhere", LIMIT_S)


@pytest.fixture(scope="module")
async def operator() -> AsyncIterator[Operator]:
    services = (ServiceSpec("work", 3, constant(1.0)), ServiceSpec("gate", 2, constant(1.0)))
    document = make_document(1, (ACCOUNT,), ROUTES, domains=DOMAINS)
    async with Fleet(FleetSpec(services, document, DOMAINS)) as fleet:
        await wait_served(fleet, "/probe")
        yield Operator(fleet)


async def test_invalid_document_leaves_the_old_one_in_force_and_shows(operator: Operator) -> None:
    fleet = operator.fleet
    operator.version += 1
    broken = json.loads(operator.make(operator.version))
    broken["keys"][0]["account"] = "nobody"
    await fleet.async_put_document(json.dumps(broken).encode())

    async def is_shown() -> bool:
        trails = [await read_audit(fleet, vm_id) for vm_id in fleet.daemons]
        return any("nobody" in trail and "refused" in trail for trail in trails)

    await wait_for(is_shown, "the refusal in an audit trail", LIMIT_S)
    assert {status["version"] for status in await operator.read()} == {operator.version - 1}
    for vm_id in fleet.daemons:
        assert (await send_get(fleet, vm_id, "/probe")).status == 200
    operator.version += 1
    await fleet.async_put_document(operator.make(operator.version))
    await operator.wait_agreed(operator.version)


async def test_racing_edits_of_one_version_end_in_one_document(operator: Operator) -> None:
    fleet = operator.fleet
    operator.version += 1
    async with anyio.create_task_group() as tasks:
        for name in ("first", "second"):
            raw = operator.make(operator.version, name)
            tasks.start_soon(fleet.async_put_document, raw)
    await operator.wait_agreed(operator.version)
    operator.version += 1
    await fleet.async_put_document(operator.make(operator.version))
    await operator.wait_agreed(operator.version)


async def test_last_version_stays_in_force_while_the_service_is_down(operator: Operator) -> None:
    fleet = operator.fleet
    await fleet.async_set_fault(resource="config", down=True)
    await anyio.sleep(OUTAGE_S)
    early = [int(str(status["age_ms"])) for status in await operator.read()]
    await anyio.sleep(OUTAGE_S)
    statuses = await operator.read()
    late = [int(str(status["age_ms"])) for status in statuses]
    assert {status["version"] for status in statuses} == {operator.version}
    assert all(new > old > 0 for old, new in zip(early, late, strict=True))
    for vm_id in fleet.daemons:
        assert (await send_get(fleet, vm_id, "/probe")).status == 200
    await fleet.async_set_fault(resource="config")
    operator.version += 1
    await fleet.async_put_document(operator.make(operator.version))
    await operator.wait_agreed(operator.version)


async def test_older_document_never_comes_back(operator: Operator) -> None:
    fleet = operator.fleet
    operator.version += 1
    await fleet.async_put_document(operator.make(operator.version))
    await operator.wait_agreed(operator.version)
    await fleet.async_put_document(operator.make(operator.version - 1, "older"))
    await fleet.async_set_fault(["work-1", "gate-1"], resource="config", stale=2)
    await fleet.async_kill("work-1")
    await fleet.daemons["work-1"].async_start()
    operator.highest["work-1"] = operator.version - 1

    async def is_back() -> bool:
        return (await send_get(fleet, "work-1", "/probe")).status == 200

    await wait_for(is_back, "the restarted daemon serves")
    for _ in range(20):
        assert {status["version"] for status in await operator.read()} == {operator.version}
        await anyio.sleep(0.1)
    await fleet.async_set_fault(["work-1", "gate-1"], resource="config")
    operator.version += 1
    await fleet.async_put_document(operator.make(operator.version))
    await operator.wait_agreed(operator.version)
