"""Membership state for the operator port."""

from collections import Counter
from typing import Any

from .machine import Membership
from .models import Status


def describe(membership: Membership) -> dict[str, Any]:
    """Return the number of VMs per status, all VMs that are not live, and the neighbours."""
    records = membership.records.values()
    return {
        "vm": membership.vm_id,
        "incarnation": membership.incarnation,
        "list_version": membership.list_version,
        "highest_list_version_heard": membership.highest_list_version,
        "older_lists_ignored": membership.lists_ignored,
        "leaving": membership.is_leaving,
        "statuses": dict(sorted(Counter(record.status.value for record in records).items())),
        "not_live": {r.vm_id: r.status.value for r in records if r.status is not Status.LIVE},
        "neighbours": list(membership.neighbours()),
        "bytes_sent": membership.bytes_sent,
    }
