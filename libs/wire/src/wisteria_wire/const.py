"""Constants of the links between daemons and of HTTP on the call path."""

PROTOCOL_VERSION = 1

FRAME_HEADER_BYTES = 14
MAX_FRAME_BYTES = 68_000_000
"""Longest payload: a call with the longest body that a configuration may allow, 64 MiB."""
CHUNK_BYTES = 65_536
WINDOW_BYTES = 262_144
CREDIT_THRESHOLD_BYTES = 65_536
INLINE_BODY_BYTES = 32_768

MAX_HEADER_BYTES = 32_768
MAX_REQUEST_BODY_BYTES = 1_000_000
MAX_PIPELINED_REQUESTS = 16
DEFAULT_REQUEST_ARRIVAL_MS = 30_000
"""Longest time for a request to arrive where the configuration sets none."""
DEFAULT_IDLE_CALLER_MS = 120_000
"""Time until an idle connection of a caller is closed where the configuration sets none."""
CALLER_BACKLOG = 1_024
"""Connections that may wait to be accepted; a full queue costs callers seconds."""

DEFAULT_HELLO_TIMEOUT_MS = 3_000
DEFAULT_DIAL_TIMEOUT_MS = 1_000
DEFAULT_REDIAL_MIN_MS = 50
DEFAULT_REDIAL_MAX_MS = 2_000
DEFAULT_WRITE_HIGH_WATER_BYTES = 262_144

UNACKNOWLEDGED_LIMIT_MS = 3_000
"""Longest time for which sent bytes stay unacknowledged: a few retransmissions on a lossy link."""

KEEP_ALIVE_PROBE_S = 1
"""Time between probes of an idle connection, the shortest that TCP offers."""
KEEP_ALIVE_PROBES = 2
"""Unanswered probes that close a connection: one may be lost on the way."""

DEFAULT_CONNECT_TIMEOUT_MS = 500
DEFAULT_IDLE_CONNECTION_MS = 15_000
FRESH_CONNECTION_MS = 1_000
KEEP_ALIVE_MARGIN_MS = 1_000
"""Time before the end of a stated keep-alive at which a connection is not used any more."""
