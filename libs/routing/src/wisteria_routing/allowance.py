"""Retry allowance: one bound on the retries of a request over its whole tree of calls."""

from collections.abc import Hashable

import attrs


@attrs.define
class RetryAllowance:
    """The part of a request's allowance that one daemon holds for one call.

    The entry mints it from the route's policy. Each attempt of a child call borrows a part
    and returns with its answer what it did not spend; what a lost answer had borrowed is spent.

    Parameters
    ----------
    remaining : int
        Retries at hand.
    """

    remaining: int
    _lent: dict[Hashable, int] = attrs.Factory(dict)

    def spend(self) -> bool:
        """Take one retry; return False when none is at hand."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True

    def lend(self, attempt_id: Hashable) -> int:
        """Lend a part to one attempt of a child call and return it.

        Half of what is at hand, rounded up: an only child of a chain gets most of it, and
        parallel children get less one after the other.

        Raises
        ------
        ValueError
            If that attempt has borrowed already.
        """
        if attempt_id in self._lent:
            raise ValueError(f"attempt {attempt_id!r} has borrowed already")
        part = (self.remaining + 1) // 2
        self.remaining -= part
        self._lent[attempt_id] = part
        return part

    def settle(self, attempt_id: Hashable, unspent: int) -> None:
        """Take back what an answered attempt has not spent.

        A second answer, one that comes after `write_off`, and more than was lent add nothing.
        """
        lent = self._lent.pop(attempt_id, 0)
        self.remaining += min(lent, max(0, unspent))

    def write_off(self, attempt_id: Hashable) -> None:
        """Count what a lost attempt had borrowed as spent."""
        self._lent.pop(attempt_id, None)

    def close(self) -> int:
        """Return the unspent part for the own answer; what is still lent counts as spent."""
        unspent, self.remaining = self.remaining, 0
        self._lent.clear()
        return unspent
