"""Control messages between daemons, and the numbers under which they travel."""

from typing import Any

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
from wisteria_routing import CrashReport, SuspicionCleared

from ..mesh.messages import DocumentAsk, PeerNews, PublishedDocument

# Numbers are never reused; the fields of a message only grow at the end.
KINDS: dict[int, type[Any]] = {
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
    30: CrashReport,
    31: SuspicionCleared,
    40: RunEnded,
    50: Heartbeat,
    51: HeartbeatReply,
    60: PeerNews,
    61: DocumentAsk,
    62: PublishedDocument,
}
NUMBERS: dict[type[Any], int] = {cls: number for number, cls in KINDS.items()}
