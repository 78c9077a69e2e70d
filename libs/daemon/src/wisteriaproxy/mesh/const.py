"""Constants and default settings of the mesh daemon."""

REPORT_INTERVAL_MS = 400
"""Interval of reports to peers: several reports arrive within the time in which demand shifts
between daemons."""

HEARTBEAT_INTERVAL_MS = 800
"""Interval of reports that say nothing new: two report intervals."""

SUMMARY_OFFSET_MS = 100
"""Time after the members' reports at which relays exchange them between failure domains; they
arrive within a few milliseconds from most."""

BROADCAST_OFFSET_MS = 100
"""Time after that exchange at which relays tell their members."""

RELAYS_WANTED = 2
"""Relays that a daemon uses at a time: the loss of one delays nothing that must be known."""

OWN_RELAYS = 3
"""Relays of the own failure domain that are tried before those of others."""

RELAYS_MAX = 4
"""Relays that a daemon asks at once while the first ones do not reach the platform."""

RELAY_ADD_INTERVAL_MS = 1_000
"""Interval of asking one more while none of them does."""

RELAY_ANSWER_MS = 1_000
"""Time within which a relay must answer a subscription."""

RELAY_SILENCE_MS = 2_000
"""Time without news after which another relay is used: two lost heartbeats and a slow tick."""

RELAY_RETRY_MS = 1_000
"""Time until a relay that failed is tried again."""

RELAY_BLIND_MS = 1_500
"""Time without news of any relay after which a daemon reads by itself."""

RELAY_BLIND_SPREAD_MS = 1_500
"""Spread of that time over daemons, so that they don't all read at once."""

RELAY_KEEP_MS = 5_000
"""Time for which a daemon that is no relay any more goes on reading."""

OUTAGE_REPORT_MS = 500
"""Time without the platform after which a relay says so: covers a reset watch."""

MEMBER_SILENCE_MS = 2_000
"""Time without a report after which a daemon counts as silent and is chosen less."""

MEMBER_RETENTION_MS = 10_000
"""Time without a report after which a relay forgets a member."""

LEAVING_HOLD_MS = 3_000
"""Time for which an answer that said its daemon is leaving counts, unless relays confirm it."""

CLEANUP_INTERVAL_MS = 1_000
"""Interval of dropping what has expired and of contacting daemons without a relay."""

CONTACTS_MAX = 4
"""Daemons that a relay contacts in one cleanup interval."""

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

DEFAULT_MEMORY_MB = 300.0
"""Memory of the process unless the settings state it."""

DEFAULT_WATCH_MS = 1_000
"""Maximum wait of one watch: an answer that was lost, or a connection that has gone silent, shows
only after it, and what changed meanwhile must be known within 3 s."""

DEFAULT_WATCH_TIMEOUT_MS = 500
"""Time beyond its wait after which a watch counts as lost; well above a usual answer's."""

DEFAULT_STORE_TIMEOUT_MS = 1_000
"""Timeout of a store request, which usually takes milliseconds."""

DEFAULT_STORE_BACKOFF_MS = 100
"""Initial back-off after a failed read."""

DEFAULT_STORE_BACKOFF_MAX_MS = 1_000
"""Maximum back-off after failed reads: with the time-out of a read before it, changes of an outage
must be known within 3 s of its end."""

DEFAULT_STOP_LIMIT_MS = 5_000
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_RETRY_SLACK = 50

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
