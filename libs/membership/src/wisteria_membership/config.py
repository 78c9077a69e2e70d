"""Tunable parameters of membership."""

import attrs
from attrs.validators import ge, gt

from .const import (
    DEFAULT_BYTES_PER_S,
    DEFAULT_CALL_FAILURES,
    DEFAULT_INTERVAL_MS,
    DEFAULT_MISSES,
    DEFAULT_NEIGHBOURS_OTHER_DOMAINS,
    DEFAULT_NEIGHBOURS_SAME_DOMAIN,
    DEFAULT_NEWS_BYTES,
    DEFAULT_PROBES,
    DEFAULT_REPORT_MS,
    DEFAULT_REPORTERS,
    DEFAULT_STALL_HOLD_MS,
    DEFAULT_STALL_MS,
)


@attrs.frozen(kw_only=True)
class MembershipConfig:
    """Times and bounds of membership.

    Parameters
    ----------
    interval_ms : int
        Time between two heartbeats to the same neighbour.
    misses : int
        Unanswered heartbeats in a row after which a neighbour counts as silent.
    call_failures : int
        Calls in a row that failed to reach a VM after which it counts as unreachable.
    stall_ms : int
        Gap of an event loop that its process reports as a stall.
    stall_hold_ms : int
        Time for which a reported stall keeps a VM unusable.
    report_ms : int
        Time for which another VM's report of an unreachable VM counts.
    reporters : int
        Different reporters that it takes to count a VM as unreachable.
    neighbours_same_domain, neighbours_other_domains : int
        VMs that this daemon sends heartbeats to.
    probes : int
        Unreachable VMs outside the neighbours that are tried in each interval.
    bytes_per_s : int
        Bound on the control bytes sent, in bytes/s.
    news_bytes : int
        Bound on the news in one message, in bytes.
    """

    interval_ms: int = attrs.field(default=DEFAULT_INTERVAL_MS, validator=gt(0))
    misses: int = attrs.field(default=DEFAULT_MISSES, validator=gt(0))
    call_failures: int = attrs.field(default=DEFAULT_CALL_FAILURES, validator=gt(0))
    stall_ms: int = attrs.field(default=DEFAULT_STALL_MS, validator=gt(0))
    stall_hold_ms: int = attrs.field(default=DEFAULT_STALL_HOLD_MS, validator=ge(0))
    report_ms: int = attrs.field(default=DEFAULT_REPORT_MS, validator=gt(0))
    reporters: int = attrs.field(default=DEFAULT_REPORTERS, validator=gt(0))
    neighbours_same_domain: int = attrs.field(
        default=DEFAULT_NEIGHBOURS_SAME_DOMAIN, validator=ge(0)
    )
    neighbours_other_domains: int = attrs.field(
        default=DEFAULT_NEIGHBOURS_OTHER_DOMAINS, validator=ge(0)
    )
    probes: int = attrs.field(default=DEFAULT_PROBES, validator=ge(0))
    bytes_per_s: int = attrs.field(default=DEFAULT_BYTES_PER_S, validator=gt(0))
    news_bytes: int = attrs.field(default=DEFAULT_NEWS_BYTES, validator=ge(0))
