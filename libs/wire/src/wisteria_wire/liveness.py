"""Detects unresponsive, silent or reset peers, by TCP options and by probes."""

import asyncio
import enum
import fcntl
import socket
import struct
import termios

import attrs

from .const import (
    KEEP_ALIVE_PROBE_S,
    KEEP_ALIVE_PROBES,
    MAX_UNANSWERED_PROBES,
    TCP_USER_TIMEOUT_MS,
)

_INT = struct.Struct("@i")


class LivenessAction(enum.Enum):
    """What to do with a link after a check."""

    KEEP = "keep"
    PROBE = "probe"
    CLOSE = "close"


@attrs.define
class LinkLiveness:
    """Decides when a link has gone silent, without input or output.

    TCP notices a peer that acknowledges nothing, but not a connection on which only the bytes get
    lost, nor a peer that has stopped reading. Checks must be made at regular intervals; the time
    during which this process itself was paused then doesn't count.
    """

    _quiet_checks: int = 0
    _unanswered: int = 0

    @property
    def is_probing(self) -> bool:
        """Whether a probe is unanswered."""
        return self._unanswered > 0

    def note_received(self) -> None:
        self._quiet_checks = -1
        self._unanswered = 0

    def check(
        self, *, is_waiting: bool, idle_checks: int, is_sending: bool = False
    ) -> LivenessAction:
        """Return what to do with a link.

        Parameters
        ----------
        is_waiting : bool
            Whether anything was sent that the peer may not have got.
        idle_checks : int
            Checks without a received byte after which a link is probed also if it is not waiting.
        is_sending : bool
            Whether the peer has not acknowledged all bytes: a probe waits behind them, and TCP
            notices if they make no progress.
        """
        self._quiet_checks += 1
        if self._quiet_checks < (1 if is_waiting or self._unanswered else idle_checks):
            return LivenessAction.KEEP
        if is_sending:
            return LivenessAction.KEEP
        if self._unanswered >= MAX_UNANSWERED_PROBES:
            return LivenessAction.CLOSE
        self._unanswered += 1
        return LivenessAction.PROBE


def has_pending_error(transport: asyncio.Transport) -> bool:
    """Return whether the connection was reset although reads show an orderly end of stream.

    A reset that arrives behind unread bytes is reported only after them, so a reader that
    treats the end of the bytes as the end of the stream would miss it.
    """
    sock = transport.get_extra_info("socket")
    return sock is not None and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


def has_unread_bytes(transport: asyncio.Transport) -> bool:
    """Return whether the kernel holds received bytes; False where it doesn't tell."""
    sock = transport.get_extra_info("socket")
    try:
        return bool(_INT.unpack(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)))[0])
    except (AttributeError, OSError, ValueError):
        return False


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
    except (AttributeError, OSError, ValueError):
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
