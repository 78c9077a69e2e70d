"""Calls through entry and serving daemons in the platform's dialect."""

import anyio
import pytest

from .standins import Reply, Request
from .support import WAIT_S, Mesh, make_config, make_route, wait_until

pytestmark = pytest.mark.anyio


async def test_a_call_reaches_a_backend_server_of_another_vm(mesh: Mesh) -> None:
    mesh.publish(make_config())
    entry = await mesh.add_node(registers=False)
    serving = await mesh.add_node()
    await wait_until(lambda: entry.daemon.is_ready() and len(entry.daemon.vm_list or ()) == 1)
    found = await mesh.call(
        entry,
        "/yields/7?from=1",
        wisteriaproxy_attempt_id="one",
        wisteriaproxy_tenant="other",
        wisteriaproxy_caller_service="other",
    )
    assert (found.status, found.body) == (200, b"yield")
    assert found.headers["wisteriaproxy-response-signature"] == "s.1"
    (ran,) = serving.upstream.ran
    assert ran.target == "/yields/7?from=1"
    assert ran.headers["host"] == "yields.example"
    assert ran.headers["wisteriaproxy-attempt-id"] == "one"
    assert ran.headers["wisteriaproxy-tenant"] == "co-op"
    assert ran.headers["wisteriaproxy-caller-service"] == "yield"
    assert ran.headers["wisteriaproxy-target-instance"] == serving.upstream.instance
    assert 0 < int(ran.headers["wisteriaproxy-timeout-ms"]) <= 600
    assert "authorization" not in ran.headers


async def test_a_daemon_without_configuration_serves_what_another_has_checked(mesh: Mesh) -> None:
    """The entry daemon has checked the call; the serving daemon needs no configuration for it.

    Under load, the serving daemon of a new VM refused its first call.
    """
    mesh.publish(make_config())
    entry = await mesh.add_node(registers=False)
    await wait_until(lambda: entry.daemon.published is not None)
    mesh.store.intercept = lambda request: Reply(503) if "op%2F" in request.target else None
    serving = await mesh.add_node()
    serving.daemon.exchange.update_document = lambda published, origin: None
    await wait_until(lambda: entry.daemon.is_ready() and len(entry.daemon.vm_list or ()) == 1)
    assert serving.daemon.published is None
    assert (await mesh.call(entry, "/yields/1")).status == 200


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/none/1", {}, 404),
        ("/yields", {}, 404),
        ("/%79ields/1", {}, 404),
        ("/yields/%79", {}, 200),
        ("/yields/1", {"host": "other.example"}, 404),
        ("/yields/1", {"authorization": "Bearer wrong-wrong-wrong"}, 401),
        ("/yields/1", {"authorization": ""}, 401),
        ("/yields/1", {"wisteriaproxy_attempt_id": ""}, 400),
        ("/parts/1", {"authorization": ""}, 200),
    ],
)
async def test_status_by_path_host_and_key(
    mesh: Mesh, path: str, headers: dict[str, str], status: int
) -> None:
    mesh.publish(make_config())
    (node,) = await mesh.add_ready(1)
    assert (await mesh.call(node, path, **headers)).status == status


async def test_a_daemon_without_configuration_answers_503_with_retry_after(mesh: Mesh) -> None:
    node = await mesh.add_node()
    await wait_until(lambda: node.daemon.vm_list is not None)
    found = await mesh.call(node, "/none/1")
    assert found.status == 503
    assert float(found.headers["retry-after"]) > 0
    assert not node.daemon.is_ready()


NOT_RUN = {"Wisteriaproxy-Not-Executed": "1"}
UNSIGNED = {"Wisteriaproxy-Attempt-Id": "one"}


def _make_faulty_reply(kind: str, request: Request, signed: Reply) -> Reply:
    match kind:
        case "refused":
            return Reply(503, NOT_RUN)
        case "unsigned":
            return Reply(200, UNSIGNED, b"other")
        case "of another":
            signed.headers["Wisteriaproxy-Attempt-Id"] = "two"
        case "encoded":
            signed.headers["Content-Encoding"] = "gzip"
        case "cut":
            return Reply(raw=signed.encode()[:-2], closes=True)
        case "reset":
            return Reply(resets=True)
        case "no answer":
            return Reply(raw=b"\x16\x03\x01 not http\r\n\r\n", closes=True)
        case "failed":
            signed.status = 500
    return signed


KINDS = ["refused", "unsigned", "of another", "encoded", "cut", "reset", "no answer", "failed"]


@pytest.mark.parametrize("kind", KINDS)
async def test_a_repeatable_call_is_tried_elsewhere(mesh: Mesh, kind: str) -> None:
    mesh.publish(make_config())
    nodes = await mesh.add_ready(2)
    sent: list[str] = []

    def install_fault(index: int) -> None:
        upstream = nodes[index].upstream

        async def answer(request: Request) -> Reply | None:
            sent.append(upstream.instance)
            first = len(sent) == 1
            return _make_faulty_reply(kind, request, upstream.sign(request)) if first else None

        upstream.answer = answer

    install_fault(0)
    install_fault(1)
    found = await mesh.call(nodes[0], "/yields/1", wisteriaproxy_attempt_id="one")
    assert (found.status, found.body) == (200, b"yield")
    assert len(set(sent)) == 2


