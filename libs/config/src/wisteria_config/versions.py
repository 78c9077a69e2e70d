"""Decide which of two versions of the document takes precedence."""

import enum

import attrs


@attrs.frozen
class VersionStamp:
    """Version and digest that identify a document.

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
    """How an offered document compares with the one in force."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    CONFLICT = "conflict"


def compare_versions(offered: VersionStamp, in_force: VersionStamp | None) -> VersionOrder:
    """Return how `offered` compares with `in_force`.

    Only ``NEWER`` may replace the document in force. ``CONFLICT`` means that two edits used the
    same version number for different content; the one accepted first stays in force.
    """
    if in_force is None or offered.version > in_force.version:
        return VersionOrder.NEWER
    if offered.version < in_force.version:
        return VersionOrder.OLDER
    return VersionOrder.SAME if offered.digest == in_force.digest else VersionOrder.CONFLICT
