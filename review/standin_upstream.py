"""Stand-in of an application upstream."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from record import Record
from standin_http import Reply, Request, Server

HEALTH_PATH = "/healthz"
SLOTS = 94
Work = Callable[[Request], Awaitable[bytes]]


async def _answer_at_once(_request: Request) -> bytes:
    return b"ok"


class Upstream:
    """Runs requests as PROTOCOL.md says.

    Parameters
    ----------
    work : callable
        Returns the body of the answer once the work is done.
    is_leaving : bool
        Whether it is about to exit: its answers then close their connections.
    """

    def __init__(
        self, host: str, port: int, name: str, service: str, zone: str, record: Record
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.address = f"{host}:{port}"
        self.server = Server(host, port, self._handle)
        self.work: Work = _answer_at_once
        self.ran: list[Request] = []
        self.running = 0
        self.slots = SLOTS
        self.is_leaving = False
        self.born = int(time.time() * 1_000)
        self.sequence = 1
        self._record = record

    def describe(self, **changes: object) -> dict:
        """Return its entry in the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "config_version": "1.0",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_s": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return {**entry, **changes}

    async def _handle(self, request: Request) -> Reply:
        expected = request.headers.get("wisteriaproxy-target-instance")
        attempt = request.headers.get("wisteriaproxy-attempt-id")
        echo = {} if attempt is None else {"Wisteriaproxy-Attempt-Id": attempt}
        if expected not in (None, self.name):
            return Reply(421, {**echo, "Wisteriaproxy-Not-Executed": "1"})
        if request.target == HEALTH_PATH:
            return Reply(200, {"Wisteriaproxy-Instance-Id": self.name})
        if attempt is None:
            return Reply(400, {"Wisteriaproxy-Not-Executed": "1"})
        if self.running >= self.slots:
            return Reply(503, {**echo, "Wisteriaproxy-Not-Executed": "1"})
        self.ran.append(request)
        caller = request.headers.get("wisteriaproxy-caller-service", "-")
        self._record.note(
            f"{self.service} {self.name}",
            f"runs {request.method} {request.target} id {attempt}",
            f"caller {caller}",
        )
        self.running += 1
        try:
            body = await self.work(request)
        except asyncio.CancelledError:
            self._record.note(f"{self.service} {self.name}", f"id {attempt} was cut off")
            raise
        finally:
            self.running -= 1
        headers = {
            **echo,
            "Wisteriaproxy-Response-Signature": f"s.{attempt}.{len(body)}",
            "Wisteriaproxy-Server-Load": f"{self.running},0,{self.slots}",
        }
        if self.is_leaving:
            headers["Connection"] = "close"
        return Reply(200, headers, body)
