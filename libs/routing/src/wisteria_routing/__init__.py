"""Load balancing, retries and detection of poison requests."""

from .allowance import RetryAllowance
from .budget import RetryBudget
from .config import LoadBalancerConfig, PoisonConfig, RetryConfig
from .connections import ConnectionBudget
from .const import MAX_CRASHES
from .load_balancer import LoadBalancer
from .models import Attempt, CallOutcome, Candidate, GiveUp, HealthReport, Retry, ServerLoad
from .poison import CrashReport, PoisonDetector, SuspicionCleared
from .retries import decide_retry, merge_run_states
from .split import TrafficSplitter

__all__ = [
    "MAX_CRASHES",
    "Attempt",
    "CallOutcome",
    "Candidate",
    "ConnectionBudget",
    "CrashReport",
    "GiveUp",
    "HealthReport",
    "LoadBalancer",
    "LoadBalancerConfig",
    "PoisonConfig",
    "PoisonDetector",
    "Retry",
    "RetryAllowance",
    "RetryBudget",
    "RetryConfig",
    "ServerLoad",
    "SuspicionCleared",
    "TrafficSplitter",
    "decide_retry",
    "merge_run_states",
]
