"""Adaptive concurrency limits, priority queueing and load shedding."""

from .chain import ChainLevels
from .circuit_breaker import CircuitBreaker
from .cold_start import ColdStart, ColdStartLimit
from .config import AdmissionConfig, DemandConfig, LevelConfig, LimiterConfig
from .const import HASH_RANKS, RANK_COUNT, RANKS_PER_PRIORITY
from .demand import DemandLevel
from .gate import AdmissionGate
from .limiters import AimdLimiter, FixedLimiter, GradientLimiter, Limiter
from .models import (
    Action,
    AdmissionLevel,
    Dispatch,
    Offer,
    Outcome,
    Queued,
    Refuse,
    Ticket,
    Verdict,
)
from .rank import shed_rank
from .returns import cap_retry_after

__all__ = [
    "HASH_RANKS",
    "RANKS_PER_PRIORITY",
    "RANK_COUNT",
    "Action",
    "AdmissionConfig",
    "AdmissionGate",
    "AdmissionLevel",
    "AimdLimiter",
    "ChainLevels",
    "CircuitBreaker",
    "ColdStart",
    "ColdStartLimit",
    "DemandConfig",
    "DemandLevel",
    "Dispatch",
    "FixedLimiter",
    "GradientLimiter",
    "LevelConfig",
    "Limiter",
    "LimiterConfig",
    "Offer",
    "Outcome",
    "Queued",
    "Refuse",
    "Ticket",
    "Verdict",
    "cap_retry_after",
    "shed_rank",
]
