"""Match request paths against route patterns by whole segments."""

from collections.abc import Iterable
from typing import Generic, TypeVar
from urllib.parse import unquote

import attrs

T = TypeVar("T")

_DOT_SEGMENTS = frozenset({".", ".."})


@attrs.define
class _Node(Generic[T]):
    """A node of the tree of pattern segments of one method.

    Parameters
    ----------
    target : T or None
        Target of the pattern that ends here.
    prefix_target : T or None
        Target of the pattern that ends here with a slash: it matches only paths with at least
        a slash after this segment.
    """

    target: T | None = None
    prefix_target: T | None = None
    literals: "dict[str, _Node[T]]" = attrs.Factory(dict)
    parameter: "_Node[T] | None" = None

    def child(self, segment: str) -> "_Node[T]":
        """Return the child node for a pattern segment, creating it if missing."""
        if not segment.startswith("{"):
            return self.literals.setdefault(segment, _Node())
        if self.parameter is None:
            self.parameter = _Node()
        return self.parameter


@attrs.frozen
class RouteIndex(Generic[T]):
    """Index of route patterns: a tree of segments for each method."""

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
                node.prefix_target = target
            else:
                node.target = target
        return cls(roots)

    def find(self, method: str, path: str, fallback: str = "", *, decodes: bool = True) -> T | None:
        """Return the target of the longest pattern that matches `path`, or None.

        Parameters
        ----------
        method : str
            Method to look up first.
        fallback : str
            Method to look up if the first has no match.
        decodes : bool
            Whether patterns match the decoded segments of the path, or those that were sent.
        """
        segments = split_path(path, decodes=decodes)
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
    """Return the deepest target on any matching branch, walking the tree level by level.

    Within a level, nodes of literal segments come first, so the first target of the deepest
    level is the most specific one.
    """
    best = root.target
    level = [root]
    for index, segment in enumerate(segments):
        level = _next_level(level, segment)
        if not level:
            break
        has_more = ends_with_slash or index + 1 < len(segments)
        found = (_target_at(node, has_more) for node in level)
        best = next((target for target in found if target is not None), best)
    return best


def _target_at(node: _Node[T], has_more: bool) -> T | None:
    return node.prefix_target if has_more and node.prefix_target is not None else node.target


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
    return [segment for segment in pattern.split("/") if segment]


def pattern_shape(pattern: str) -> str:
    """Return the pattern without parameter names; patterns of equal shape match the same paths."""
    segments = pattern_segments(pattern)
    shape = "/" + "/".join("{}" if segment.startswith("{") else segment for segment in segments)
    return f"{shape}/" if is_prefix_only(pattern) else shape


def is_prefix_only(pattern: str) -> bool:
    """Return whether a pattern matches only paths with at least a slash after its prefix."""
    return len(pattern) > 1 and pattern.endswith("/")


def split_path(path: str, *, decodes: bool = True) -> list[str] | None:
    """Return the segments of a request path, or None when it is ambiguous once it is decoded.

    Parameters
    ----------
    decodes : bool
        Whether the segments are returned decoded, or as they were sent.

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
    decoded = segments
    if "%" in path:
        decoded = [unquote(segment, errors="replace") for segment in segments]
    if not all(map(_is_unambiguous, decoded)):
        return None
    return decoded if decodes else segments


def _is_unambiguous(segment: str) -> bool:
    """Return whether all servers interpret `segment` as the same single segment."""
    name = segment.partition(";")[0]
    if not name or name in _DOT_SEGMENTS or not segment.isprintable():
        return False
    return "/" not in segment and "\\" not in segment and "%" not in segment
