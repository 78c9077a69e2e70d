"""TCP options that detect an unresponsive or reset peer."""

import asyncio
import fcntl
import socket
import struct
import termios

from .const import KEEP_ALIVE_PROBE_S, KEEP_ALIVE_PROBES, TCP_USER_TIMEOUT_MS

_INT = struct.Struct("@i")


def has_pending_error(transport: asyncio.Transport) -> bool:
    """Return whether the connection was reset although reads show an orderly end of stream.

    A reset that arrives behind unread bytes is reported only after them, so a reader that
    treats the end of the bytes as the end of the stream would miss it.
    """
    sock = transport.get_extra_info("socket")
    return sock is not None and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


def count_unacknowledged(transport: asyncio.Transport) -> int:
    """Return the bytes that the process or the kernel holds until the peer acknowledges them.

    Returns
    -------
    int
        Only the bytes that the process holds where the kernel doesn't tell.
    """
    held = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    try:
        return held + int(_INT.unpack(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)))[0])
    except (AttributeError, OSError):
        return held


def set_tcp_timeouts(
    transport: asyncio.Transport, user_timeout_ms: int = TCP_USER_TIMEOUT_MS
) -> None:
    """Have the kernel close a TCP connection whose peer no longer acknowledges anything.

    TCP_USER_TIMEOUT limits the time for which sent bytes may stay unacknowledged; keep-alive
    probes cover an idle connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
