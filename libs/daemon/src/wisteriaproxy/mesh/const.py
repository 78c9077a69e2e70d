"""Constants and default settings of the mesh daemon."""

REPORT_INTERVAL_MS = 400
"""Interval of reports to peers: several reports arrive within the time in which demand shifts
between daemons."""

LINK_SILENCE_MS = 2_000
"""Time without a report after which a link is closed: five lost reports in a row."""

CLEANUP_INTERVAL_MS = 1_000
"""Interval of removing stale reports and dialing missing links."""

ANSWER_GRACE_MS = 80
"""Time to wait past a deadline for the serving daemon's answer: a few round trips between failure
domains plus one iteration of a busy event loop."""

GATE_TICK_MS = 50
"""Interval of checking queued calls and updating the shedding level."""

SETTINGS_POLL_MS = 1_000
"""Interval at which the settings file is checked for changes."""

DEFAULT_SLOTS = 50
"""Concurrent calls of a backend server until the platform states its slots."""

DEFAULT_MAX_CONNECTIONS = 300
"""Connections to the backend server until the configuration gives a limit."""

DEFAULT_WATCH_MS = 25_000
"""Maximum wait of one watch: below the 30 s that stores of this kind allow."""

DEFAULT_STORE_TIMEOUT_MS = 1_000
"""Timeout of a store request, which usually takes milliseconds."""

DEFAULT_STORE_BACKOFF_MS = 100
"""Initial back-off after a failed read."""

DEFAULT_STORE_BACKOFF_MAX_MS = 1_000
"""Maximum back-off after failed reads: a change must be in force within a few seconds."""

DEFAULT_STOP_LIMIT_MS = 5_000
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_RETRY_SLACK = 50

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
