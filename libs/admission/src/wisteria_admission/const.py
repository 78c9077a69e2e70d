"""Named constants of admission, with units."""

from typing import Final

HASH_RANKS: Final = 256
"""Ranks of one priority and one share state, spread by the request id."""

RANKS_PER_PRIORITY: Final = 2 * HASH_RANKS
"""Ranks of one priority: accounts within their fair share, then those beyond it."""

RANK_COUNT: Final = 4 * RANKS_PER_PRIORITY
"""Ranks in all; a threshold of this value admits everything."""

VIRTUAL_UNIT: Final = 1_000_000
"""Virtual time charged for one millisecond of work at weight 1."""

MAX_ROUTES: Final = 1_024
"""Routes whose service times are kept."""

MILLI: Final = 1_000
"""Thousandths in a whole."""
