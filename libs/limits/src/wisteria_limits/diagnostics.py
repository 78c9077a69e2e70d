"""Diagnostic data on lending, served on the operator port."""

from .budget import AccountBudget
from .owner import SliceOwner

Description = dict[str, dict[str, int]]


def describe_owner(owner: SliceOwner) -> Description:
    """Return level, outstanding loans and burst of each held slice, in milli-calls."""
    description = {}
    for slice_id in owner.held():
        bucket = owner.bucket(slice_id)
        if bucket is None:
            continue
        description[slice_id.name] = {
            "level_milli": bucket.level_milli,
            "outstanding_milli": bucket.outstanding_milli,
            "burst_milli": bucket.share.burst_milli,
        }
    return description


def describe_budget(budget: AccountBudget) -> Description:
    """Return tokens held, demand, waiting calls and unavailable rate of each account."""
    return {
        name: {
            "held_milli": account.loans.total_milli,
            "demand_milli_per_s": account.demand.milli_per_s,
            "waiting": len(account.waiting),
            "silent_rate_milli_per_s": account.lenders.silent_rate_milli_per_s(),
        }
        for name, account in budget.accounts().items()
    }
