"""Authenticated TCP link between two daemons, multiplexed by call id."""

import asyncio
import logging
from typing import Protocol, cast

import attrs

from wisteria_core import Refusal, ResultCode, RunState, VmId, http_status

from .budget import ByteBudget
from .codec import (
    decode_answer,
    decode_call,
    decode_hello,
    encode_answer,
    encode_call,
    encode_hello,
    encode_long_call,
)
from .const import (
    FRAME_HEADER_BYTES,
    MAX_UNSENT_BYTES,
    PROTOCOL_VERSION,
    RESERVED_FRAME_BYTES,
)
from .frames import FrameReader, encode_frame, encode_frame_header
from .link_calls import BYTE_COUNT, PendingCall, ServedCall
from .liveness import LinkLiveness, LivenessAction, count_unacknowledged, set_tcp_timeouts
from .models import AnswerHead, CallHead, Frame, FrameFault, FrameKind, Hello
from .tls import read_peer_names

_LOGGER = logging.getLogger(__name__)
_NO_MEMORY = AnswerHead(
    http_status(ResultCode.MEMORY_FULL),
    code=ResultCode.MEMORY_FULL,
    run_state=RunState.NOT_RUN,
    reason="the daemon has no memory for the request",
    complete=True,
)
LINK_LOST = Refusal(ResultCode.LINK_LOST, "the link to the daemon was lost", RunState.UNKNOWN)
CONGESTED = Refusal(ResultCode.LINK_LOST, "the link to the daemon is congested", RunState.NOT_RUN)


class LinkHandler(Protocol):
    """Callbacks of a link to the daemon that owns it."""

    def handle_link_open(self, link: "Link") -> bool:
        """Register a link whose peer is authenticated; return False to close it."""

    def handle_call(self, served: ServedCall, head: CallHead) -> None:
        """Serve a call that the peer has sent."""

    def handle_control(self, link: "Link", kind: int, payload: bytes) -> None:
        """Process a control message of the peer."""

    def handle_link_closed(self, link: "Link", reason: str) -> None:
        """Unregister a closed link."""


