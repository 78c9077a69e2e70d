"""Match request paths against route patterns by whole segments."""

from collections.abc import Iterable
from typing import Generic, TypeVar
from urllib.parse import unquote

import attrs

T = TypeVar("T")

_DOT_SEGMENTS = frozenset({".", ".."})


@attrs.define
class _Node(Generic[T]):
    """One segment of the patterns of a method.

    Parameters
    ----------
    target : T or None
        Of the pattern that ends here.
    below : T or None
        Of the pattern that ends here with a slash: the path has to go on.
    """

    target: T | None = None
    below: T | None = None
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
            if is_prefix_only(pattern):
                node.below = target
            else:
                node.target = target
        return cls(roots)

    def find(self, method: str, path: str, fallback: str = "") -> T | None:
        """Return the target of the longest pattern that matches `path`, or None.

        Parameters
        ----------
        method : str
            Method to look under first.
        fallback : str
            Method to look under when that one has no match.
        """
        segments = split_path(path)
        if segments is None:
            return None
        ends_with_slash = path.partition("?")[0].endswith("/")
        for name in (method, fallback):
            root = self.roots.get(name)
            target = _descend(root, segments, ends_with_slash) if root is not None else None
            if target is not None:
                return target
        return None


def _descend(root: _Node[T], segments: list[str], ends_with_slash: bool) -> T | None:
    """Walk all matching branches level by level; the deepest target wins.

    The nodes of a level are ordered with literal segments first, so the first target of
    the deepest level is the most literal one.
    """
    best = root.target
    level = [root]
    for index, segment in enumerate(segments):
        level = _next_level(level, segment)
        if not level:
            break
        goes_on = ends_with_slash or index + 1 < len(segments)
        found = (_read_target(node, goes_on) for node in level)
        best = next((target for target in found if target is not None), best)
    return best


def _read_target(node: _Node[T], goes_on: bool) -> T | None:
    return node.below if goes_on and node.below is not None else node.target


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
    shape = "/" + "/".join("{}" if segment.startswith("{") else segment for segment in segments)
    return f"{shape}/" if is_prefix_only(pattern) else shape


def is_prefix_only(pattern: str) -> bool:
    """Return whether a pattern ends with a slash, so that a path must go on after it."""
    return len(pattern) > 1 and pattern.endswith("/")


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
