"""Derives the status of a VM from the evidence on it."""

from .config import MembershipConfig
from .models import PeerRecord, Status

StatusWithReason = tuple[Status, str]


def evaluate_status(record: PeerRecord, now_ms: int, config: MembershipConfig) -> StatusWithReason:
    """Return the status of a VM on the list, and the reason.

    A silent process with an open connection counts as paused: the kernel keeps the connections
    of a suspended process open, but resets those of a process that died.
    """
    if record.is_leaving_by_list:
        return Status.LEAVING, "list"
    if record.is_leaving_by_notice:
        return Status.LEAVING, "notice"
    if record.unanswered >= config.max_unanswered:
        if record.is_linked:
            return Status.PAUSED, "silent, connection open"
        return Status.UNREACHABLE, "silent"
    if record.call_failures >= config.call_failures:
        return Status.UNREACHABLE, "calls failed to reach the VM"
    if record.stalled_until_ms is not None and now_ms < record.stalled_until_ms:
        return Status.PAUSED, "event loop stall reported"
    current = [until_ms for until_ms in record.reports.values() if now_ms < until_ms]
    if len(current) >= config.reporters:
        return Status.UNREACHABLE, "reported by other VMs"
    return Status.LIVE, "no evidence of a failure"
