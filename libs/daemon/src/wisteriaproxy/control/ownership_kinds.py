"""Registers the control messages of a daemon that owns slots and keeps a ledger."""

from wisteria_config.dissemination import (
    DocumentChunk,
    DocumentDelta,
    DocumentFetch,
    VersionAnnounce,
    VersionQuery,
)
from wisteria_ledger import RunEnded
from wisteria_limits import BorrowReply, BorrowRequest
from wisteria_membership import Heartbeat, HeartbeatReply
from wisteria_ownership import (
    Claim,
    ClaimReply,
    Farewell,
    HandOver,
    HandOverReply,
    Hello,
    HelloReply,
    Offer,
    OfferReply,
)

from .kinds import register_kinds

register_kinds(
    {
        1: BorrowRequest,
        2: BorrowReply,
        10: Hello,
        11: HelloReply,
        12: Claim,
        13: ClaimReply,
        14: Offer,
        15: OfferReply,
        16: HandOver,
        17: HandOverReply,
        18: Farewell,
        20: VersionQuery,
        21: VersionAnnounce,
        22: DocumentFetch,
        23: DocumentDelta,
        24: DocumentChunk,
        40: RunEnded,
        50: Heartbeat,
        51: HeartbeatReply,
    }
)
