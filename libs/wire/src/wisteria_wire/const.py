"""Constants of the links between daemons and of HTTP on the call path."""

PROTOCOL_VERSION = 1

FRAME_HEADER_BYTES = 14
MAX_FRAME_BYTES = 68_000_000
"""Largest payload: a call with the largest body that a configuration may allow, 64 MiB."""
RESERVED_FRAME_BYTES = 131_072
"""Size of a call from which its payload needs room in the budget."""
MAX_UNSENT_BYTES = 16_000_000
"""Bytes that wait to be sent on a link above which it takes no more calls."""
CHUNK_BYTES = 65_536
WINDOW_BYTES = 262_144
CREDIT_THRESHOLD_BYTES = 65_536
INLINE_BODY_BYTES = 32_768

MAX_HEADER_BYTES = 32_768
MAX_REQUEST_BODY_BYTES = 1_000_000
MAX_PIPELINED_REQUESTS = 16
DEFAULT_REQUEST_TIMEOUT_MS = 30_000
"""Time within which a request must arrive in full, unless the configuration sets another."""
DEFAULT_CALLER_IDLE_TIMEOUT_MS = 120_000
"""Time after which a caller's idle connection is closed, unless the configuration sets another."""
CALLER_BACKLOG = 1_024
"""Listen backlog of the callers' port; while it is full, connecting takes callers seconds."""

DEFAULT_HELLO_TIMEOUT_MS = 3_000
DEFAULT_DIAL_TIMEOUT_MS = 1_000
DEFAULT_REDIAL_MIN_MS = 50
DEFAULT_REDIAL_MAX_MS = 2_000
DEFAULT_WRITE_HIGH_WATER_BYTES = 262_144

TCP_USER_TIMEOUT_MS = 3_000
"""Time for which sent bytes may stay unacknowledged: a few retransmissions on a lossy link."""

KEEP_ALIVE_PROBE_S = 1
"""Interval of keep-alive probes on an idle connection; the shortest that TCP supports."""
KEEP_ALIVE_PROBES = 2
"""Unanswered probes after which a connection is closed; a single one may have been lost."""

LINK_CHECK_INTERVAL_MS = 500
"""Interval of checking that peers still send anything."""
IDLE_PROBES_PER_CHECK = 20
"""Idle links that are probed in one interval, which bounds the cost in a large fleet."""
MAX_UNANSWERED_PROBES = 4
"""Probes without an answer after which a link counts as silent: more time than the event loop of a
busy peer takes, and less than TCP needs to give up a peer that is cut off."""

DEFAULT_CONNECT_TIMEOUT_MS = 500
DEFAULT_BACKEND_IDLE_TIMEOUT_MS = 15_000
FRESH_CONNECTION_MAX_IDLE_MS = 1_000
KEEP_ALIVE_MARGIN_MS = 1_000
"""How long before the end of an announced keep-alive time-out a connection is no longer reused."""