class Link(asyncio.Protocol):
    """One end of a link; both ends behave alike.

    Each end numbers the calls that it sends, so calls in opposite directions may share an id.

    Parameters
    ----------
    handler : LinkHandler
        Receives calls, control messages and the opening and closing of the link.
    hello : Hello
        Identity that this daemon announces.
    expected_vm : VmId or None
        VM that was dialed; None on the accepting side.
    budget : ByteBudget, optional
        Memory for long calls of the peer.
    """

    def __init__(
        self,
        handler: LinkHandler,
        hello: Hello,
        expected_vm: VmId | None,
        budget: ByteBudget | None = None,
    ) -> None:
        self.peer: Hello | None = None
        self.sent_bytes = 0
        self.received_bytes = 0
        self.opened = asyncio.Event()
        self.closed = asyncio.Event()
        self._handler = handler
        self._hello = hello
        self._expected_vm = expected_vm
        self._budget = budget or ByteBudget()
        self._reader = FrameReader(budget=self._budget)
        self._transport: asyncio.Transport | None = None
        self._pending: dict[int, PendingCall] = {}
        self._served: dict[int, ServedCall] = {}
        self._next_call_id = 1
        self._close_reason = "closed by the peer"
        self._is_finishing = False
        self._liveness = LinkLiveness()
        self._has_told = False

    @property
    def is_open(self) -> bool:
        """Whether the peer is authenticated and the transport is connected."""
        return self.peer is not None and not self.closed.is_set() and not self._is_finishing

    @property
    def _is_congested(self) -> bool:
        """Whether the peer reads more slowly than this daemon writes, by a lot of memory."""
        assert self._transport is not None
        return self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES

    @property
    def is_flushed(self) -> bool:
        """Whether the peer has acknowledged all that was written, or is gone."""
        if self._transport is None or self.closed.is_set():
            return True
        return count_unacknowledged(self._transport) == 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the TCP time-outs and send the hello."""
        # uvloop's TLS transport is no subclass of asyncio.Transport
        self._transport = cast(asyncio.Transport, transport)
        set_tcp_timeouts(self._transport)
        self.send_frame(FrameKind.HELLO, 0, encode_hello(self._hello))

    def data_received(self, data: bytes) -> None:
        """Process the frames that `data` completes; close the link on a malformed one."""
        self.received_bytes += len(data)
        self._liveness.note_received()
        self._has_told = False
        if self._is_finishing:
            return
        frames = self._reader.feed(data)
        for index, frame in enumerate(frames):
            fault = self._handle_frame(frame)
            if fault is not None:
                for dropped in frames[index + 1 :]:
                    self._budget.release(dropped.reserved_bytes)
                self.close(fault.value)
                return
        if self._reader.fault is not None:
            self.close(self._reader.fault.value)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending calls and cancel the served ones."""
        if self.closed.is_set():
            return
        self.closed.set()
        self.opened.set()
        pending, self._pending = self._pending, {}
        served, self._served = self._served, {}
        for call in pending.values():
            call.settle(LINK_LOST)
            call.body.fail(LINK_LOST)
        self._reader.release()
        for one in served.values():
            self._release(one)
            one.cancel()
        self._handler.handle_link_closed(self, str(exc) if exc else self._close_reason)

    def close(self, reason: str) -> None:
        """Close the link at once and discard its write buffer."""
        self._close_reason = reason
        if self._transport is not None:
            self._transport.abort()

    def discard(self, reason: str) -> None:
        """Close the link of a failed dial, whose end the event loop may not report.

        uvloop closes the transport of a cancelled connection attempt without calling
        `connection_lost`, even after `connection_made`.
        """
        self.close(reason)
        if self._transport is not None:
            self.connection_lost(None)

    def finish(self, reason: str) -> None:
        """Send the end of the stream after the write buffer, and wait for the peer to close.

        What the peer still sends is read and dropped: closing with unread bytes would reset the
        connection and discard the answers that the peer has not received.
        """
        self._close_reason = reason
        if self._transport is None or self.closed.is_set() or self._is_finishing:
            return
        self._is_finishing = True
        if self._transport.can_write_eof():
            self._transport.write_eof()
        else:
            self._transport.close()

    def send_frame(self, kind: FrameKind, call_id: int, payload: bytes) -> None:
        """Write one frame; does nothing on a link that is closed or being closed."""
        if self._transport is None or self.closed.is_set() or self._is_finishing:
            return
        data = encode_frame(kind, call_id, payload)
        self.sent_bytes += len(data)
        self._transport.write(data)

    def _send_long_call(self, call_id: int, parts: list[bytes]) -> None:
        assert self._transport is not None
        length = sum(map(len, parts))
        self.sent_bytes += FRAME_HEADER_BYTES + length
        self._transport.write(encode_frame_header(FrameKind.CALL, call_id, length))
        for part in parts:
            self._transport.write(part)

    def send_call(self, head: CallHead) -> PendingCall:
        call_id = self._next_call_id
        self._next_call_id += 1
        call = PendingCall(self, call_id)
        call.body.on_consumed = lambda count: self._send_credit(call_id, count)
        if not self.is_open:
            call.settle(
                Refusal(ResultCode.LINK_LOST, "the link to the daemon is down", RunState.NOT_RUN)
            )
            return call
        if self._is_congested:
            call.settle(CONGESTED)
            return call
        self._pending[call_id] = call
        if len(head.body) < RESERVED_FRAME_BYTES:
            self.send_frame(FrameKind.CALL, call_id, encode_call(head))
        else:
            self._send_long_call(call_id, encode_long_call(head))
        return call

    def send_control(self, kind: int, payload: bytes) -> None:
        """Send a control message; the call id field of its frame carries the kind."""
        self._has_told = True
        self.send_frame(FrameKind.CONTROL, kind, payload)

    def check_liveness(self, idle_checks: int) -> None:
        """Probe a quiet peer, and close the link if it stays silent."""
        if self.peer is None or not self.peer.answers_probes or not self.is_open:
            return
        assert self._transport is not None
        is_waiting = bool(self._pending) or self._has_told
        is_sending = self._liveness.is_probing and count_unacknowledged(self._transport) > 0
        match self._liveness.check(
            is_waiting=is_waiting, is_sending=is_sending, idle_checks=idle_checks
        ):
            case LivenessAction.PROBE:
                self.send_frame(FrameKind.PROBE, 0, b"")
            case LivenessAction.CLOSE:
                self.close("the peer is silent")

    def cancel_call(self, call_id: int) -> None:
        """Drop a pending call and tell the peer to cancel it."""
        if self._pending.pop(call_id, None) is not None:
            self.send_frame(FrameKind.CANCEL, call_id, b"")

    def forget_served(self, call_id: int) -> None:
        """Drop a served call after its answer."""
        served = self._served.pop(call_id, None)
        if served is not None:
            self._release(served)

    def _send_credit(self, call_id: int, count: int) -> None:
        self.send_frame(FrameKind.CREDIT, call_id, BYTE_COUNT.pack(count))

    def _handle_frame(self, frame: Frame) -> FrameFault | None:
        if self.peer is None:
            return self._handle_hello(frame)
        match frame.kind:
            case FrameKind.CALL:
                return self._handle_call(frame)
            case FrameKind.ANSWER:
                return self._handle_answer(frame)
            case FrameKind.BODY | FrameKind.BODY_END | FrameKind.BODY_ABORT:
                return self._handle_body(frame)
            case FrameKind.CREDIT:
                return self._handle_credit(frame)
            case FrameKind.CANCEL:
                self._handle_cancel(frame)
            case FrameKind.CONTROL:
                self._handler.handle_control(self, frame.call_id, frame.payload)
            case FrameKind.PROBE:
                self.send_frame(FrameKind.PROBE_ANSWER, 0, b"")
            case FrameKind.HELLO:
                return FrameFault.GARBLED
        return None

    def _handle_hello(self, frame: Frame) -> FrameFault | None:
        if frame.kind is not FrameKind.HELLO:
            self._budget.release(frame.reserved_bytes)
            return FrameFault.GARBLED
        hello = decode_hello(frame.payload)
        if isinstance(hello, FrameFault):
            return hello
        if hello.protocol != PROTOCOL_VERSION:
            return FrameFault.VERSION
        if not self._is_claimed_identity_valid(hello):
            _LOGGER.warning("link_refused", extra={"claimed_vm": hello.vm_id})
            return FrameFault.GARBLED
        self.peer = hello
        self.opened.set()
        if not self._handler.handle_link_open(self):
            self.close("refused")
        return None

    def _is_claimed_identity_valid(self, hello: Hello) -> bool:
        if self._expected_vm is not None and hello.vm_id != self._expected_vm:
            return False
        assert self._transport is not None
        if self._transport.get_extra_info("sslcontext") is None:
            address = self._transport.get_extra_info("peername")
            return address is not None and hello.vm_id == address[0]
        certificate = self._transport.get_extra_info("peercert")
        return certificate is not None and hello.vm_id in read_peer_names(certificate)

    def _handle_call(self, frame: Frame) -> FrameFault | None:
        if frame.is_skipped:
            assert self.peer is not None
            # daemons of earlier versions, which answer no probes, don't know the code
            code = ResultCode.MEMORY_FULL if self.peer.answers_probes else ResultCode.QUEUE_FULL
            answer = attrs.evolve(_NO_MEMORY, code=code)
            self.send_frame(FrameKind.ANSWER, frame.call_id, encode_answer(answer))
            return None
        head = decode_call(frame.payload)
        if isinstance(head, FrameFault) or frame.call_id in self._served:
            self._budget.release(frame.reserved_bytes)
            return head if isinstance(head, FrameFault) else FrameFault.GARBLED
        served = ServedCall(self, frame.call_id, reserved_bytes=frame.reserved_bytes)
        self._served[frame.call_id] = served
        self._handler.handle_call(served, head)
        return None

    def _handle_answer(self, frame: Frame) -> FrameFault | None:
        call = self._pending.get(frame.call_id)
        if call is None:
            return None
        head = decode_answer(frame.payload)
        if isinstance(head, FrameFault):
            return head
        if head.complete:
            del self._pending[frame.call_id]
            call.body.feed(head.body)
            call.body.finish()
        call.settle(head)
        return None

    def _handle_body(self, frame: Frame) -> FrameFault | None:
        call = self._pending.get(frame.call_id)
        if call is None:
            return None
        if frame.kind is FrameKind.BODY:
            call.body.feed(frame.payload)
            return None
        del self._pending[frame.call_id]
        if frame.kind is FrameKind.BODY_ABORT:
            head = decode_answer(frame.payload)
            if isinstance(head, FrameFault):
                return head
            call.body.fail(Refusal(head.code, head.reason, head.run_state))
            return None
        return self._end_body(call, frame.payload)

    def _end_body(self, call: PendingCall, payload: bytes) -> FrameFault | None:
        if len(payload) != BYTE_COUNT.size:
            return FrameFault.GARBLED
        (declared_bytes,) = BYTE_COUNT.unpack(payload)
        if declared_bytes == call.body.received_bytes:
            call.body.finish()
            return None
        call.body.fail(
            Refusal(
                ResultCode.ANSWER_TRUNCATED,
                "the answer arrived short",
                RunState.RAN,
            )
        )
        return None

    def _handle_credit(self, frame: Frame) -> FrameFault | None:
        if len(frame.payload) != BYTE_COUNT.size:
            return FrameFault.GARBLED
        served = self._served.get(frame.call_id)
        if served is not None:
            served.add_credit(BYTE_COUNT.unpack(frame.payload)[0])
        return None

    def _handle_cancel(self, frame: Frame) -> None:
        served = self._served.pop(frame.call_id, None)
        if served is not None:
            self._release(served)
            served.cancel()

    def _release(self, served: ServedCall) -> None:
        self._budget.release(served.reserved_bytes)
        served.reserved_bytes = 0
