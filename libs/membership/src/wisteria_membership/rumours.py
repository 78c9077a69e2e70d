"""Gossip buffer: news to pass on, newest first, each sent a limited number of times."""

import math

import attrs

from wisteria_core import VmId

from .const import MAX_GOSSIP_ITEMS
from .models import News, NewsKind
from .sizes import estimate_news_bytes

TRANSMISSIONS_PER_DOUBLING = 1


@attrs.define
class GossipItem:
    """News and its number of remaining transmissions."""

    news: News
    remaining: int
    order: int


@attrs.define
class GossipBuffer:
    """Keeps the latest news of each key."""

    fleet_size: int = 1
    _items: dict[tuple[VmId, VmId, bool], GossipItem] = attrs.field(factory=dict)
    _count: int = 0

    def __len__(self) -> int:
        return len(self._items)

    def max_transmissions(self) -> int:
        """Return how often each piece of news is sent."""
        return TRANSMISSIONS_PER_DOUBLING * math.ceil(math.log2(self.fleet_size + 1))

    def add(self, news: News) -> bool:
        """Store news unless newer news is stored; return whether it was stored."""
        stored = self._items.get(news.key)
        if stored is not None and news.recency <= stored.news.recency:
            return False
        self._count += 1
        self._items.pop(news.key, None)
        self._items[news.key] = GossipItem(news, self.max_transmissions(), self._count)
        if len(self._items) > MAX_GOSSIP_ITEMS:
            self._evict()
        return True

    def _evict(self) -> None:
        """Drop the oldest news that is no notice of leaving, or the oldest of all."""
        keys = list(self._items)
        others = [key for key in keys if self._items[key].news.kind is not NewsKind.LEAVING]
        del self._items[(others or keys)[0]]

    def list_notices(self) -> list[News]:
        """Return what VMs announced about themselves.

        Notices of leaving come last, because `Outbox` sends the last items first.
        """
        stored = [item.news for item in self._items.values() if not item.news.kind.is_report]
        return sorted(stored, key=lambda news: news.kind is NewsKind.LEAVING)

    def is_current(self, news: News) -> bool:
        """Return whether `news` is the latest of its key."""
        stored = self._items.get(news.key)
        return stored is not None and stored.news == news

    def discard_vm(self, vm_id: VmId) -> None:
        """Drop all news about or from a gone VM."""
        for key in [key for key in self._items if vm_id in key[:2]]:
            del self._items[key]

    def select(self, budget_bytes: int) -> tuple[News, ...]:
        """Return the newest news that fits into the budget, and count it as sent."""
        chosen = []
        for entry in reversed(self._items.values()):
            size = estimate_news_bytes(entry.news)
            if entry.remaining == 0 or size > budget_bytes:
                continue
            entry.remaining -= 1
            budget_bytes -= size
            chosen.append(entry.news)
        return tuple(chosen)
