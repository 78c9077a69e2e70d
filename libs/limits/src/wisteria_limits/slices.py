"""Division of an account's rate and burst into slices."""

from collections.abc import Iterable

from wisteria_core import FailureDomain

from .const import MILLI_PER_CALL, SLICES_PER_DOMAIN
from .models import AccountRate, SliceId, SliceShare


def slices_for(
    account: AccountRate,
    domains: Iterable[FailureDomain],
    slices_per_domain: int = SLICES_PER_DOMAIN,
) -> dict[SliceId, SliceShare]:
    """Divide an account evenly into slices whose shares add up to exactly its rate and burst.

    Parameters
    ----------
    domains : iterable of FailureDomain
        Failure domains of the configuration document; every daemon must use the same ones.

    Returns
    -------
    dict
        Ordered by index, then by failure domain.
    """
    names = sorted(set(domains))
    ids = [
        SliceId(account.account, domain, index)
        for index in range(slices_per_domain)
        for domain in names
    ]
    rates = _divide(account.rate * MILLI_PER_CALL, len(ids))
    bursts = _divide(account.burst * MILLI_PER_CALL, len(ids))
    return {
        slice_id: SliceShare(rate, burst)
        for slice_id, rate, burst in zip(ids, rates, bursts, strict=True)
    }


def _divide(total: int, parts: int) -> list[int]:
    """Return `parts` integers that differ by at most one and add up to `total`."""
    if not parts:
        return []
    share, rest = divmod(total, parts)
    return [share + (position < rest) for position in range(parts)]
