"""Memory baseline: only the HTTP server and client of the call path."""

import asyncio
import gc
import os
from typing import Annotated

import typer
import uvloop

from wisteria_core import Clock
from wisteria_wire import HttpClientPool, HttpRequest, HttpServerConnection, encode_request

BODY = b"bare"


def _handle_request(request: HttpRequest) -> None:
    request.exchange.answer(200, (), BODY)


async def _run(port: int, duration_s: float) -> None:
    connections: set[HttpServerConnection] = set()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: HttpServerConnection(_handle_request, connections), "127.0.0.1", port
    )
    pool = HttpClientPool("127.0.0.1", port, 1, Clock())
    call = await pool.send(encode_request("GET", "/", ("host", pool.authority), b""))
    print(type(call).__name__, flush=True)
    await asyncio.sleep(duration_s)
    server.close()


def main(
    port: Annotated[int, typer.Option(help="TCP port to listen on.")],
    seconds: Annotated[float, typer.Option(help="Run time of the process, s.")] = 60.0,
) -> None:
    """Send one call to the own server, then stay idle."""
    os.environ["UV_USE_IO_URING"] = "0"
    gc.freeze()
    uvloop.run(_run(port, seconds))


if __name__ == "__main__":
    typer.run(main)
