"""Named constants of routing, with units."""

from typing import Final

MILLI: Final = 1_000
"""Thousandths in one token."""

CAPACITY_UNKNOWN: Final = 10
"""Concurrency assumed of a backend server that has not stated its limit."""

MAX_SUSPECTS: Final = 4_096
"""Requests whose crash evidence is kept."""

MAX_SUSPECTS_PER_REPORT: Final = 256
"""Requests named in one crash report."""

MAX_CRASHES: Final = 3
"""Crashes after which a request that is run again and again one at a time is refused for good."""
