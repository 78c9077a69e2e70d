"""Constants of routing."""

from typing import Final

MILLI: Final = 1_000
"""Thousandths per token."""

DEFAULT_CAPACITY: Final = 10
"""Concurrency limit assumed for a backend server that has not reported one, in calls."""

MAX_SUSPECTS: Final = 4_096
"""Maximum number of requests for which crash evidence is stored."""

MAX_SUSPECTS_PER_REPORT: Final = 256
"""Maximum number of requests named in one crash report."""

MAX_CRASHES: Final = 3
"""Crashes after which a request that keeps being retried, one run at a time, is blocked."""
