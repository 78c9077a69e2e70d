"""Idempotency keys: timestamp, normal form and slot."""

import uuid

import xxhash

from .const import LEDGER_SLOTS_PER_SERVICE, UUID7_TIME_SHIFT, UUID7_VERSION
from .models import LedgerSlotId, RunKey


def parse_timestamp_ms(key: str) -> int | None:
    """Return the timestamp of a UUIDv7 key, or None for an opaque key.

    The timestamp is from the caller's wall clock. Only the canonical form with hyphens is
    recognized.

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
    """Return the run key with a UUIDv7 in lower case, so that equal UUIDs match."""
    if parse_timestamp_ms(run_key.key) is None:
        return run_key
    return RunKey(run_key.account, run_key.route, run_key.key.lower())


def slot_for(service: str, run_key: RunKey, slots: int = LEDGER_SLOTS_PER_SERVICE) -> LedgerSlotId:
    key = normalize(run_key)
    name = f"{key.account}\x00{key.route}\x00{key.key}"
    return LedgerSlotId(service, xxhash.xxh3_64_intdigest(name.encode()) % slots)
