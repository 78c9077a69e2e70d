"""From the evidence on a VM to its status."""

from .config import MembershipConfig
from .models import PeerRecord, Status

Verdict = tuple[Status, str]


def judge(record: PeerRecord, now_ms: int, config: MembershipConfig) -> Verdict:
    """Return the status of a VM that the list names, and the reason.

    A silent process whose connection stands is paused as far as can be seen: the kernel of
    a stopped process keeps its connections, that of a dead one resets them.
    """
    if record.leaves_by_list:
        return Status.LEAVING, "list"
    if record.leaves_by_notice:
        return Status.LEAVING, "notice"
    if record.unanswered >= config.misses:
        if record.is_linked:
            return Status.PAUSED, "silent, connection open"
        return Status.UNREACHABLE, "silent"
    if record.call_failures >= config.call_failures:
        return Status.UNREACHABLE, "calls failed"
    if record.stalled_until_ms is not None and now_ms < record.stalled_until_ms:
        return Status.PAUSED, "stall reported"
    current = [until_ms for until_ms in record.reports.values() if now_ms < until_ms]
    if len(current) >= config.reporters:
        return Status.UNREACHABLE, "reported by others"
    return Status.LIVE, "no evidence against"
