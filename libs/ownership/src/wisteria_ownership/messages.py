"""Messages between the daemons of one scope, and the slots that they name."""

import enum
from functools import cached_property

import attrs

from wisteria_core import FailureDomain, Vm, VmId


class ScopeKind(enum.Enum):
    """What the VMs of a scope have in common."""

    DOMAIN = "domain"
    SERVICE = "service"


@attrs.frozen
class Scope:
    """The VMs that may hold a slot: those of one failure domain or of one service."""

    kind: ScopeKind
    name: str

    def includes(self, vm: Vm) -> bool:
        """Return whether `vm` stands in the scope."""
        match self.kind:
            case ScopeKind.DOMAIN:
                return vm.failure_domain == self.name
            case ScopeKind.SERVICE:
                return vm.service == self.name


def domain_scope(domain: FailureDomain) -> Scope:
    """Return the scope of the VMs of one failure domain."""
    return Scope(ScopeKind.DOMAIN, domain)


def service_scope(service: str) -> Scope:
    """Return the scope of the VMs of one service."""
    return Scope(ScopeKind.SERVICE, service)


class SlotFamily(enum.Enum):
    """What a slot's holder decides."""

    RATE = "rate"
    LEDGER = "ledger"


@attrs.frozen(cache_hash=True)
class SlotId:
    """Name of a slot.

    Parameters
    ----------
    family : SlotFamily
        Share of an account's rate, or range of idempotency keys of a service.
    name : str
        Client account or service.
    index : int
        Number of the slot within its family, name and scope.
    scope : Scope
        The VMs that may hold it.
    """

    family: SlotFamily
    name: str
    index: int
    scope: Scope

    def __str__(self) -> str:
        return self.key

    @cached_property
    def key(self) -> str:
        """Text form, alike on every daemon."""
        return f"{self.family.value}/{self.name}/{self.index}@{self.scope.name}"


@attrs.frozen
class SlotGrant:
    """A grantee that the receiver of a message may not know from its own list."""

    slot: SlotId
    vm_id: VmId
    incarnation: int
    claim_id: int
    list_version: int


@attrs.frozen
class ActiveSlot:
    """A slot that the sender claims, holds or hands over."""

    slot: SlotId
    claim_id: int
    term: int
    holds: bool


@attrs.frozen
class Hello:
    """A new process, or one that checks on a peer, asks what the peer claims and holds."""

    hello_id: int
    list_version: int


@attrs.frozen
class HelloReply:
    """What the sender claims and holds in the scopes that it shares with the receiver.

    ``claim_count`` is the highest claim id that the sender has used: a grant to an earlier
    claim of a slot that is not active has lapsed.
    """

    recipient_incarnation: int
    hello_id: int
    list_version: int
    claim_count: int
    active: tuple[ActiveSlot, ...]
    grants: tuple[SlotGrant, ...]


@attrs.frozen
class ClaimItem:
    """One slot of a claim."""

    slot: SlotId
    claim_id: int


@attrs.frozen
class Claim:
    """Ask the receiver to let the sender become the holder of the slots."""

    list_version: int
    items: tuple[ClaimItem, ...]


class ClaimOutcome(enum.Enum):
    """Answer to a claim for one slot."""

    GRANTED = "granted"
    HOLDING = "holding"
    WAIT = "wait"


@attrs.frozen
class ClaimAnswer:
    """Answer for one slot; ``grants`` are earlier grantees that must be cleared too."""

    slot: SlotId
    claim_id: int
    outcome: ClaimOutcome
    term: int
    grants: tuple[SlotGrant, ...]


@attrs.frozen
class ClaimReply:
    """Answers to the slots of a claim."""

    recipient_incarnation: int
    list_version: int
    answers: tuple[ClaimAnswer, ...]


@attrs.frozen
class Offer:
    """A holder asks whether the receiver would take over the slots."""

    offer_id: int
    list_version: int
    slots: tuple[SlotId, ...]


@attrs.frozen
class OfferAnswer:
    """Answer for one slot; ``ticket`` is 0 when the offer is refused."""

    slot: SlotId
    ticket: int


@attrs.frozen
class OfferReply:
    """Answers to the slots of an offer."""

    recipient_incarnation: int
    offer_id: int
    list_version: int
    answers: tuple[OfferAnswer, ...]


@attrs.frozen
class HandOver:
    """Make the receiver the holder; valid for one ticket of one incarnation."""

    recipient_incarnation: int
    list_version: int
    slot: SlotId
    ticket: int
    term: int
    payload: bytes


@attrs.frozen
class HandOverReply:
    """Whether the receiver took the slot over; ``claim_id`` names its time as holder."""

    recipient_incarnation: int
    list_version: int
    slot: SlotId
    ticket: int
    accepted: bool
    claim_id: int


@attrs.frozen
class Farewell:
    """The sender's process ends and will not claim, hold or accept a slot again."""

    list_version: int
    grants: tuple[SlotGrant, ...]


Message = (
    Hello
    | HelloReply
    | Claim
    | ClaimReply
    | Offer
    | OfferReply
    | HandOver
    | HandOverReply
    | Farewell
)
