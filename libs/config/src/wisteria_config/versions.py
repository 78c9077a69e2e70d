"""Decide which of two versions of the document holds."""

import enum

import attrs


@attrs.frozen
class VersionStamp:
    """Identity of a document.

    Parameters
    ----------
    version : int
        Version number of the document.
    digest : bytes
        Digest of its canonical form.
    """

    version: int
    digest: bytes


class VersionOrder(enum.Enum):
    """How an offered document stands to the one in force."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    CONFLICT = "conflict"


def compare_versions(offered: VersionStamp, in_force: VersionStamp | None) -> VersionOrder:
    """Return how `offered` stands to `in_force`.

    Only ``NEWER`` may replace what is in force. ``CONFLICT`` means that two edits took the
    same version number with different content; the first accepted stays.
    """
    if in_force is None or offered.version > in_force.version:
        return VersionOrder.NEWER
    if offered.version < in_force.version:
        return VersionOrder.OLDER
    return VersionOrder.SAME if offered.digest == in_force.digest else VersionOrder.CONFLICT
