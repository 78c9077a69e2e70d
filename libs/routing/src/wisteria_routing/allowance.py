"""Retry allowance: bounds the retries of one request across its whole call tree."""

from collections.abc import Hashable

import attrs


@attrs.define
class RetryAllowance:
    """The share of a request's retry allowance that one daemon holds for one call.

    The entry daemon creates it from the route's policy. Each attempt of a child call borrows a
    share and returns the unspent retries with its answer. If the answer is lost, the whole
    share counts as spent.

    Parameters
    ----------
    remaining : int
        Retries available for spending or lending.
    """

    remaining: int
    _lent: dict[Hashable, int] = attrs.Factory(dict)

    def spend(self) -> bool:
        """Consume one retry; return False when none remains."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True

    def lend(self, attempt_id: Hashable) -> int:
        """Lend a share to one attempt of a child call and return its size.

        The share is half of the remaining retries, rounded up: a chain without branches keeps
        retries at every depth, and each further parallel child gets less.

        Raises
        ------
        ValueError
            If that attempt already holds a share.
        """
        if attempt_id in self._lent:
            raise ValueError(f"attempt {attempt_id!r} has borrowed already")
        share = (self.remaining + 1) // 2
        self.remaining -= share
        self._lent[attempt_id] = share
        return share

    def settle(self, attempt_id: Hashable, unspent: int) -> None:
        """Return the unspent retries of an answered attempt to this allowance.

        Repeated answers and those after `write_off` are ignored; the amount is capped at the
        share lent.
        """
        lent = self._lent.pop(attempt_id, 0)
        self.remaining += min(lent, max(0, unspent))

    def write_off(self, attempt_id: Hashable) -> None:
        """Count the share of an attempt whose answer was lost as spent."""
        self._lent.pop(attempt_id, None)

    def close(self) -> int:
        """Return the unspent retries to report to the caller; shares still lent count as spent."""
        unspent, self.remaining = self.remaining, 0
        self._lent.clear()
        return unspent
