"""Constants shared by the admission modules."""

from typing import Final

HASH_RANKS: Final = 256
"""Ranks within one priority and share state; the hash of the request id picks one."""

RANKS_PER_PRIORITY: Final = 2 * HASH_RANKS
"""Ranks of one priority: demand within the account's fair share, then demand beyond it."""

RANK_COUNT: Final = 4 * RANKS_PER_PRIORITY
"""Total number of ranks; a threshold of this value admits everything."""

VIRTUAL_TIME_PER_MS: Final = 1_000_000
"""Virtual time charged for one millisecond of work at weight 1."""

MAX_ROUTES: Final = 1_024
"""Maximum number of routes with a run time estimate."""

MS_PER_S: Final = 1_000

MILLI: Final = 1_000
"""Scale of values in thousandths (`_milli`)."""
