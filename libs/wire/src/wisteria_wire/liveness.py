"""Bounds how long a connection whose other side no longer answers stays open."""

import asyncio
import socket

from .const import KEEP_ALIVE_PROBE_S, KEEP_ALIVE_PROBES, UNACKNOWLEDGED_LIMIT_MS


def has_pending_error(transport: asyncio.Transport) -> bool:
    """Return whether the socket was reset although reading it shows an orderly end.

    A reset that arrives behind unread bytes is reported after them, and a reader that takes
    the end of the bytes for the end of the stream would miss it.
    """
    sock = transport.get_extra_info("socket")
    return sock is not None and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


def bound_silence(transport: asyncio.Transport, limit_ms: int = UNACKNOWLEDGED_LIMIT_MS) -> None:
    """Have the kernel close a TCP connection whose other side acknowledges nothing any more.

    Sent bytes are bounded by a time-out, silence on an idle connection by probes.

    Parameters
    ----------
    limit_ms : int
        Longest time without an acknowledgement, in milliseconds.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
