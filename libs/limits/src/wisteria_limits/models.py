"""Shares, slices, messages and results of the account rates."""

import functools

import attrs
import xxhash

from wisteria_core import FailureDomain, Refusal, VmId


@attrs.frozen
class AccountRate:
    """Rate and burst of one client account over the whole fleet.

    Parameters
    ----------
    account : str
        Name of the client account.
    rate : int
        Calls per second.
    burst : int
        Calls.
    """

    account: str
    rate: int = attrs.field(validator=attrs.validators.ge(1))
    burst: int = attrs.field(validator=attrs.validators.ge(1))


@attrs.frozen
class SliceId:
    """Name of one slice of an account: a slot whose scope is a failure domain."""

    account: str
    domain: FailureDomain
    index: int

    @functools.cached_property
    def key(self) -> int:
        """Return the 63-bit number that stands for the slice in messages."""
        name = f"{self.account}\x00{self.domain}\x00{self.index}"
        return xxhash.xxh3_64_intdigest(name.encode()) >> 1

    @property
    def name(self) -> str:
        """Return the slot's name, as the ownership of slots ranks it."""
        return f"rate/{self.account}/{self.domain}/{self.index}"


@attrs.frozen
class SliceShare:
    """What one slice holds of its account.

    Parameters
    ----------
    rate_milli_per_s : int
        Milli-calls per second, which is micro-calls per millisecond.
    burst_milli : int
        Milli-calls.
    """

    rate_milli_per_s: int
    burst_milli: int


@attrs.frozen
class BorrowItem:
    """Tokens asked of one slice.

    Parameters
    ----------
    slice_key : int
        `SliceId.key` of the slice.
    needed_milli : int
        Milli-calls for calls that are waiting; granted up to the level.
    reserve_milli : int
        Milli-calls ahead of need; granted up to half of what is then left.
    """

    slice_key: int
    needed_milli: int
    reserve_milli: int


@attrs.frozen
class LoanReport:
    """State of one loan on the borrower's side; the figures only rise.

    Parameters
    ----------
    slice_key : int
        Slice that lent.
    loan_id : int
        `BorrowRequest.request_id` of the request that was granted.
    spent_milli : int
        Milli-calls spent since the grant.
    returned_milli : int
        Milli-calls given back since the grant.
    """

    slice_key: int
    loan_id: int
    spent_milli: int
    returned_milli: int


@attrs.frozen
class BorrowRequest:
    """From an entry daemon to one VM, about every slice that it owns.

    Parameters
    ----------
    borrower : str
        VM that asks; the owner checks it against the authenticated peer.
    incarnation : int
        Distinguishes the borrower's process from earlier ones on the same VM.
    request_id : int
        Rises with each request of the incarnation.
    lease_ms : int
        Life of the loans on the borrower's clock, from sending.
    items : tuple of BorrowItem
        Tokens asked for; empty when the message only reports.
    reports : tuple of LoanReport
        What became of earlier loans.
    """

    borrower: str
    incarnation: int
    request_id: int
    lease_ms: int
    items: tuple[BorrowItem, ...] = ()
    reports: tuple[LoanReport, ...] = ()


@attrs.frozen
class Grant:
    """Answer about one slice.

    Parameters
    ----------
    slice_key : int
        Slice that was asked.
    held : bool
        False when the VM does not own the slice (now); nothing is granted then.
    granted_milli : int
        Milli-calls lent.
    left_milli : int
        Level after the grant, in milli-calls.
    """

    slice_key: int
    held: bool
    granted_milli: int
    left_milli: int


@attrs.frozen
class BorrowReply:
    """From an owner to an entry daemon; sent when the request held items."""

    incarnation: int
    request_id: int
    grants: tuple[Grant, ...] = ()


@attrs.frozen
class Send:
    """Action: send `request` to the daemon on `vm_id` (which may be the own VM)."""

    vm_id: VmId
    request: BorrowRequest


@attrs.frozen
class Draw:
    """Part of a call's token that came from one loan, before the loan's next report."""

    slice_key: int
    loan_id: int
    report_count: int
    amount_milli: int


@attrs.define(eq=False)
class Admitted:
    """The call may go on; hand this to `refund` when nothing ran."""

    account: str
    draws: tuple[Draw, ...] = ()
    refunded: bool = False


@attrs.frozen
class Pending:
    """A loan is under way; the call's outcome follows as a `Decided` by `until_ms`."""

    waiter_id: int
    until_ms: int


@attrs.frozen
class Decided:
    """Outcome of a call that was pending."""

    waiter_id: int
    outcome: Admitted | Refusal


@attrs.frozen
class Step:
    """What the daemon must do next: requests to send and calls to let go on or refuse."""

    sends: tuple[Send, ...] = ()
    decided: tuple[Decided, ...] = ()
