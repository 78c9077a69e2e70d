"""Resumes interrupted downloads: range to request and check of the answer."""

import re

import attrs

from wisteria_wire import AnswerHead

from .headers import find_header

STATUS_OK = 200
STATUS_PARTIAL = 206
_CONTENT_RANGE = re.compile(r"bytes (\d{1,18})-(\d{1,18})/(\d{1,18})")
_WEAK_PREFIX = "W/"


@attrs.define
class Download:
    """A download that can be resumed on another backend server.

    Parameters
    ----------
    entity_tag : str
        Strong entity tag of the whole content.
    first, last : int
        Offsets of the first and last byte of the answer in the whole content.
    total : int
        Length of the whole content, in bytes.
    sent_bytes : int
        Bytes of the answer that have been sent to the caller.
    """

    entity_tag: str
    first: int
    last: int
    total: int
    sent_bytes: int = 0

    @property
    def is_complete(self) -> bool:
        return self.first + self.sent_bytes > self.last

    def make_headers(self) -> tuple[str, ...]:
        """Return headers that request the missing range: alternating names and values."""
        return (
            "range",
            f"bytes={self.first + self.sent_bytes}-{self.last}",
            "if-range",
            self.entity_tag,
        )

    def is_continued_by(self, head: AnswerHead) -> bool:
        """Return whether the answer is exactly the missing range of the same content."""
        if head.status != STATUS_PARTIAL:
            return False
        if find_header(head.headers, "etag") != self.entity_tag:
            return False
        found = _parse_content_range(head)
        return found == (self.first + self.sent_bytes, self.last, self.total)


def parse_download(head: AnswerHead) -> Download | None:
    """Return the data for resuming; None if the answer does not support that."""
    tag = find_header(head.headers, "etag")
    if tag is None or tag.startswith(_WEAK_PREFIX):
        return None
    if head.status == STATUS_PARTIAL:
        found = _parse_content_range(head)
        return None if found is None else Download(tag, *found)
    if head.status != STATUS_OK or find_header(head.headers, "accept-ranges") != "bytes":
        return None
    length = find_header(head.headers, "content-length")
    if length is None or not length.isdigit() or int(length) == 0:
        return None
    return Download(tag, 0, int(length) - 1, int(length))


def _parse_content_range(head: AnswerHead) -> tuple[int, int, int] | None:
    text = find_header(head.headers, "content-range") or ""
    match = _CONTENT_RANGE.fullmatch(text)
    if match is None:
        return None
    first, last, total = (int(part) for part in match.groups())
    return (first, last, total) if first <= last < total else None
