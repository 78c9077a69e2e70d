"""Slots, the phases that a daemon goes through for each, and the actions it asks for."""

import enum

import attrs

from wisteria_core import VmId

from .const import NO_VERSION
from .messages import Message, SlotId


@attrs.frozen
class Grant:
    """A claimant that this daemon let pass, or an heir that it handed the slot to.

    Parameters
    ----------
    incarnation : int
        Incarnation of the grantee.
    claim_id : int
        The claim that was granted; the grantee's later claims ask anew.
    list_version : int
        A version of the VM list that names the grantee.
    """

    incarnation: int
    claim_id: int
    list_version: int


@attrs.define
class Free:
    """The daemon neither holds nor seeks the slot."""


@attrs.define
class Claiming:
    """The daemon asks the other VMs of the scope for the slot."""

    claim_id: int
    pending: set[VmId]
    due_ms: int
    backoff_ms: int
    cleared: set[VmId] = attrs.field(factory=set)


@attrs.define
class Waiting:
    """Every VM has cleared the claim; leases of earlier holders run out."""

    claim_id: int
    until_ms: int
    term: int


@attrs.define
class Holding:
    """The daemon decides for the slot. ``offer_id`` is 0 while no offer is open."""

    claim_id: int
    term: int
    offer_due_ms: int
    backoff_ms: int
    offer_id: int = 0
    heir: VmId | None = None


@attrs.define
class Transferring:
    """The daemon has stopped deciding and hands the slot to an heir."""

    claim_id: int
    term: int
    heir: VmId
    heir_incarnation: int
    ticket: int
    list_version: int
    due_ms: int
    backoff_ms: int
    payload: bytes | None = None


Phase = Free | Claiming | Waiting | Holding | Transferring


@attrs.define
class HolderHint:
    """The VM that was last heard to hold a slot, and when to ask it again."""

    vm_id: VmId
    check_ms: int


@attrs.frozen
class Ticket:
    """The promise to accept one hand-over from one incarnation of a holder."""

    sender: VmId
    incarnation: int
    offer_id: int
    number: int


@attrs.define
class SlotRecord:
    """What a daemon knows of one slot."""

    slot: SlotId
    phase: Phase = attrs.field(factory=Free)
    term: int = 0
    granted: dict[VmId, Grant] = attrs.field(factory=dict)
    hint: HolderHint | None = None
    expected: Ticket | None = None
    accepted: Ticket | None = None

    @property
    def is_active(self) -> bool:
        """Whether the daemon claims, holds or hands over the slot."""
        return not isinstance(self.phase, Free)

    @property
    def claim_id(self) -> int:
        """Id of the claim or hand-over that the phase rests on, 0 when free."""
        return 0 if isinstance(self.phase, Free) else self.phase.claim_id


@attrs.define
class Peer:
    """What a daemon knows of another VM's process."""

    incarnation: int = NO_VERSION
    farewell: int = NO_VERSION
    reachable: bool = True
    heard: bool = False
    hello_due_ms: int = 0
    hello_backoff_ms: int = 0

    @property
    def has_said_farewell(self) -> bool:
        """Whether the newest known incarnation has ended."""
        return self.farewell >= 0 and self.farewell >= self.incarnation


class ReleaseReason(enum.Enum):
    """Why a daemon stopped deciding for a slot."""

    HAND_OVER = "hand-over"
    FENCED = "fenced"
    NOT_WANTED = "not wanted"
    REMOVED = "removed from the list"
    NO_HEIR = "no heir"
    STOP_LIMIT = "stop limit"
    CONFLICT = "conflict"


class AuditEvent(enum.Enum):
    """Kinds of change that the audit trail records."""

    CLAIM_STARTED = "claim started"
    CLAIM_YIELDED = "claim yielded"
    CLAIM_CLEARED = "claim cleared"
    ACQUIRED = "acquired"
    RECEIVED = "received"
    OFFERED = "offered"
    RELEASED = "released"
    HANDED_OVER = "handed over"
    HAND_OVER_REFUSED = "hand-over refused"
    HAND_OVER_UNRESOLVED = "hand-over unresolved"
    LATE_HAND_OVER_REFUSED = "late hand-over refused"
    CONFLICT = "conflict"
    FENCED = "fenced"
    SCOPE_HEARD = "scope heard"
    DISMISSED = "dismissed"
    STOP_STARTED = "stop started"
    STOP_FINISHED = "stop finished"


@attrs.frozen
class Send:
    """Send `message` to the daemon of `vm_id`; loss, delay and doubling are tolerated."""

    vm_id: VmId
    message: Message


@attrs.frozen
class Acquired:
    """The daemon may decide for `slot` from now on.

    Parameters
    ----------
    slot : SlotId
        The slot.
    term : int
        Rises with each change of holder that this daemon knows of.
    payload : bytes or None
        What the previous holder handed over; None after a claim: start from the safe state.
    """

    slot: SlotId
    term: int
    payload: bytes | None


@attrs.frozen
class Released:
    """The daemon must not decide for `slot` any more.

    With the reason ``HAND_OVER`` the daemon must call ``supply_payload`` for the slot.
    """

    slot: SlotId
    reason: ReleaseReason


@attrs.frozen
class AuditEntry:
    """One line of the audit trail; ``slot`` is None when it concerns all slots."""

    at_ms: int
    event: AuditEvent
    slot: SlotId | None = None
    detail: str = ""


Action = Send | Acquired | Released | AuditEntry
