"""Fleet membership: which VMs are live, unreachable, paused, leaving or gone."""

from .config import MembershipConfig
from .diagnostics import describe
from .machine import Membership
from .models import (
    Action,
    AuditEntry,
    Heartbeat,
    HeartbeatReply,
    MembershipMessage,
    News,
    NewsKind,
    PeerVersions,
    Send,
    Status,
    StatusChanged,
)

__all__ = [
    "Action",
    "AuditEntry",
    "Heartbeat",
    "HeartbeatReply",
    "Membership",
    "MembershipConfig",
    "MembershipMessage",
    "News",
    "NewsKind",
    "PeerVersions",
    "Send",
    "Status",
    "StatusChanged",
    "describe",
]
