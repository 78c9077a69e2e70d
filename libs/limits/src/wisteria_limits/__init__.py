"""Rate limiting of client accounts across a fleet of entry daemons."""

from .bucket import SliceBucket
from .budget import AccountBudget
from .config import LimitsConfig
from .const import SLICES_PER_DOMAIN
from .diagnostics import describe_budget, describe_owner
from .models import (
    AccountRate,
    Admitted,
    BorrowItem,
    BorrowReply,
    BorrowRequest,
    Decided,
    Grant,
    LoanReport,
    Pending,
    Send,
    SliceId,
    SliceShare,
    Step,
)
from .owner import SliceOwner
from .shares import AccountDelta, SharedRateConfig, SharedRateLimiter
from .slices import slices_for

__all__ = [
    "SLICES_PER_DOMAIN",
    "AccountBudget",
    "AccountDelta",
    "AccountRate",
    "Admitted",
    "BorrowItem",
    "BorrowReply",
    "BorrowRequest",
    "Decided",
    "Grant",
    "LimitsConfig",
    "LoanReport",
    "Pending",
    "Send",
    "SharedRateConfig",
    "SharedRateLimiter",
    "SliceBucket",
    "SliceId",
    "SliceOwner",
    "SliceShare",
    "Step",
    "describe_budget",
    "describe_owner",
    "slices_for",
]
