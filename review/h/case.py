"""An upstream runs a GET that no client sent: a HEAD request is passed on as GET."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet import Fleet, make_config, make_route, run_case  # noqa: E402
from standin_http import Request  # noqa: E402

PLACES = [("yieldview", "a"), ("reportdesk", "b")]
DEADLINE_MS = 5_000
REQUESTS = 10
REPORT_BYTES = 6_000


async def play(fleet: Fleet, is_disturbed: bool) -> list[str]:
    routes = [
        make_route("yield", "yieldview", "idempotent"),
        make_route("report", "reportdesk", "download"),
    ]
    await fleet.start(PLACES, make_config(1, routes, {}))
    machine, desk = fleet.machines[0], fleet.machines[1].upstream
    desk.work = make_report
    await asyncio.sleep(1)
    method = "HEAD" if is_disturbed else "GET"
    sent: dict[str, str] = {}
    for number in range(REQUESTS):
        headers = fleet.make_headers(DEADLINE_MS)
        sent[headers["Wisteriaproxy-Attempt-Id"]] = method
        await fleet.call(machine, method, f"/report/{number}", headers)
    return [
        f"request {attempt} was sent as {sent[attempt]} and ran as {request.method}"
        for request in desk.ran
        if (attempt := request.headers["wisteriaproxy-attempt-id"]) in sent
        and request.method != sent[attempt]
    ]


async def make_report(_request: Request) -> bytes:
    return b"r" * REPORT_BYTES


if __name__ == "__main__":
    run_case(FOLDER, play)
