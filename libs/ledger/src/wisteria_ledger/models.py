"""Slots, runs and results of the ledger."""

import enum

import attrs


@attrs.frozen
class LedgerSlotId:
    """A hash range of the idempotency keys of one service; a slot whose scope is the service."""

    service: str
    index: int

    @property
    def name(self) -> str:
        """Return the slot's name, as the ownership of slots ranks it."""
        return f"ledger/{self.service}/{self.index}"


@attrs.frozen
class RunKey:
    """What names a request that must not be repeated.

    Parameters
    ----------
    account : str
        Client account; two accounts may use the same key.
    route : str
        Route policy of the request.
    key : str
        Value of the ``Idempotency-Key`` header.
    """

    account: str
    route: str
    key: str


class RunPhase(enum.Enum):
    """How far a run got."""

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
        Name of the request.
    run_id : int
        Name of the run within this ledger.
    body_digest : bytes
        Digest of the request's body.
    phase : RunPhase
        How far the run got.
    answer : bytes or None
        Retained answer of a finished run.
    expires_ms : int or None
        When an ended run is forgotten; None while it is in flight.
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
    """Run the request: call `sent` right before the first byte leaves."""

    run_id: int


@attrs.frozen
class Join:
    """A run of the same request is in flight: wait for its end."""

    run_id: int


@attrs.frozen
class Replay:
    """The request ran before: answer with what it answered."""

    answer: bytes


@attrs.frozen
class RunEnded:
    """From an earlier owner to the heir: how a run ended that was in flight at a hand-over.

    Parameters
    ----------
    service, slot_index : str, int
        Slot of the key.
    account, route, key : str
        Name of the request.
    finished : bool
        False when the outcome stays unknown.
    answer : bytes
        Answer of a finished run; empty when it is not retained.
    retained : bool
        Whether `answer` holds the answer.
    hops : int
        How often the message was passed on, because the slot had moved on.
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
