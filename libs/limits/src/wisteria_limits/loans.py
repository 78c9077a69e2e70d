"""Loans of one account at the borrower."""

import attrs

from wisteria_core import VmId

from .models import Draw, LoanReport


@attrs.define
class HeldLoan:
    """Tokens borrowed from one slice.

    Parameters
    ----------
    slice_key, loan_id : int
        Slice, and id of the granted request.
    vm_id : VmId
        Owner that granted the loan.
    remaining_milli : int
        Milli-calls left to spend.
    expires_ms : int
        Expiry on the local clock; the lease starts when the request is sent.
    report_count : int
        Reports sent; a token spent before the last report can't be refunded.
    """

    slice_key: int
    loan_id: int
    vm_id: VmId
    remaining_milli: int
    expires_ms: int
    spent_milli: int = 0
    returned_milli: int = 0
    unreported_milli: int = 0
    report_count: int = 0


@attrs.define
class HeldLoans:
    """All loans of one account; the oldest is spent first."""

    total_milli: int = 0
    unreported_milli: int = 0
    _loans: dict[tuple[int, int], HeldLoan] = attrs.field(factory=dict)

    def held(self) -> bool:
        """Return whether any loan is held or has a report due."""
        return bool(self._loans)

    def add(self, loan: HeldLoan) -> None:
        self._loans[(loan.slice_key, loan.loan_id)] = loan
        self.total_milli += loan.remaining_milli

    def draw(self, now_ms: int, amount_milli: int) -> tuple[Draw, ...] | None:
        """Spend exactly `amount_milli` and return the draws, or None if less is held."""
        self.expire(now_ms)
        if self.total_milli < amount_milli:
            return None
        draws = []
        missing = amount_milli
        for loan in self._loans.values():
            part = min(loan.remaining_milli, missing)
            if not part:
                continue
            loan.remaining_milli -= part
            loan.spent_milli += part
            self._add_unreported(loan, part)
            draws.append(Draw(loan.slice_key, loan.loan_id, loan.report_count, part))
            missing -= part
            if not missing:
                break
        self.total_milli -= amount_milli
        return tuple(draws)

    def undo_draws(self, now_ms: int, draws: tuple[Draw, ...]) -> int:
        """Undo draws from loans not expired or reported since; return milli-calls restored."""
        self.expire(now_ms)
        restored = 0
        for draw in draws:
            loan = self._loans.get((draw.slice_key, draw.loan_id))
            if loan is None or loan.report_count != draw.report_count:
                continue
            loan.remaining_milli += draw.amount_milli
            loan.spent_milli -= draw.amount_milli
            self._add_unreported(loan, -draw.amount_milli)
            restored += draw.amount_milli
        self.total_milli += restored
        return restored

    def return_tokens(self, now_ms: int, amount_milli: int) -> dict[int, int]:
        """Mark up to `amount_milli` as returned, to be sent with the next reports.

        Returns the milli-calls by slice key.
        """
        self.expire(now_ms)
        returned: dict[int, int] = {}
        for loan in reversed(self._loans.values()):
            part = min(loan.remaining_milli, amount_milli)
            loan.remaining_milli -= part
            loan.returned_milli += part
            self._add_unreported(loan, part)
            amount_milli -= part
            self.total_milli -= part
            returned[loan.slice_key] = returned.get(loan.slice_key, 0) + part
        return returned

    def expire(self, now_ms: int) -> None:
        """Remove expired loans together with their unspent tokens."""
        ended = [key for key, loan in self._loans.items() if loan.expires_ms <= now_ms]
        for key in ended:
            loan = self._loans.pop(key)
            self.total_milli -= loan.remaining_milli
            self.unreported_milli -= loan.unreported_milli

    def owners_to_report(self) -> list[VmId]:
        """Return the owners with a report due, by their oldest such loan."""
        due = (loan.vm_id for loan in self._loans.values() if loan.unreported_milli)
        return list(dict.fromkeys(due))

    def take_reports(self, vm_id: VmId) -> tuple[LoanReport, ...]:
        """Return one owner's due reports, mark them as sent and remove used-up loans."""
        due = [loan for loan in self._loans.values() if loan.unreported_milli]
        reports = []
        for loan in due:
            if loan.vm_id != vm_id:
                continue
            reports.append(
                LoanReport(loan.slice_key, loan.loan_id, loan.spent_milli, loan.returned_milli)
            )
            self._add_unreported(loan, -loan.unreported_milli)
            loan.report_count += 1
            if not loan.remaining_milli:
                del self._loans[(loan.slice_key, loan.loan_id)]
        return tuple(reports)

    def clear(self) -> None:
        self._loans.clear()
        self.total_milli = 0
        self.unreported_milli = 0

    def _add_unreported(self, loan: HeldLoan, amount_milli: int) -> None:
        loan.unreported_milli += amount_milli
        self.unreported_milli += amount_milli
