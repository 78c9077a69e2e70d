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

BACKEND_MARGIN_MS = 5
"""Time by which the serving daemon ends a call before the entry daemon gives it up."""

SETTINGS_POLL_MS = 1_000
"""Time between two looks at the settings file."""

DEFAULT_SLOTS = 50
"""Calls that a backend server runs at once until the platform has said it."""

DEFAULT_MAX_CONNECTIONS = 300
"""Connections to the backend server until the configuration has said it."""

DEFAULT_STOP_LIMIT_MS = 5_000
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_RETRY_SLACK = 50
DEFAULT_RETRY_WINDOW_MS = 10_000

MAX_RETRIES_PER_CALL = 100

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
