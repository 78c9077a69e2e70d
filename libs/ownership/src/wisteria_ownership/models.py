"""State of a slot on one daemon, its phases, and the actions returned to the daemon."""

import enum

import attrs

from wisteria_core import VmId

from .const import NO_VERSION
from .messages import Message, SlotId


@attrs.frozen
class Grant:
    """Permission to hold a slot, given to a claimant or to the successor in a hand-over.

    Parameters
    ----------
    incarnation : int
        Incarnation of the VM that holds the grant.
    claim_id : int
        The claim that was granted; later claims of the same VM need a new grant.
    list_version : int
        A version of the VM list that contains the grantee.
    """

    incarnation: int
    claim_id: int
    list_version: int


@attrs.define
class Free:
    """The daemon neither holds nor claims the slot."""


@attrs.define
class Claiming:
    """The daemon claims the slot; VMs move from ``pending`` to ``cleared`` as they grant it."""

    claim_id: int
    pending: set[VmId]
    due_ms: int
    backoff_ms: int
    cleared: set[VmId] = attrs.field(factory=set)


@attrs.define
class Waiting:
    """Every VM has granted the claim; leases of earlier holders are expiring."""

    claim_id: int
    until_ms: int
    term: int


@attrs.define
class Holding:
    """The daemon decides for the slot; ``offer_id`` is 0 while no offer is open."""

    claim_id: int
    term: int
    offer_due_ms: int
    backoff_ms: int
    offer_id: int = 0
    successor: VmId | None = None


@attrs.define
class Transferring:
    """The daemon has stopped deciding and hands the slot over."""

    claim_id: int
    term: int
    successor: VmId
    successor_incarnation: int
    ticket: int
    list_version: int
    due_ms: int
    backoff_ms: int
    payload: bytes | None = None


Phase = Free | Claiming | Waiting | Holding | Transferring


@attrs.define
class HolderHint:
    """The last known holder, and when to ask it again."""

    vm_id: VmId
    check_ms: int


@attrs.frozen
class Ticket:
    """Commitment to accept one hand-over from one incarnation of a holder."""

    sender: VmId
    incarnation: int
    offer_id: int
    number: int


@attrs.define
class SlotRecord:
    """State of one slot: own phase, grants given to other VMs, and hand-over tickets."""

    slot: SlotId
    phase: Phase = attrs.field(factory=Free)
    term: int = 0
    granted: dict[VmId, Grant] = attrs.field(factory=dict)
    hint: HolderHint | None = None
    open_ticket: Ticket | None = None
    accepted: Ticket | None = None

    @property
    def is_active(self) -> bool:
        """Whether the daemon is claiming, holding or handing over the slot."""
        return not isinstance(self.phase, Free)

    @property
    def claim_id(self) -> int:
        """Id of the claim or hand-over that the current phase is based on, 0 if free."""
        return 0 if isinstance(self.phase, Free) else self.phase.claim_id


@attrs.define
class Peer:
    """Known state of another VM's process; ``farewell`` is the last incarnation that ended."""

    incarnation: int = NO_VERSION
    farewell: int = NO_VERSION
    reachable: bool = True
    hello_answered: bool = False
    hello_due_ms: int = 0
    hello_backoff_ms: int = 0

    @property
    def process_has_ended(self) -> bool:
        """Whether the newest known incarnation has announced its end."""
        return self.farewell >= 0 and self.farewell >= self.incarnation


class ReleaseReason(enum.Enum):
    """Why a daemon stopped deciding for a slot."""

    HAND_OVER = "hand-over"
    FENCED = "fenced"
    NOT_WANTED = "not wanted"
    REMOVED = "removed from the list"
    NO_SUCCESSOR = "no heir"
    STOP_LIMIT = "stop limit"
    CONFLICT = "conflict"


class AuditEvent(enum.Enum):
    """Events that the audit trail records."""

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
    """Send `message` to the daemon of `vm_id`; loss, delay and duplication are tolerated."""

    vm_id: VmId
    message: Message


@attrs.frozen
class Acquired:
    """The daemon may decide for `slot` from now on.

    Parameters
    ----------
    slot : SlotId
        Slot that was acquired.
    term : int
        Number that increases with each change of holder known to this daemon.
    payload : bytes or None
        State handed over by the previous holder. None after a claim, when the daemon must
        start from the safe state.
    """

    slot: SlotId
    term: int
    payload: bytes | None


@attrs.frozen
class Released:
    """The daemon must stop deciding for `slot`.

    After the reason ``HAND_OVER``, the daemon must call ``supply_payload`` for the slot.
    """

    slot: SlotId
    reason: ReleaseReason


@attrs.frozen
class AuditEntry:
    """Entry of the audit trail; ``slot`` is None if the event concerns all slots."""

    at_ms: int
    event: AuditEvent
    slot: SlotId | None = None
    detail: str = ""


Action = Send | Acquired | Released | AuditEntry
