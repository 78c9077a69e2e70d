"""Shed rank of a request: the order of load shedding, identical along the call chain."""

import xxhash

from wisteria_core import Priority

from .const import HASH_RANKS, MILLI, RANKS_PER_PRIORITY


def shed_rank(
    priority: Priority, excess_milli: int, request_id: str, span: int = HASH_RANKS
) -> int:
    """Return the shed rank of a request; higher ranks are shed first.

    Parameters
    ----------
    priority : Priority
        Most significant part of the rank: each priority ranks before the next lower one.
    excess_milli : int
        Thousandths of the account's demand beyond its fair share, see
        `ChainLevels.excess_milli`. This proportion of its requests ranks behind all requests
        of the same priority that are within their share.
    request_id : str
        The same along the call chain; its hash spreads requests evenly over the ranks.
    span : int
        Ranks over which requests of this kind are spread; a smaller span lets more of them
        through.

    Returns
    -------
    int
        In ``range(RANK_COUNT)``.
    """
    value = int(xxhash.xxh3_64_intdigest(request_id.encode()))
    spread = value % HASH_RANKS * span // HASH_RANKS
    exceeds = value // HASH_RANKS % MILLI < excess_milli
    return int(priority) * RANKS_PER_PRIORITY + int(exceeds) * HASH_RANKS + spread
