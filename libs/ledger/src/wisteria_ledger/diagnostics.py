"""Diagnostics of the ledger for the operator port."""

from .ledger import Ledger


def describe(ledger: Ledger) -> dict[str, int]:
    """Return slot and entry counts and memory used, with their limits."""
    entries, used_bytes = ledger.usage()
    return {
        "slots": len(tuple(ledger.held())),
        "entries": entries,
        "max_entries": ledger.config.max_entries,
        "bytes": used_bytes,
        "max_bytes": ledger.config.max_bytes,
        "retention_ms": ledger.config.retention_ms,
    }
