"""Idempotency keys: their birth time and their slot."""

import uuid

import xxhash

from .const import LEDGER_SLOTS_PER_SERVICE, UUID7_TIME_SHIFT, UUID7_VERSION
from .models import LedgerSlotId, RunKey


def parse_timestamp_ms(key: str) -> int | None:
    """Return the birth time of a UUIDv7 key in the caller's wall clock, or None if opaque.

    Only the canonical spelling with hyphens counts; any other key is opaque.

    Source: RFC 9562, section 5.7.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if str(parsed) != key.lower() or parsed.version != UUID7_VERSION:
        return None
    return parsed.int >> UUID7_TIME_SHIFT


def normalize(run_key: RunKey) -> RunKey:
    """Return the run key with a UUIDv7 in lower case, so that one key has one spelling."""
    if parse_timestamp_ms(run_key.key) is None:
        return run_key
    return RunKey(run_key.account, run_key.route, run_key.key.lower())


def slot_for(service: str, run_key: RunKey, slots: int = LEDGER_SLOTS_PER_SERVICE) -> LedgerSlotId:
    """Return the slot that decides for a request."""
    key = normalize(run_key)
    name = f"{key.account}\x00{key.route}\x00{key.key}"
    return LedgerSlotId(service, xxhash.xxh3_64_intdigest(name.encode()) % slots)
