"""Estimated sizes of messages on the wire, in bytes."""

from collections.abc import Iterable

from .const import FRAME_BYTES, HEARTBEAT_BYTES, NEWS_BYTES
from .models import MembershipMessage, News


def estimate_news_bytes(news: News) -> int:
    names = len(news.subject) + len(news.origin)
    return NEWS_BYTES + names + names // 8


def estimate_bytes(message: MembershipMessage) -> int:
    """Return the estimated bytes of a message including its frame."""
    return FRAME_BYTES + HEARTBEAT_BYTES + sum_news_bytes(message.news)


def sum_news_bytes(news: Iterable[News]) -> int:
    return sum(estimate_news_bytes(item) for item in news)
