"""Names and defaults of the daemon in a mesh, with their units."""

NEWS_INTERVAL_MS = 400
"""Time between two reports to each peer: a few of them fit into the time in which rates shift."""

LINK_SILENCE_MS = 2_000
"""Time without a report after which a link is closed: five reports lost in a row."""

FORGET_INTERVAL_MS = 1_000
"""Time between two sweeps of what was heard of daemons that are gone."""

ANSWER_GRACE_MS = 80
"""Time after a deadline in which the serving daemon's own answer is awaited: a few trips
between failure domains and a turn of a busy event loop."""

GATE_TICK_MS = 50
"""Time between two looks at waiting calls: the interval of the shedding level."""

SETTINGS_POLL_MS = 1_000
"""Time between two looks at the settings file."""

DEFAULT_SLOTS = 50
"""Calls that a backend server runs at once until the platform has said it."""

DEFAULT_MAX_CONNECTIONS = 300
"""Connections to the backend server until the configuration has said it."""

DEFAULT_WATCH_MS = 25_000
"""Longest wait of one watch: under the 30 s that stores of this kind grant."""

DEFAULT_STORE_TIMEOUT_MS = 1_000
"""Longest wait for an answer of the store, which usually takes milliseconds."""

DEFAULT_STORE_BACKOFF_MS = 100
"""First pause after a failed read."""

DEFAULT_STORE_BACKOFF_MAX_MS = 1_000
"""Longest pause after failed reads: a change is to be in force within a few seconds."""

DEFAULT_STOP_LIMIT_MS = 5_000
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_RETRY_SLACK = 50

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
