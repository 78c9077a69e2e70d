"""Match request paths against route patterns by whole segments."""

from collections.abc import Iterable
from typing import Generic, TypeVar
from urllib.parse import unquote

import attrs

T = TypeVar("T")

_DOT_SEGMENTS = frozenset({".", ".."})


@attrs.define
class _Node(Generic[T]):
    """One segment of the patterns of a method."""

    target: T | None = None
    literals: "dict[str, _Node[T]]" = attrs.Factory(dict)
    parameter: "_Node[T] | None" = None

    def child(self, segment: str) -> "_Node[T]":
        """Return the node for one more segment of a pattern, made when missing."""
        if not segment.startswith("{"):
            return self.literals.setdefault(segment, _Node())
        if self.parameter is None:
            self.parameter = _Node()
        return self.parameter


@attrs.frozen
class RouteIndex(Generic[T]):
    """A tree of segments for each method."""

    roots: "dict[str, _Node[T]]"

    @classmethod
    def build(cls, patterns: Iterable[tuple[str, str, T]]) -> "RouteIndex[T]":
        """Return the index of (method, pattern, target) triples."""
        roots: dict[str, _Node[T]] = {}
        for method, pattern, target in patterns:
            node = roots.setdefault(method, _Node())
            for segment in pattern_segments(pattern):
                node = node.child(segment)
            node.target = target
        return cls(roots)

    def find(self, method: str, path: str) -> T | None:
        """Return the target of the longest pattern that matches `path`, or None."""
        root = self.roots.get(method)
        segments = split_path(path)
        if root is None or segments is None:
            return None
        return _descend(root, segments)


def _descend(root: _Node[T], segments: list[str]) -> T | None:
    """Walk all matching branches level by level; the deepest target wins.

    The nodes of a level are ordered with literal segments first, so the first target of
    the deepest level is the most literal one.
    """
    best = root.target
    level = [root]
    for segment in segments:
        level = _next_level(level, segment)
        if not level:
            break
        best = next((node.target for node in level if node.target is not None), best)
    return best


def _next_level(level: list[_Node[T]], segment: str) -> list[_Node[T]]:
    found = []
    for node in level:
        literal = node.literals.get(segment)
        if literal is not None:
            found.append(literal)
        if node.parameter is not None:
            found.append(node.parameter)
    return found


def pattern_segments(pattern: str) -> list[str]:
    """Return the segments of a route pattern."""
    return [segment for segment in pattern.split("/") if segment]


def pattern_shape(pattern: str) -> str:
    """Return the pattern with its parameter names left out; equal shapes match alike."""
    segments = pattern_segments(pattern)
    return "/" + "/".join("{}" if segment.startswith("{") else segment for segment in segments)


def split_path(path: str) -> list[str] | None:
    """Return the decoded segments of a request path, or None when it is ambiguous.

    Examples
    --------
    >>> split_path("/yields/7?from=1")
    ['yields', '7']
    >>> split_path("/public/%2e%2e/orders") is None
    True
    """
    path = path.partition("?")[0]
    if not path.startswith("/") or "\\" in path or "#" in path:
        return None
    segments = path.split("/")[1:]
    if segments[-1] == "":
        segments.pop()
    if "%" in path:
        segments = [unquote(segment, errors="replace") for segment in segments]
    return segments if all(map(_is_plain, segments)) else None


def _is_plain(segment: str) -> bool:
    """Return whether every server reads `segment` as one and the same segment."""
    name = segment.partition(";")[0]
    if not name or name in _DOT_SEGMENTS or not segment.isprintable():
        return False
    return "/" not in segment and "\\" not in segment and "%" not in segment
