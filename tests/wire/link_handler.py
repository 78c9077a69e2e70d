"""Handler of links that records what it is told, and the head of a call."""

import socket
import threading
from collections.abc import Callable

import attrs

from wisteria_core import (
    FailureDomain,
    Priority,
    Vm,
    VmId,
)
from wisteria_wire import CallHead, Link, LinkPool, ServedCall
from wisteria_wire.codec import encode_hello
from wisteria_wire.const import PROTOCOL_VERSION
from wisteria_wire.frames import encode_frame
from wisteria_wire.models import FrameKind, Hello

HEAD = CallHead(
    "r1", "", "yields", "GET", "/", (), "co-op", "", Priority.NORMAL, 0, 1_000, 0, "", 1
)


@attrs.define(eq=False)
class Handler:
    """Records calls and closed links, and serves calls with `answer`."""

    answer: Callable[[ServedCall, CallHead], None] = lambda served, head: None
    pool: LinkPool | None = None
    closed: list[str] = attrs.field(factory=list)
    calls: list[CallHead] = attrs.field(factory=list)

    def handle_link_open(self, link: Link) -> bool:
        assert self.pool is not None
        self.pool.add(link)
        return True

    def handle_call(self, served: ServedCall, head: CallHead) -> None:
        self.calls.append(head)
        self.answer(served, head)

    def handle_control(self, link: Link, kind: int, payload: bytes) -> None:
        return None

    def handle_link_closed(self, link: Link, reason: str) -> None:
        self.closed.append(reason)


def start_peer(vm_id: str) -> Vm:
    """Start a daemon that says hello at once and then does nothing; return its VM."""
    listener = socket.create_server((vm_id, 0))
    hello = encode_frame(FrameKind.HELLO, 0, encode_hello(Hello(PROTOCOL_VERSION, vm_id, 1)))

    def serve() -> None:
        while True:
            connection, _ = listener.accept()
            connection.sendall(hello)
            threading.Thread(target=connection.recv, args=(1 << 16, socket.MSG_WAITALL)).start()

    threading.Thread(target=serve, daemon=True).start()
    domain = FailureDomain("north")
    return Vm(VmId(vm_id), vm_id, listener.getsockname()[1], 0, domain, "yields")
