"""Slots, runs and outcomes of the ledger."""

import enum

import attrs


@attrs.frozen
class LedgerSlotId:
    """A hash range of a service's idempotency keys, owned by one of its VMs."""

    service: str
    index: int

    @property
    def name(self) -> str:
        """Family, service and index."""
        return f"ledger/{self.service}/{self.index}"


@attrs.frozen
class RunKey:
    """Identity of a request that must not be repeated.

    Parameters
    ----------
    account : str
        Client account; different accounts may use the same key.
    route : str
        Route of the request.
    key : str
        Value of the ``Idempotency-Key`` header.
    """

    account: str
    route: str
    key: str


class RunPhase(enum.Enum):
    """Progress of a run."""

    RECORDED = "recorded"
    SENT = "sent"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@attrs.define
class Run:
    """One entry of the ledger.

    Parameters
    ----------
    slot : LedgerSlotId
        Slot of the key.
    run_key : RunKey
        Identity of the request.
    run_id : int
        Number of the run within this ledger.
    body_digest : bytes
        Digest of the request's body.
    phase : RunPhase
        Progress of the run.
    answer : bytes or None
        Retained answer of a finished run.
    expires_ms : int or None
        Time at which an ended run is forgotten; None while in flight.
    """

    slot: LedgerSlotId
    run_key: RunKey
    run_id: int
    body_digest: bytes
    phase: RunPhase = RunPhase.RECORDED
    answer: bytes | None = None
    expires_ms: int | None = None


@attrs.frozen
class Start:
    """Run the request; call `sent` immediately before writing the first byte."""

    run_id: int


@attrs.frozen
class Join:
    """The same request is in flight; wait for its end."""

    run_id: int


@attrs.frozen
class Replay:
    """The request has run; return its answer."""

    answer: bytes


@attrs.frozen
class RunEnded:
    """Tells the new owner that a run in flight at the hand-over has ended.

    Parameters
    ----------
    service, slot_index : str, int
        Slot of the key.
    account, route, key : str
        Identity of the request.
    finished : bool
        False if the outcome is unknown.
    answer : bytes
        Answer of a finished run; empty if it is not retained.
    retained : bool
        Whether `answer` contains the answer.
    hops : int
        Number of forwards because the slot had changed owner.
    """

    service: str
    slot_index: int
    account: str
    route: str
    key: str
    finished: bool
    answer: bytes = b""
    retained: bool = False
    hops: int = 0
