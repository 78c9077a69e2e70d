"""What this daemon says of itself and passes on, within its byte budget."""

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
from .rumours import Rumours
from .sizes import estimate_bytes, estimate_news_bytes, sum_news_bytes

HeartbeatKind = type[Heartbeat] | type[HeartbeatReply]


@attrs.define(eq=False)
class Outbox:
    """Writes heartbeats and their replies.

    Parameters
    ----------
    vm_id, incarnation : VmId, int
        The daemon's own process.
    news_bytes : int
        Bound on the news in one message, in bytes.
    budget : ByteBudget
        Bound on the bytes of all messages.
    """

    vm_id: VmId
    incarnation: int
    news_bytes: int
    budget: ByteBudget
    rumours: Rumours = attrs.field(factory=Rumours)
    versions: PeerVersions = attrs.field(factory=PeerVersions)
    is_leaving: bool = False
    stalled_ms: int = 0
    notices_digest: int = 0
    bytes_sent: int = 0
    counter: int = 0

    def tell(self, kind: NewsKind, subject: VmId, incarnation: int) -> None:
        """Put out a piece of news of this daemon's own."""
        self.counter += 1
        news = News(kind, subject, incarnation, self.vm_id, self.incarnation, self.counter)
        self.rumours.add(news)

    def write(
        self, now_ms: int, kind: HeartbeatKind, sequence: int, missed: list[News]
    ) -> MembershipMessage:
        """Return a message with as much news as the budget allows, `missed` news first."""
        spare = self.budget.available(now_ms) - estimate_bytes(self._make(kind, sequence, ()))
        news_bytes = min(spare, self.news_bytes)
        news = self._take_missed(missed, news_bytes)
        news += self.rumours.select(news_bytes - sum_news_bytes(news))
        message = self._make(kind, sequence, news)
        size = estimate_bytes(message)
        self.budget.spend(size)
        self.bytes_sent += size
        return message

    def _take_missed(self, missed: list[News], budget_bytes: int) -> tuple[News, ...]:
        """Take the last items off `missed` that fit, skipping those no longer current."""
        chosen: tuple[News, ...] = ()
        while missed:
            news = missed[-1]
            if self.rumours.is_current(news):
                if estimate_news_bytes(news) > budget_bytes:
                    break
                budget_bytes -= estimate_news_bytes(news)
                chosen += (news,)
            missed.pop()
        return chosen

    def _make(
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
