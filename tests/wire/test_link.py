"""Links between daemons: authentication, malformed frames, lost links, flow control, duplicates."""

import asyncio
import contextlib
import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import attrs
import pytest
import trustme

from wisteria_core import (
    Clock,
    FailureDomain,
    Refusal,
    ResultCode,
    RunState,
    Vm,
    VmId,
)
from wisteria_wire import AnswerHead, ByteBudget, CallHead, Link, LinkPool, PeerMaterial, ServedCall
from wisteria_wire.const import MAX_UNSENT_BYTES, WINDOW_BYTES
from wisteria_wire.frames import encode_frame
from wisteria_wire.link import CONGESTED
from wisteria_wire.models import FrameKind

from .link_handler import HEAD, Handler, start_peer

RunLoop = Callable[[Callable[[], Awaitable[None]]], None]
HOST = "127.0.0.1"


@attrs.define
class Fixture:
    """A certificate authority and the folder for its files."""

    folder: Path
    authority: trustme.CA = attrs.field(factory=trustme.CA)

    def write(self, name: str, authority: trustme.CA | None = None) -> PeerMaterial:
        """Issue a certificate for a VM and write its files."""
        issued = (authority or self.authority).issue_cert(HOST, name, common_name=name)
        material = PeerMaterial(
            self.folder / f"{name}.pem", self.folder / f"{name}.key", self.folder / "ca.pem"
        )
        issued.cert_chain_pems[0].write_to_path(material.certificate)
        issued.private_key_pem.write_to_path(material.key)
        self.authority.cert_pem.write_to_path(material.authority)
        return material

    async def start(self, name: str, handler: Handler) -> tuple[LinkPool, Vm]:
        """Return a listening pool and the VM entry under which others dial it."""
        pool = LinkPool(handler, VmId(name), 1, self.write(name), Clock())
        handler.pool = pool
        port = await pool.async_setup(HOST, 0)
        return pool, Vm(VmId(name), HOST, port, 0, FailureDomain("north"), "yields")


@pytest.fixture
def fixture(tmp_path: Path) -> Fixture:
    return Fixture(tmp_path)


async def open_link(fixture: Fixture, server: Handler) -> tuple[Link, LinkPool, LinkPool]:
    """Return an open link from the VM `a` to the VM `b`."""
    dialer, _ = await fixture.start("a", Handler())
    listener, vm = await fixture.start("b", server)
    link = await dialer.obtain(vm)
    assert isinstance(link, Link)
    return link, dialer, listener


async def read_all(reader: asyncio.StreamReader) -> bytes:
    """Read until the peer closes; return nothing if the handshake is rejected."""
    try:
        return await reader.read()
    except (ssl.SSLError, OSError):
        return b""


def test_a_call_gets_its_answer(fixture: Fixture, run_loop: RunLoop) -> None:
    async def body() -> None:
        server = Handler(lambda served, head: served.send_answer(AnswerHead(200, body=b"42")))
        link, dialer, listener = await open_link(fixture, server)
        call = link.send_call(HEAD)
        answer = await call.wait_answer()
        assert isinstance(answer, AnswerHead)
        assert await call.body.receive() == b"42"
        assert await call.body.receive() is None
        assert server.calls == [HEAD]
        await dialer.async_unload()
        await listener.async_unload()

    run_loop(body)


def test_answers_out_of_order_and_doubled_reach_only_their_call(
    fixture: Fixture, run_loop: RunLoop
) -> None:
    async def body() -> None:
        waiting: list[tuple[ServedCall, CallHead]] = []

        def answer(served: ServedCall, head: CallHead) -> None:
            waiting.append((served, head))
            if len(waiting) < 20:
                return
            for one, asked in reversed(waiting):
                one.send_answer(AnswerHead(200, body=asked.target.encode()))
                one.send_answer(AnswerHead(200, body=b"doubled"))

        link, dialer, listener = await open_link(fixture, Handler(answer))
        calls = [link.send_call(attrs.evolve(HEAD, target=f"/{n}")) for n in range(20)]
        for number, call in enumerate(calls):
            await call.wait_answer()
            assert await call.body.receive() == f"/{number}".encode()
            assert await call.body.receive() is None
        await dialer.async_unload()
        await listener.async_unload()

    run_loop(body)


def test_a_lost_link_leaves_the_outcome_unknown_and_then_says_not_run(
    fixture: Fixture, run_loop: RunLoop
) -> None:
    async def body() -> None:
        link, dialer, listener = await open_link(
            fixture, Handler(lambda served, head: served.link.close("test"))
        )
        lost = await link.send_call(HEAD).wait_answer()
        assert isinstance(lost, Refusal)
        assert lost.run_state is RunState.UNKNOWN
        refused = await link.send_call(HEAD).wait_answer()
        assert isinstance(refused, Refusal)
        assert refused.run_state is RunState.NOT_RUN
        await dialer.async_unload()
        await listener.async_unload()

    run_loop(body)


def test_a_body_that_ends_short_is_cut(fixture: Fixture, run_loop: RunLoop) -> None:
    async def body() -> None:
        def answer(served: ServedCall, head: CallHead) -> None:
            served.send_answer(AnswerHead(200, complete=False))
            served.link.send_frame(FrameKind.BODY, served.call_id, b"part")
            served.link.send_frame(FrameKind.BODY_END, served.call_id, (9).to_bytes(8, "big"))

        link, dialer, listener = await open_link(fixture, Handler(answer))
        call = link.send_call(HEAD)
        await call.wait_answer()
        assert await call.body.receive() == b"part"
        cut = await call.body.receive()
        assert isinstance(cut, Refusal)
        assert cut.code is ResultCode.ANSWER_TRUNCATED
        await dialer.async_unload()
        await listener.async_unload()

    run_loop(body)


