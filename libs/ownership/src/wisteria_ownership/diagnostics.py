"""Diagnostics of slot ownership for the operator port."""

from typing import Any

from .machine import Ownership
from .models import Claiming, Holding, SlotRecord, Transferring, Waiting


def describe(ownership: Ownership) -> dict[str, Any]:
    """Return the state of each active slot and of the VM list, with event counts."""
    node = ownership.node
    active = sorted((r for r in node.records.values() if r.is_active), key=lambda r: str(r.slot))
    return {
        "vm": node.vm_id,
        "incarnation": node.incarnation,
        "list_version": node.roster.version,
        "highest_version_heard": node.highest_list_version,
        "needs_list": ownership.needs_list,
        "removed_from_list": node.is_removed,
        "stopping": node.stop_due_ms is not None,
        "scopes_heard": sorted(scope.name for scope in node.synced_scopes),
        "slots": [_describe_slot(record) for record in active],
        "counts": dict(sorted(node.counts.items())),
    }


def _describe_slot(record: SlotRecord) -> dict[str, Any]:
    base: dict[str, Any] = {"slot": str(record.slot), "term": record.term}
    match record.phase:
        case Claiming() as phase:
            return base | {"phase": "claiming", "unanswered": sorted(phase.pending)}
        case Waiting() as phase:
            return base | {"phase": "waiting", "until_ms": phase.until_ms}
        case Holding():
            return base | {"phase": "holding"}
        case Transferring() as phase:
            return base | {"phase": "transferring", "heir": phase.successor}
        case _:
            return base | {"phase": "free"}
