"""Sends control messages and dispatches received ones to handlers."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs
from anyio.abc import TaskGroup

from wisteria_core import Refusal, Vm, VmId
from wisteria_wire import Hello, Link, LinkPool

from ..metrics import CONTROL_REFUSED, LINK_BYTES, Counts
from .codec import ControlFault, decode_control, encode_control
from .kinds import KINDS, NUMBERS

_LOGGER = logging.getLogger(__name__)

Handler = Callable[[VmId, int, Any], None]


@attrs.define(eq=False)
class ControlPlane:
    """Sends and receives the control messages of a daemon.

    Delivery is not guaranteed: every protocol on top tolerates a lost message.

    Parameters
    ----------
    find_vm : callable
        Returns a VM of the list in force, or None.
    pending_sends : int
        Number of messages that wait for a link to be opened.
    refused : Counts
        Messages that could not be encoded, decoded or processed.
    on_unreachable : callable
        Called with a VM to which no link could be opened for a message.
    """

    own_vm: VmId
    incarnation: int
    links: LinkPool
    tasks: TaskGroup
    find_vm: Callable[[VmId], Vm | None]
    sent_bytes: int = 0
    pending_sends: int = 0
    received_bytes: int = 0
    counts: Counter[str] = attrs.field(factory=Counter)
    link_bytes: Counts = attrs.field(factory=lambda: Counts(LINK_BYTES))
    refused: Counts = attrs.field(factory=lambda: Counts(CONTROL_REFUSED))
    on_unreachable: Callable[[VmId], None] = lambda vm_id: None
    _handlers: dict[type[Any], Handler] = attrs.field(factory=dict)

    def register(self, handler: Handler, *kinds: type[Any]) -> None:
        """Call ``handler(sender, incarnation, message)`` for these classes."""
        for kind in kinds:
            self._handlers[kind] = handler

    def send(self, vm_id: VmId, message: Any) -> None:
        """Send a message; one to the own VM goes through the event loop."""
        if vm_id == self.own_vm:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._dispatch, vm_id, self.incarnation, message)
            return
        number = NUMBERS[type(message)]
        payload = self._encode(message)
        if payload is None:
            return
        link = self.links.find(vm_id)
        if link is not None:
            self._write(link, number, payload)
            return
        vm = self.find_vm(vm_id)
        if vm is None:
            self.counts["unknown_vm"] += 1
            return
        self.pending_sends += 1
        self.tasks.start_soon(self._dial_and_send, vm, number, payload)

    def broadcast(self, message: Any) -> None:
        """Send to every peer with an open link."""
        number = NUMBERS[type(message)]
        payload = self._encode(message)
        if payload is None:
            return
        for link in self.links.list_links():
            self._write(link, number, payload)

    def handle(self, link: Link, number: int, payload: bytes) -> None:
        """Decode and dispatch a control message; close the link on a malformed one.

        A message of an unknown kind is only counted.
        """
        self._count_received(number, len(payload))
        message = decode_control(number, payload)
        if isinstance(message, ControlFault):
            self._count_fault(number, message, link.peer)
            if message is ControlFault.GARBLED:
                link.close(message.value)
            return
        assert link.peer is not None
        self._dispatch(link.peer.vm_id, link.peer.incarnation, message)

    def _count_received(self, number: int, size: int) -> None:
        self.received_bytes += size
        self.link_bytes.add(("received", _get_kind_name(number)), size)

    def _encode(self, message: Any) -> bytes | None:
        payload = encode_control(message)
        if isinstance(payload, ControlFault):
            self._count_fault(NUMBERS[type(message)], payload, None)
            return None
        return payload

    def _count_fault(self, number: int, fault: ControlFault, peer: Hello | None) -> None:
        name = fault.name.lower()
        self.counts[name] += 1
        self.refused.add((_get_kind_name(number), name))
        extra = {
            "kind": _get_kind_name(number),
            "reason": fault.value,
            "peer": peer.vm_id if peer is not None else None,
        }
        _LOGGER.warning("control_message_refused", extra=extra)

    def _dispatch(self, sender: VmId, incarnation: int, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(sender, incarnation, message)
        except Exception:
            # a lost message is tolerated, so that a failure must not close the sender's link
            kind = type(message).__name__
            self.counts["failed"] += 1
            self.refused.add((kind, "failed"))
            _LOGGER.exception("control_message_failed", extra={"kind": kind, "peer": sender})

    async def _dial_and_send(self, vm: Vm, number: int, payload: bytes) -> None:
        try:
            link = await self.links.obtain(vm)
        except Exception:
            # an exception would end every task of the daemon
            self.refused.add((_get_kind_name(number), "failed"))
            _LOGGER.exception("control_message_failed", extra={"peer": vm.vm_id})
            return
        finally:
            self.pending_sends -= 1
        if isinstance(link, Refusal):
            self.counts["unreachable"] += 1
            self.on_unreachable(vm.vm_id)
            return
        self._write(link, number, payload)

    def _write(self, link: Link, number: int, payload: bytes) -> None:
        self.sent_bytes += len(payload)
        self.link_bytes.add(("sent", _get_kind_name(number)), len(payload))
        link.send_control(number, payload)


def _get_kind_name(number: int) -> str:
    cls = KINDS.get(number)
    return cls.__name__ if cls is not None else "unknown"
