"""Data types of the rate limits: accounts, slices, messages and outcomes."""

import functools

import attrs
import xxhash

from wisteria_core import FailureDomain, Refusal, VmId


@attrs.frozen
class AccountRate:
    """Rate limit of one client account over the whole fleet.

    Parameters
    ----------
    rate : int
        Calls per second.
    burst : int
        Size of the token bucket, in calls.
    """

    account: str
    rate: int = attrs.field(validator=attrs.validators.ge(1))
    burst: int = attrs.field(validator=attrs.validators.ge(1))


@attrs.frozen
class SliceId:
    """Identifies one slice of an account, owned as a slot in the scope of a failure domain."""

    account: str
    domain: FailureDomain
    index: int

    @functools.cached_property
    def key(self) -> int:
        """Return the 63-bit key of the slice in messages."""
        name = f"{self.account}\x00{self.domain}\x00{self.index}"
        return xxhash.xxh3_64_intdigest(name.encode()) >> 1

    @property
    def name(self) -> str:
        """Return the slot name, from which the owner is derived."""
        return f"rate/{self.account}/{self.domain}/{self.index}"


@attrs.frozen
class SliceShare:
    """Share of one slice in the rate and burst of its account.

    Parameters
    ----------
    rate_milli_per_s : int
        Milli-calls per second, equal to micro-calls per millisecond.
    burst_milli : int
        In milli-calls.
    """

    rate_milli_per_s: int
    burst_milli: int


@attrs.frozen
class BorrowItem:
    """Tokens requested from one slice.

    Parameters
    ----------
    slice_key : int
        `SliceId.key`.
    needed_milli : int
        Milli-calls for waiting calls, granted up to the current level.
    reserve_milli : int
        Milli-calls for expected calls, granted up to half of the remaining level.
    """

    slice_key: int
    needed_milli: int
    reserve_milli: int


@attrs.frozen
class LoanReport:
    """State of one loan at the borrower; its amounts never decrease.

    Parameters
    ----------
    slice_key : int
        `SliceId.key`.
    loan_id : int
        `BorrowRequest.request_id` of the granted request.
    spent_milli : int
        Milli-calls spent since the grant.
    returned_milli : int
        Milli-calls returned since the grant.
    """

    slice_key: int
    loan_id: int
    spent_milli: int
    returned_milli: int


@attrs.frozen
class BorrowRequest:
    """Message from an entry daemon to a VM about the slices that VM owns.

    Parameters
    ----------
    borrower : str
        VM; the receiver checks it against the authenticated peer.
    incarnation : int
        Tells the borrower's process from earlier ones on the VM.
    request_id : int
        Increases with each request of the incarnation.
    lease_ms : int
        Lifetime of the loans on the borrower's clock, from sending the request.
    items : tuple of BorrowItem
        Empty if the message only carries reports.
    """

    borrower: str
    incarnation: int
    request_id: int
    lease_ms: int
    items: tuple[BorrowItem, ...] = ()
    reports: tuple[LoanReport, ...] = ()


@attrs.frozen
class Grant:
    """Reply for one slice.

    Parameters
    ----------
    slice_key : int
        `SliceId.key`.
    held : bool
        Whether the VM owns the slice and accepts the lease; otherwise nothing is granted.
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
    """Message from an owner to an entry daemon, sent if the request contained items."""

    incarnation: int
    request_id: int
    grants: tuple[Grant, ...] = ()


@attrs.frozen
class Send:
    """Send `request` to the daemon on `vm_id`, which may be the own VM."""

    vm_id: VmId
    request: BorrowRequest


@attrs.frozen
class Draw:
    """Part of a call's token that was taken from one loan.

    `report_count` counts the loan's reports at that time. The next one states the part as spent;
    from then on it can't be refunded.
    """

    slice_key: int
    loan_id: int
    report_count: int
    amount_milli: int


@attrs.define(eq=False)
class Admitted:
    """The call is admitted; pass this to `refund` if it did not run."""

    account: str
    draws: tuple[Draw, ...] = ()
    refunded: bool = False


@attrs.frozen
class Pending:
    """The call waits for a loan; a `Decided` with its outcome follows by `until_ms`."""

    waiter_id: int
    until_ms: int


@attrs.frozen
class Decided:
    """Outcome of a call that was `Pending`."""

    waiter_id: int
    outcome: Admitted | Refusal


@attrs.frozen
class Step:
    """Requests that the daemon must send, and outcomes of waiting calls."""

    sends: tuple[Send, ...] = ()
    decided: tuple[Decided, ...] = ()
