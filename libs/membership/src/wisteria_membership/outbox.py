"""Builds outgoing messages from local state and gossip within the byte budget."""

import attrs

from wisteria_core import VmId

from .budget import ByteBudget
from .models import (
    Heartbeat,
    HeartbeatReply,
    MembershipMessage,
    News,
    NewsKind,
    PeerVersions,
)
from .rumours import GossipBuffer
from .sizes import estimate_bytes, estimate_news_bytes, sum_news_bytes

HeartbeatKind = type[Heartbeat] | type[HeartbeatReply]


@attrs.define(eq=False)
class Outbox:
    """Builds heartbeats and heartbeat replies.

    Parameters
    ----------
    vm_id, incarnation : VmId, int
        VM and incarnation of this daemon.
    max_news_bytes : int
        Limit on the news in one message, in bytes.
    budget : ByteBudget
        Limit on the bytes of all messages.
    """

    vm_id: VmId
    incarnation: int
    max_news_bytes: int
    budget: ByteBudget
    gossip: GossipBuffer = attrs.field(factory=GossipBuffer)
    versions: PeerVersions = attrs.field(factory=PeerVersions)
    is_leaving: bool = False
    stalled_ms: int = 0
    notices_digest: int = 0
    bytes_sent: int = 0
    counter: int = 0

    def announce(self, kind: NewsKind, subject: VmId, incarnation: int) -> None:
        """Add news issued by this daemon to the gossip."""
        self.counter += 1
        news = News(kind, subject, incarnation, self.vm_id, self.incarnation, self.counter)
        self.gossip.add(news)

    def build_message(
        self, now_ms: int, kind: HeartbeatKind, sequence: int, resync_news: list[News]
    ) -> MembershipMessage:
        """Return a message with as much news as the budget allows, `resync_news` first."""
        spare = self.budget.available(now_ms) - estimate_bytes(self._create(kind, sequence, ()))
        max_news_bytes = min(spare, self.max_news_bytes)
        news = self._take_resync_news(resync_news, max_news_bytes)
        news += self.gossip.select(max_news_bytes - sum_news_bytes(news))
        message = self._create(kind, sequence, news)
        size = estimate_bytes(message)
        self.budget.spend(size)
        self.bytes_sent += size
        return message

    def _take_resync_news(self, resync_news: list[News], budget_bytes: int) -> tuple[News, ...]:
        """Remove the last items that fit from `resync_news`, and drop outdated ones."""
        chosen: tuple[News, ...] = ()
        while resync_news:
            news = resync_news[-1]
            if self.gossip.is_current(news):
                if estimate_news_bytes(news) > budget_bytes:
                    break
                budget_bytes -= estimate_news_bytes(news)
                chosen += (news,)
            resync_news.pop()
        return chosen

    def _create(
        self, kind: HeartbeatKind, sequence: int, news: tuple[News, ...]
    ) -> MembershipMessage:
        return kind(
            sequence=sequence,
            list_version=self.versions.list_version,
            config_version=self.versions.config_version,
            config_digest=self.versions.config_digest,
            is_leaving=self.is_leaving,
            stalled_ms=self.stalled_ms,
            notices_digest=self.notices_digest,
            news=news,
        )
