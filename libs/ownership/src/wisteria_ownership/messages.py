"""Identifiers of slots, and the messages that daemons of one scope exchange about them."""

import enum
from functools import cached_property

import attrs

from wisteria_core import FailureDomain, Vm, VmId


class ScopeKind(enum.Enum):
    """Property that the VMs of a scope share."""

    DOMAIN = "domain"
    SERVICE = "service"


@attrs.frozen
class Scope:
    """The VMs that may hold a slot: those of one failure domain or of one service."""

    kind: ScopeKind
    name: str

    def includes(self, vm: Vm) -> bool:
        match self.kind:
            case ScopeKind.DOMAIN:
                return vm.failure_domain == self.name
            case ScopeKind.SERVICE:
                return vm.service == self.name


def domain_scope(domain: FailureDomain) -> Scope:
    return Scope(ScopeKind.DOMAIN, domain)


def service_scope(service: str) -> Scope:
    return Scope(ScopeKind.SERVICE, service)


class SlotFamily(enum.Enum):
    """Kind of decision that the holder of a slot makes."""

    RATE = "rate"
    LEDGER = "ledger"


@attrs.frozen(cache_hash=True)
class SlotId:
    """Identifier of a slot, the unit of ownership.

    Parameters
    ----------
    family : SlotFamily
        ``RATE`` for a share of a client account's rate, ``LEDGER`` for a range of the
        idempotency keys of a service.
    name : str
        Client account or service.
    index : int
        Index of the slot within its family, name and scope.
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
        """Text form, equal on every daemon."""
        return f"{self.family.value}/{self.name}/{self.index}@{self.scope.name}"


@attrs.frozen
class SlotGrant:
    """A grant to a VM that may be missing from the receiver's older VM list."""

    slot: SlotId
    vm_id: VmId
    incarnation: int
    claim_id: int
    list_version: int


@attrs.frozen
class ActiveSlot:
    """Slot that the sender claims, holds or hands over."""

    slot: SlotId
    claim_id: int
    term: int
    holds: bool


@attrs.frozen
class Hello:
    """Asks a peer which slots it claims and holds, after a start or to refresh."""

    hello_id: int
    list_version: int


@attrs.frozen
class HelloReply:
    """Slots that the sender claims and holds in the scopes that it shares with the receiver.

    ``claim_count`` is the highest claim id that the sender has used. A grant up to that id has
    lapsed if the slot is not in ``active``.
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
    """Asks the receiver to grant the slots."""

    list_version: int
    items: tuple[ClaimItem, ...]


class ClaimOutcome(enum.Enum):
    """Outcome of a claim for one slot."""

    GRANTED = "granted"
    HOLDING = "holding"
    WAIT = "wait"


@attrs.frozen
class ClaimAnswer:
    """Answer for one slot; ``grants`` lists earlier grantees that must grant it as well."""

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
    """A holder's offer to hand slots over."""

    offer_id: int
    list_version: int
    slots: tuple[SlotId, ...]


@attrs.frozen
class OfferAnswer:
    """Answer for one slot; ``ticket`` 0 refuses the offer."""

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
    """Transfers a slot to the receiver; valid for one ticket of one incarnation."""

    recipient_incarnation: int
    list_version: int
    slot: SlotId
    ticket: int
    term: int
    payload: bytes


@attrs.frozen
class HandOverReply:
    """Whether the successor took the slot over; ``claim_id`` identifies its ownership."""

    recipient_incarnation: int
    list_version: int
    slot: SlotId
    ticket: int
    accepted: bool
    claim_id: int


@attrs.frozen
class Farewell:
    """Announces that the sender's process ends and will not claim, hold or accept a slot again."""

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
