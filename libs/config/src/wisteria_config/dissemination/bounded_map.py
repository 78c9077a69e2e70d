"""A mapping of bounded size that drops its oldest entries."""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Generic, TypeVar

import attrs

K = TypeVar("K")
V = TypeVar("V")


@attrs.define
class BoundedMap(Generic[K, V]):
    """Keeps the entries that were set most recently.

    Parameters
    ----------
    capacity : int
        Maximum number of entries.
    """

    capacity: int
    _entries: "OrderedDict[K, V]" = attrs.field(factory=OrderedDict)

    def __setitem__(self, key: K, value: V) -> None:
        self._entries[key] = value
        self._entries.move_to_end(key)
        if len(self._entries) > self.capacity:
            self._entries.popitem(last=False)

    def __getitem__(self, key: K) -> V:
        return self._entries[key]

    def __contains__(self, key: object) -> bool:
        return key in self._entries

    def __iter__(self) -> Iterator[K]:
        return iter(self._entries)

    def __len__(self) -> int:
        return len(self._entries)
