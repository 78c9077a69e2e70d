"""Resuming a cut download: which range is missing, and which answer continues it."""

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
    """A download that another backend server can continue.

    Parameters
    ----------
    entity_tag : str
        Strong entity tag of the whole content.
    first, last : int
        Positions of the first and last byte of the answer in the whole content.
    total : int
        Length of the whole content, in bytes.
    passed : int
        Bytes of the answer that the caller has been sent.
    """

    entity_tag: str
    first: int
    last: int
    total: int
    passed: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether every byte of the answer has been sent."""
        return self.first + self.passed > self.last

    def make_headers(self) -> tuple[str, ...]:
        """Return the headers that ask for the missing range, names and values in turn."""
        return (
            "range",
            f"bytes={self.first + self.passed}-{self.last}",
            "if-range",
            self.entity_tag,
        )

    def is_continued_by(self, head: AnswerHead) -> bool:
        """Return whether an answer holds exactly the missing range of the same content."""
        if head.status != STATUS_PARTIAL:
            return False
        if find_header(head.headers, "etag") != self.entity_tag:
            return False
        found = _parse_content_range(head)
        return found == (self.first + self.passed, self.last, self.total)


def begin_download(head: AnswerHead) -> Download | None:
    """Return what a cut answer would need to be resumed, None when it can't be."""
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
