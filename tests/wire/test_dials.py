"""Dials of links: cancelled by callers, by the peer, and by a stop."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable

import anyio
import pytest

from wisteria_core import (
    Clock,
    FailureDomain,
    Refusal,
    Vm,
    VmId,
)
from wisteria_wire import Link, LinkPool

from .link_handler import HEAD, Handler, start_peer

RunLoop = Callable[[Callable[[], Awaitable[None]]], None]


def dial_with_late_loop(monkeypatch: pytest.MonkeyPatch, pool: LinkPool, handler: Handler) -> None:
    """Have the peer's hello wait when a connection is made, as in an event loop that is late."""
    monkeypatch.setattr("wisteria_wire.link.set_tcp_timeouts", lambda _: time.sleep(0.2))
    handler.pool = pool


def test_a_link_whose_dial_was_cancelled_can_be_written_to(
    run_loop: RunLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a daemon that ends by writing to a link that the event loop has closed."""

    async def body() -> None:
        vm = start_peer("127.0.0.3")
        tasks: list[asyncio.Task[Link | Refusal]] = []

        class Cancelling(Handler):
            def handle_link_open(self, link: Link) -> bool:
                is_added = super().handle_link_open(link)
                tasks[0].cancel()
                return is_added

        handler = Cancelling()
        pool = LinkPool(handler, VmId("127.0.0.2"), 1, None, Clock())
        dial_with_late_loop(monkeypatch, pool, handler)
        tasks.append(asyncio.create_task(pool.obtain(vm)))
        await asyncio.wait(tasks)
        link = await pool.obtain(vm)
        assert isinstance(link, Link)
        link.send_control(1, b"message")
        assert not isinstance(link.send_call(HEAD)._answer, Refusal)
        await pool.async_unload()

    run_loop(body)


def test_a_cancelled_call_takes_the_link_from_no_other(
    run_loop: RunLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls that are refused because another call, which dialed, was cancelled."""

    async def body() -> None:
        vm = start_peer("127.0.0.4")
        handler = Handler()
        pool = LinkPool(handler, VmId("127.0.0.2"), 1, None, Clock())
        dial_with_late_loop(monkeypatch, pool, handler)
        first = asyncio.create_task(pool.obtain(vm))
        second = asyncio.create_task(pool.obtain(vm))
        await asyncio.sleep(0)
        first.cancel()
        assert isinstance(await second, Link)
        await pool.async_unload()

    run_loop(body)


def test_a_stop_during_a_dial_leaves_no_open_link(
    run_loop: RunLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stop that writes to a link that the event loop has closed."""

    async def body() -> None:
        vm = start_peer("127.0.0.5")
        links: list[Link] = []

        class Stopping(Handler):
            def handle_link_open(self, link: Link) -> bool:
                links.append(link)
                assert self.pool is not None
                for dialing in self.pool._dialing.values():
                    dialing.cancel()
                return super().handle_link_open(link)

        handler = Stopping()
        pool = LinkPool(handler, VmId("127.0.0.2"), 1, None, Clock())
        dial_with_late_loop(monkeypatch, pool, handler)
        await asyncio.wait([asyncio.create_task(pool.obtain(vm))])
        (link,) = links
        assert not link.is_open
        assert pool.find(vm.vm_id) is None
        link.send_control(1, b"message")
        assert handler.closed == ["dial cancelled"]

    run_loop(body)


def test_a_stop_during_a_dial_cancels_no_task_that_waits_for_it(run_loop: RunLoop) -> None:
    """Guards against a stop that ends before answers are sent, as its task group is cancelled."""

    async def body() -> None:
        # accepts connections and never says hello, as a daemon that is frozen
        listener = socket.create_server(("127.0.0.6", 0))
        port = listener.getsockname()[1]
        vm = Vm(VmId("127.0.0.6"), "127.0.0.6", port, 0, FailureDomain("north"), "yields")
        pool = LinkPool(Handler(), VmId("127.0.0.2"), 1, None, Clock())
        results: list[Link | Refusal] = []

        async def send() -> None:
            results.append(await pool.obtain(vm))

        is_unhurt = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await asyncio.sleep(0.1)
            await pool.async_unload()
            # what a stop still does: it waits until answers have been sent
            await anyio.sleep(0.1)
            is_unhurt = True
        assert is_unhurt
        assert isinstance(results[0], Refusal)
        listener.close()

    run_loop(body)
