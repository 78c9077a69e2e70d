"""Clock, result codes, VM list, hashing and numbers in texts, shared by every library."""

from .clock import Clock, ManualClock, read_boot_clock
from .digits import parse_digits
from .hashing import digest, rank_by_rendezvous, rendezvous_weight
from .models import (
    FailureDomain,
    Priority,
    Vm,
    VmId,
    VmList,
    VmState,
)
from .results import RESULTS, Refusal, ResultCode, ResultInfo, RunState, http_status

__all__ = [
    "RESULTS",
    "Clock",
    "FailureDomain",
    "ManualClock",
    "Priority",
    "Refusal",
    "ResultCode",
    "ResultInfo",
    "RunState",
    "Vm",
    "VmId",
    "VmList",
    "VmState",
    "digest",
    "http_status",
    "parse_digits",
    "rank_by_rendezvous",
    "read_boot_clock",
    "rendezvous_weight",
]