def test_a_slow_reader_bounds_what_is_sent(fixture: Fixture, run_loop: RunLoop) -> None:
    async def body() -> None:
        sent = 0
        async with anyio.create_task_group() as tasks:

            async def stream(served: ServedCall) -> None:
                nonlocal sent
                served.send_answer(AnswerHead(200, complete=False))
                while await served.send_body(bytes(50_000)):
                    sent += 50_000

            server = Handler(lambda served, head: tasks.start_soon(stream, served))
            link, dialer, listener = await open_link(fixture, server)
            call = link.send_call(HEAD)
            await call.wait_answer()
            await anyio.sleep(0.1)
            assert sent <= WINDOW_BYTES + 50_000
            for _ in range(20):
                await call.body.receive()
            await anyio.sleep(0.1)
            assert sent > 20 * 50_000
            call.cancel()
        await dialer.async_unload()
        await listener.async_unload()

    run_loop(body)


def test_an_unauthenticated_peer_gets_no_link(fixture: Fixture, run_loop: RunLoop) -> None:
    """A peer must be rejected if it can't prove its VM id.

    Covers a peer without certificate, one with a certificate of another authority, and one
    that claims the id of another VM.
    """

    async def body() -> None:
        server = Handler()
        listener, vm = await fixture.start("b", server)
        other = trustme.CA()
        without_certificate = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        fixture.authority.configure_trust(without_certificate)
        foreign = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        fixture.authority.configure_trust(foreign)
        other.issue_cert(HOST, "a", common_name="a").configure_cert(foreign)
        for context in (without_certificate, foreign):
            reader, writer = await asyncio.open_connection(
                HOST, vm.peer_port, ssl=context, server_hostname=HOST
            )
            writer.write(encode_frame(FrameKind.HELLO, 0, b"junk"))
            assert await read_all(reader) == b""
            writer.close()
        impostor = Handler()
        impostor.pool = LinkPool(impostor, VmId("c"), 1, fixture.write("a"), Clock())
        link = await impostor.pool.obtain(vm)
        if isinstance(link, Link):
            # the server's hello can arrive before it rejects the link
            await link.closed.wait()
        assert server.calls == []
        assert listener.find(VmId("c")) is None
        assert listener.find(VmId("a")) is None
        await listener.async_unload()

    run_loop(body)


def test_a_garbled_frame_closes_the_link_and_leaves_the_daemon_unharmed(
    fixture: Fixture, run_loop: RunLoop
) -> None:
    async def body() -> None:
        server = Handler(lambda served, head: served.send_answer(AnswerHead(200)))
        link, dialer, listener = await open_link(fixture, server)
        link.send_frame(FrameKind.CALL, 7, b"\xff" * 64)
        await link.closed.wait()
        vm = Vm(VmId("b"), HOST, _port_of(listener), 0, FailureDomain("north"), "yields")
        again = await dialer.obtain(vm)
        assert isinstance(again, Link)
        assert isinstance(await again.send_call(HEAD).wait_answer(), AnswerHead)
        await dialer.async_unload()
        await listener.async_unload()

    run_loop(body)


def _port_of(pool: LinkPool) -> int:
    assert pool._server is not None
    return int(pool._server.sockets[0].getsockname()[1])


@pytest.mark.parametrize("answers", [True, False])
def test_only_peers_that_answer_probes_are_probed(
    fixture: Fixture, run_loop: RunLoop, answers: bool
) -> None:
    """Guards against links to daemons of earlier versions, which close on an unknown frame."""

    async def body() -> None:
        link, dialer, listener = await open_link(fixture, Handler())
        assert link.peer is not None
        link.peer = attrs.evolve(link.peer, answers_probes=answers)
        link.send_call(HEAD)
        before = link.sent_bytes
        for _ in range(2):
            link.check_liveness(1)
        assert (link.sent_bytes > before) is answers
        await dialer.async_unload()
        await listener.async_unload()

    run_loop(body)


def test_memory_of_calls_before_the_hello_is_released(fixture: Fixture, run_loop: RunLoop) -> None:
    """Guards against strangers that keep memory reserved until the daemon refuses every body."""

    async def body() -> None:
        budget = ByteBudget(1_000_000)
        pool = LinkPool(Handler(), VmId("127.0.0.1"), 1, None, Clock(), budget)
        port = await pool.async_setup("127.0.0.1", 0)
        frame = encode_frame(FrameKind.CALL, 1, bytes(200_000))
        for sent in (frame, frame + frame):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(sent)
            with contextlib.suppress(OSError):
                await reader.read()
            writer.close()
        assert budget.held_bytes == 0
        await pool.async_unload()

    run_loop(body)


def test_a_link_whose_peer_does_not_read_takes_no_more_calls(run_loop: RunLoop) -> None:
    """Guards against calls that have ended and whose bytes fill the memory of the daemon."""

    async def body() -> None:
        vm = start_peer("127.0.0.6")
        handler = Handler()
        handler.pool = pool = LinkPool(handler, VmId("127.0.0.2"), 1, None, Clock())
        link = await pool.obtain(vm)
        assert isinstance(link, Link)
        head = attrs.evolve(HEAD, body=bytes(1_000_000))
        answers = []
        for _ in range(40):
            call = link.send_call(head)
            answers.append(call._answer)
            call.cancel()
        assert answers[0] is None
        assert answers[-1] is CONGESTED
        assert sum(answer is None for answer in answers) <= MAX_UNSENT_BYTES / 1_000_000 + 10
        link.close("done")
        await pool.async_unload()

    run_loop(body)
