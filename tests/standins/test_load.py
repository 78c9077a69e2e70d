import random
import xml.etree.ElementTree as ElementTree
from collections.abc import Awaitable, Callable

import attrs
import pytest

from wisteria_standins import (
    Backend,
    Behaviour,
    Client,
    ClosedLoop,
    Flow,
    LoadSpec,
    OpenLoop,
    Phase,
    RetryPolicy,
    Rule,
    ServiceTime,
    Target,
    async_run_load,
    compute_digest,
    list_goodput,
    render_svg,
    render_table,
)
from wisteria_standins.passthrough import Passthrough, PassthroughSpec, Upstream

StartBackend = Callable[..., Awaitable[tuple[Backend, Client]]]
INSTANT = Rule(service=ServiceTime("constant", 0))


def test_arrivals_are_seeded_and_keep_the_rate() -> None:
    loop = OpenLoop((Phase(10, 100, "calm"), Phase(10, 400, "surge"), Phase(1, 0, "quiet")))
    first = list(loop.draw_arrivals(random.Random(3)))
    assert first == list(loop.draw_arrivals(random.Random(3)))
    assert [at for at, _ in first] == sorted(at for at, _ in first)
    surge = [at for at, phase in first if phase == "surge"]
    assert min(surge) >= 10
    assert max(surge) < 20
    assert 3_700 < len(surge) < 4_300
    constant = OpenLoop((Phase(2, 10),), "constant").draw_arrivals(random.Random(1))
    assert len(list(constant)) == 19


def test_load_goes_to_loopback_only() -> None:
    with pytest.raises(ValueError, match="loopback"):
        Target(80, "192.0.2.1")


@pytest.mark.anyio
async def test_open_loop_sorts_outcomes_by_account(start_backend: StartBackend) -> None:
    size = 20_000
    sized = Rule("/sized", ServiceTime("constant", 0), answer_bytes=size)
    backend, client = await start_backend(Behaviour(rules=(INSTANT, sized)))
    digest = compute_digest(backend.behaviour.content_seed, size)
    whole = Flow("whole", "/sized", account="a", expected_bytes=size, expected_digest=digest)
    flows = (
        whole,
        attrs.evolve(whole, name="wrong", account="b", expected_digest="00"),
        Flow("own", "/x/{n}", account="a", echo=True, with_idempotency_key=True),
        Flow("mixed-up", "/x?echo=fixed", account="c", echo=True),
    )
    loop = OpenLoop((Phase(0.5, 400),))
    results = await async_run_load(LoadSpec((Target(client.port),), flows, loop))
    plain = results.describe()
    assert set(plain["by_flow"]["whole"]["kinds"]) == {"ok"}
    assert set(plain["by_flow"]["own"]["kinds"]) == {"ok"}
    assert set(plain["by_account"]["b"]["kinds"]) == {"wrong"}
    assert set(plain["by_account"]["c"]["kinds"]) == {"ok"}
    assert plain["total"]["offered"] == backend.runs.started
    assert set(backend.runs.by_key.values()) == {1}
    assert "account b" in render_table(results)
    assert sum(list_goodput(results, 0.5)) > 0


@pytest.mark.anyio
async def test_retries_are_counted_and_bounded(start_backend: StartBackend) -> None:
    backend, client = await start_backend(Behaviour(failure_rate=1.0, rules=(INSTANT,)))
    flow = Flow("x", "/x", retry=RetryPolicy(attempts=4))
    spec = LoadSpec((Target(client.port),), (flow,), ClosedLoop(2, 0.1))
    results = await async_run_load(spec)
    assert results.total.attempts == 4 * results.total.offered == backend.runs.started
    assert backend.runs.describe(False)["max_runs_by_request"] == 1


@pytest.mark.anyio
async def test_client_gives_up_at_its_deadline(start_backend: StartBackend) -> None:
    slow = Rule(service=ServiceTime("constant", 60_000))
    _, client = await start_backend(Behaviour(rules=(slow,)))
    flow = Flow("x", "/x", deadline_ms=50, retry=RetryPolicy(attempts=9))
    spec = LoadSpec((Target(client.port),), (flow,), OpenLoop((Phase(0.1, 50),), "constant"))
    results = await async_run_load(spec)
    assert set(results.total.kinds) == {"timeout"}
    assert results.total.attempts == results.total.offered


@pytest.mark.anyio
async def test_baseline_multiplies_attempts(start_backend: StartBackend) -> None:
    backend, client = await start_backend(Behaviour(failure_rate=1.0, rules=(INSTANT,)))
    inner = Passthrough(PassthroughSpec((Upstream("/", (client.port,)),), attempts=3))
    outer = Passthrough(PassthroughSpec((Upstream("/", (await inner.async_start(),)),), attempts=3))
    spec = LoadSpec(
        (Target(await outer.async_start()),),
        (Flow("x", "/x"),),
        OpenLoop((Phase(0.1, 100),), "constant"),
    )
    results = await async_run_load(spec)
    assert backend.runs.started == 9 * results.total.offered
    await outer.async_stop()
    await inner.async_stop()


def test_plot_is_well_formed() -> None:
    plot = render_svg("<goodput>", {"on": [0, 2, 4], "off & on": [1.5]}, 0.5, "calls/s")
    assert len(ElementTree.fromstring(plot)) > 4
    assert ElementTree.fromstring(render_svg("", {}, 1, "")).tag.endswith("svg")
