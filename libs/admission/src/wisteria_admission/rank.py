"""Shed rank of a request: the order in which load is shed, the same in the whole chain."""

import xxhash

from wisteria_core import Priority

from .const import HASH_RANKS, RANKS_PER_PRIORITY


def shed_rank(priority: Priority, over_share: bool, request_id: str) -> int:
    """Return the shed rank of a request; higher ranks are shed first.

    Parameters
    ----------
    priority : Priority
        Decides first: no urgent request ranks behind another.
    over_share : bool
        Whether the account is beyond its fair share; decides second.
    request_id : str
        Stable over the whole chain and over retries; spreads the rest evenly.

    Returns
    -------
    int
        In ``range(RANK_COUNT)``.
    """
    spread = int(xxhash.xxh3_64_intdigest(request_id.encode())) % HASH_RANKS
    return int(priority) * RANKS_PER_PRIORITY + int(over_share) * HASH_RANKS + spread
