"""At-most-once execution of non-repeatable requests."""

from .config import LedgerConfig
from .const import LEDGER_SLOTS_PER_SERVICE
from .diagnostics import describe
from .keys import parse_timestamp_ms, slot_for
from .ledger import Ledger
from .models import Join, LedgerSlotId, Replay, RunEnded, RunKey, Start

__all__ = [
    "LEDGER_SLOTS_PER_SERVICE",
    "Join",
    "Ledger",
    "LedgerConfig",
    "LedgerSlotId",
    "Replay",
    "RunEnded",
    "RunKey",
    "Start",
    "describe",
    "parse_timestamp_ms",
    "slot_for",
]
