"""News that this daemon passes on: the newest first, each a bounded number of times."""

import math

import attrs

from wisteria_core import VmId

from .const import MAX_RUMOURS
from .models import News, NewsKind
from .sizes import estimate_news_bytes

REPEATS_PER_DOUBLING = 1


@attrs.define
class Rumour:
    """One piece of news and how often it will still be sent."""

    news: News
    remaining: int
    order: int


@attrs.define
class Rumours:
    """The newest news of each key."""

    fleet_size: int = 1
    _held: dict[tuple[VmId, VmId, bool], Rumour] = attrs.field(factory=dict)
    _count: int = 0

    def __len__(self) -> int:
        return len(self._held)

    def repeats(self) -> int:
        """Return how often a piece of news is sent in a fleet of this size."""
        return REPEATS_PER_DOUBLING * math.ceil(math.log2(self.fleet_size + 1))

    def add(self, news: News) -> bool:
        """Take in a piece of news; return whether it is newer than what is held."""
        held = self._held.get(news.key)
        if held is not None and news.age_order <= held.news.age_order:
            return False
        self._count += 1
        self._held.pop(news.key, None)
        self._held[news.key] = Rumour(news, self.repeats(), self._count)
        if len(self._held) > MAX_RUMOURS:
            self._evict()
        return True

    def _evict(self) -> None:
        """Drop the oldest news, notices of leaving last."""
        keys = list(self._held)
        others = [key for key in keys if self._held[key].news.kind is not NewsKind.LEAVING]
        del self._held[(others or keys)[0]]

    def list_notices(self) -> list[News]:
        """Return what VMs said of themselves, those that are leaving last."""
        held = [item.news for item in self._held.values() if not item.news.kind.is_report]
        return sorted(held, key=lambda news: news.kind is NewsKind.LEAVING)

    def is_current(self, news: News) -> bool:
        """Return whether nothing newer of the same key is held."""
        held = self._held.get(news.key)
        return held is not None and held.news == news

    def forget(self, vm_id: VmId) -> None:
        """Drop the news on a VM that is gone."""
        for key in [key for key in self._held if vm_id in key[:2]]:
            del self._held[key]

    def select(self, budget_bytes: int) -> tuple[News, ...]:
        """Return the newest news that fit into the budget, and count them as sent."""
        chosen = []
        for rumour in reversed(self._held.values()):
            size = estimate_news_bytes(rumour.news)
            if rumour.remaining == 0 or size > budget_bytes:
                continue
            rumour.remaining -= 1
            budget_bytes -= size
            chosen.append(rumour.news)
        return tuple(chosen)
