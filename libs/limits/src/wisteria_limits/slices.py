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
    """Divide an account evenly; the shares add up to its rate and burst exactly.

    Parameters
    ----------
    account : AccountRate
        Figures of the whole account.
    domains : iterable of FailureDomain
        Failure domains of the configuration document, so that every daemon divides alike.
    slices_per_domain : int
        Slices in each failure domain.

    Returns
    -------
    dict
        Share of each slice, own order: by index, then by failure domain.
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
    """Return `parts` integers that differ by one at most and add up to `total`."""
    if not parts:
        return []
    share, rest = divmod(total, parts)
    return [share + (position < rest) for position in range(parts)]