@pytest.mark.parametrize("kind", KINDS)
async def test_an_unrepeatable_call_is_tried_again_only_when_it_did_not_run(
    mesh: Mesh, kind: str
) -> None:
    mesh.publish(make_config())
    nodes = await mesh.add_ready(2)
    sent: list[str] = []

    def install_fault(index: int) -> None:
        upstream = nodes[index].upstream

        async def answer(request: Request) -> Reply | None:
            sent.append(upstream.instance)
            return _make_faulty_reply(kind, request, upstream.sign(request))

        upstream.answer = answer

    install_fault(0)
    install_fault(1)
    found = await mesh.call(nodes[0], "/orders/1", "POST", wisteriaproxy_attempt_id="one")
    if kind == "refused":
        assert len(sent) == 2
        assert found.status == 503
    else:
        assert len(sent) == 1
        assert found.status == (500 if kind == "failed" else 502)


async def test_the_time_out_of_a_route_ends_a_call_and_its_run(mesh: Mesh) -> None:
    mesh.publish(make_config())
    (node,) = await mesh.add_ready(1)

    async def answer(_request: Request) -> Reply | None:
        await anyio.sleep_forever()
        return None

    node.upstream.answer = answer
    found = await mesh.call(node, "/yields/1", timeout_ms=5_000)
    assert found.status == 504
    await wait_until(lambda: node.upstream.http.cancelled == 1)


async def test_a_client_that_disconnects_ends_the_run_on_another_vm(mesh: Mesh) -> None:
    mesh.publish(make_config(routes=[make_route("y", "/yields/", "idempotent") | {"timeout_s": 9}]))
    entry = await mesh.add_node(registers=False)
    serving = await mesh.add_node()
    await wait_until(lambda: entry.daemon.is_ready() and len(entry.daemon.vm_list or ()) == 1)
    started = anyio.Event()

    async def answer(_request: Request) -> Reply | None:
        started.set()
        await anyio.sleep_forever()
        return None

    serving.upstream.answer = answer
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(mesh.call, entry, "/yields/1")
        with anyio.fail_after(WAIT_S):
            await started.wait()
        tasks.cancel_scope.cancel()
    await wait_until(lambda: serving.upstream.http.cancelled == 1)


async def test_an_answer_without_length_is_whole_only_when_its_connection_is_closed(
    mesh: Mesh,
) -> None:
    mesh.publish(make_config())
    (node,) = await mesh.add_ready(1)
    upstream = node.upstream

    async def answer(request: Request) -> Reply | None:
        signed = upstream.sign(request)
        lines = [f"{name}: {value}" for name, value in signed.headers.items()]
        head = "\r\n".join(["HTTP/1.1 200 x", *lines, "", ""]).encode()
        return Reply(raw=head + b"to the end", closes=True)

    upstream.answer = answer
    found = await mesh.call(node, "/yields/1")
    assert (found.status, found.body) == (200, b"to the end") or found.body.endswith(b"0\r\n\r\n")


async def test_bytes_after_an_answer_are_discarded(mesh: Mesh) -> None:
    mesh.publish(make_config())
    (node,) = await mesh.add_ready(1)
    upstream = node.upstream

    async def answer(request: Request) -> Reply | None:
        signed = upstream.sign(request)
        return Reply(raw=signed.encode() + upstream.sign(request, body=b"extra").encode())

    upstream.answer = answer
    for _ in range(3):
        found = await mesh.call(node, "/yields/1")
        assert (found.status, found.body) == (200, b"yield")
    assert upstream.http.accepted == 3


async def test_a_body_as_long_as_the_configuration_allows_reaches_another_vm(mesh: Mesh) -> None:
    config = make_config()
    config["limits"]["max_body_bytes"] = 12_000_000
    mesh.publish(config)
    entry = await mesh.add_node(registers=False)
    serving = await mesh.add_node()
    await wait_until(lambda: entry.daemon.is_ready() and len(entry.daemon.vm_list or ()) == 1)
    body = bytes(range(250)) * 40_000
    found = await mesh.call(entry, "/orders/1", "POST", body=body)
    assert found.status == 200
    (ran,) = serving.upstream.ran
    assert ran.body == body


async def test_calls_are_divided_by_weight(mesh: Mesh) -> None:
    split = make_route("y", "/yields/", "idempotent")
    split["traffic_split"] = [
        {"service": "yield", "weight": 3},
        {"service": "none", "weight": 1},
    ]
    services = [
        {"name": name, "health_path": "/healthz", "max_connections": 40}
        for name in ("yield", "none")
    ]
    mesh.publish(make_config(routes=[split], services=services))
    (node,) = await mesh.add_ready(1)
    found = [(await mesh.call(node, "/yields/1")).status for _ in range(8)]
    assert found.count(200) == 6
    assert found.count(503) == 2
