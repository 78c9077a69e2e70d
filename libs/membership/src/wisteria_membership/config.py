"""Configuration of membership."""

import attrs
from attrs.validators import ge, gt

from .const import (
    DEFAULT_BYTES_PER_S,
    DEFAULT_CALL_FAILURES,
    DEFAULT_INTERVAL_MS,
    DEFAULT_MAX_NEWS_BYTES,
    DEFAULT_MAX_UNANSWERED,
    DEFAULT_NEIGHBOURS_OTHER_DOMAINS,
    DEFAULT_NEIGHBOURS_SAME_DOMAIN,
    DEFAULT_PROBES_PER_INTERVAL,
    DEFAULT_REPORT_VALIDITY_MS,
    DEFAULT_REPORTERS,
    DEFAULT_STALL_HOLD_MS,
    DEFAULT_STALL_MS,
)


@attrs.frozen(kw_only=True)
class MembershipConfig:
    """Intervals, thresholds and limits.

    Parameters
    ----------
    interval_ms : int
        Interval between heartbeats to the same neighbour.
    max_unanswered : int
        Consecutive unanswered heartbeats after which a VM counts as silent.
    call_failures : int
        Consecutive calls that failed to reach a VM after which it counts as unreachable.
    stall_ms : int
        Event loop gap from which a process reports a stall.
    stall_hold_ms : int
        Time for which a process keeps reporting its stall, and for which a VM counts as paused
        after each report.
    report_validity_ms : int
        Time for which another VM's report of a VM as unreachable counts.
    reporters : int
        Number of reporting VMs from which a VM counts as unreachable.
    neighbours_same_domain, neighbours_other_domains : int
        Number of neighbours in the local failure domain and in other failure domains.
    probes_per_interval : int
        Maximum number of unreachable VMs besides the neighbours that are probed per interval.
    bytes_per_s : int
        Limit on the control messages sent, in bytes per second.
    max_news_bytes : int
        Limit on the news in one message, in bytes.
    """

    interval_ms: int = attrs.field(default=DEFAULT_INTERVAL_MS, validator=gt(0))
    max_unanswered: int = attrs.field(default=DEFAULT_MAX_UNANSWERED, validator=gt(0))
    call_failures: int = attrs.field(default=DEFAULT_CALL_FAILURES, validator=gt(0))
    stall_ms: int = attrs.field(default=DEFAULT_STALL_MS, validator=gt(0))
    stall_hold_ms: int = attrs.field(default=DEFAULT_STALL_HOLD_MS, validator=ge(0))
    report_validity_ms: int = attrs.field(default=DEFAULT_REPORT_VALIDITY_MS, validator=gt(0))
    reporters: int = attrs.field(default=DEFAULT_REPORTERS, validator=gt(0))
    neighbours_same_domain: int = attrs.field(
        default=DEFAULT_NEIGHBOURS_SAME_DOMAIN, validator=ge(0)
    )
    neighbours_other_domains: int = attrs.field(
        default=DEFAULT_NEIGHBOURS_OTHER_DOMAINS, validator=ge(0)
    )
    probes_per_interval: int = attrs.field(default=DEFAULT_PROBES_PER_INTERVAL, validator=ge(0))
    bytes_per_s: int = attrs.field(default=DEFAULT_BYTES_PER_S, validator=gt(0))
    max_news_bytes: int = attrs.field(default=DEFAULT_MAX_NEWS_BYTES, validator=ge(0))
