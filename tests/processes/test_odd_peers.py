"""What a peer sends ends no daemon: cut, random and odd control messages and calls."""

import asyncio
import contextlib
import random

import attrs
import pytest

from wisteria_core import FailureDomain, Priority, Vm, VmId
from wisteria_wire import CallHead, Hello
from wisteria_wire.codec import encode_call, encode_hello
from wisteria_wire.const import PROTOCOL_VERSION
from wisteria_wire.frames import encode_frame
from wisteria_wire.models import FrameKind
from wisteriaproxy.control import KINDS, NUMBERS, encode_control
from wisteriaproxy.mesh.directory import EntryChanges
from wisteriaproxy.mesh.entries import ServerEntry, StorePosition
from wisteriaproxy.mesh.messages import (
    DomainNews,
    Evacuations,
    MemberReport,
    PublishedDocument,
    RelayNews,
    Subscription,
)
from wisteriaproxy.mesh.ranges import WHOLE_MAX

from .documents import make_route
from .support import (
    CONFIG_APPLY_S,
    PEERS,
    Fleet,
    Machine,
)

pytestmark = pytest.mark.anyio

SEED = 35
STRANGER = 50
"""Last number of the address that the odd peer has."""
POSITION = StorePosition(1, 7)
VM = Vm(VmId("10.0.0.1"), "10.0.0.1", 1, 2, FailureDomain("a"), "yield")
ENTRY = ServerEntry("i-1", VM, 5, POSITION, 3)
ODD_MESSAGES: list[object] = [
    Subscription(True, -5, -5, -5),
    Subscription(True, WHOLE_MAX, WHOLE_MAX, 0),
    MemberReport(-1, True),
    DomainNews(-1, -(2**62), ("", "\0"), ("x" * 10_000,)),
    RelayNews(-1, True, -5, 0),
    RelayNews(2, False, WHOLE_MAX, -7),
    PublishedDocument(WHOLE_MAX, b"\xff"),
    Evacuations(-3, -3, ("", "\0")),
    EntryChanges(
        False,
        POSITION,
        POSITION,
        tuple(
            attrs.evolve(ENTRY, name=host, vm=attrs.evolve(VM, vm_id=VmId(host), host=host))
            for host in ("", "a..b", "\0", "256.1.1.1", "x" * 300)
        ),
    ),
]
CALL = CallHead(
    request_id="r",
    route_id="no-such-route",
    service="order",
    method="GET",
    target="/orders/\x01",
    headers=("host", "x"),
    account="co-op",
    key_id="",
    priority=Priority.NORMAL,
    rank=0,
    remaining_ms=0,
    allowance=0,
    idempotency_key="",
    config_version=0,
)


def make_frames() -> list[bytes]:
    chance = random.Random(SEED)
    frames = []
    for message in ODD_MESSAGES:
        payload = encode_control(message)
        assert isinstance(payload, bytes)
        number = NUMBERS[type(message)]
        frames.append(encode_frame(FrameKind.CONTROL, number, payload))
        frames.append(encode_frame(FrameKind.CONTROL, number, payload[:-1]))
    for number in [*KINDS, 9_999]:
        data = chance.randbytes(chance.randrange(60))
        frames.append(encode_frame(FrameKind.CONTROL, number, data))
    for kind in FrameKind:
        frames.append(encode_frame(kind, 2**64 - 1, chance.randbytes(30)))
    frames.append(encode_frame(FrameKind.CALL, 7, encode_call(CALL)))
    frames.append(2 * encode_frame(FrameKind.CALL, 8, encode_call(CALL)))
    frames.append(chance.randbytes(200))
    return frames


async def send(fleet: Fleet, machine: Machine, frame: bytes) -> None:
    """Open a link as a peer, send a frame and close the link a little later."""
    own = fleet.host(STRANGER)
    hello = encode_frame(FrameKind.HELLO, 0, encode_hello(Hello(PROTOCOL_VERSION, VmId(own), 1)))
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(machine.host, PEERS, local_addr=(own, 0))
        writer.write(hello + frame)
        await writer.drain()
        await asyncio.sleep(0.1)
        writer.close()


async def test_odd_messages_of_a_peer_end_no_daemon(fleet: Fleet) -> None:
    """Guards against a message that raises in a link's callback, its handler or a later report."""
    fleet.publish()
    machines = await fleet.add([("yield", "a"), ("order", "a"), ("yield", "b")])
    for frame in make_frames():
        for machine in machines:
            await send(fleet, machine, frame)
    assert not {machine.name: machine.ends for machine in machines if machine.ends}
    fleet.publish(routes=[make_route("yields", "order", "idempotent")])
    await asyncio.sleep(CONFIG_APPLY_S)
    for machine in machines:
        assert (await fleet.call(machine, "/yields/1")).status == 200
    assert not {machine.name: machine.ends for machine in machines if machine.ends}
    for machine in machines:
        failed = ("task_failed", "daemon_failed", "control_message_failed")
        assert [event for event in failed if machine.count_events(event)] == []
        assert machine.count_events("control_message_refused")
