"""Messages on a link between two daemons."""

import enum

import attrs

from wisteria_admission import HASH_RANKS, AdmissionLevel
from wisteria_core import Priority, ResultCode, RunState, VmId


class FrameKind(enum.IntEnum):
    """What a frame carries."""

    HELLO = 1
    CALL = 2
    ANSWER = 3
    BODY = 4
    BODY_END = 5
    BODY_ABORT = 6
    CREDIT = 7
    CANCEL = 8
    CONTROL = 9


class FrameFault(enum.Enum):
    """Why a stream of frames can't be decoded any further."""

    VERSION = "unknown protocol version"
    KIND = "unknown frame kind"
    OVERSIZED = "frame larger than allowed"
    GARBLED = "payload can't be decoded"


@attrs.frozen
class Frame:
    """One frame: its kind, the call that it belongs to (0 for none) and its payload.

    Parameters
    ----------
    reserved_bytes : int
        Bytes that count towards the budget until the frame is released.
    is_skipped : bool
        Whether the payload is missing, as there was no memory for it.
    """

    kind: FrameKind
    call_id: int
    payload: bytes
    reserved_bytes: int = 0
    is_skipped: bool = False


@attrs.frozen
class Hello:
    """First message on a link; each side sends one."""

    protocol: int
    vm_id: VmId
    incarnation: int


@attrs.frozen
class CallHead:
    """A call as one daemon forwards it to another; never carries an API key.

    Parameters
    ----------
    headers : tuple of str
        Alternating names and values: ``(name, value, name, value, ...)``.
    key_id : str
        Id of the key record, by which queued work ends when the key is withdrawn; empty on
        open routes.
    rank : int
        Shedding rank of the request and all its child calls; a higher rank is shed earlier.
    remaining_ms : int
        Time left until the deadline when the frame was sent, in milliseconds.
    allowance : int
        Retries that the receiver may spend on this call and its child calls.
    owner_run : bool
        True when the owner of the idempotency key has already recorded the run.
    key_digest : str
        SHA-256 of the API key in hexadecimal; empty on open routes.
    hops : int
        Number of calls above this one in the call chain.
    long : bool
        True for a long download, which may exceed the deadline as long as it does not stall
        for `stall_ms`.
    weight : int
        Weight of the account in fair queueing.
    repeatable : bool
        True when the call may be executed more than once.
    represented : int
        Number of requests that this one counts for: itself and those that its entry daemon
        has shed since the account's previous request.
    instance : str
        Backend server process that must run the call; empty for any.
    rank_span : int
        Number of ranks over which requests of this kind are spread, see `ChainLevels.rank_span`.
    """

    request_id: str
    route_id: str
    service: str
    method: str
    target: str
    headers: tuple[str, ...]
    account: str
    key_id: str
    priority: Priority
    rank: int
    remaining_ms: int
    allowance: int
    idempotency_key: str
    config_version: int
    body: bytes = b""
    owner_run: bool = False
    key_digest: str = ""
    hops: int = 0
    long: bool = False
    stall_ms: int = 0
    weight: int = 1
    repeatable: bool = False
    represented: int = 1
    instance: str = ""
    rank_span: int = HASH_RANKS

    def for_attempt(self, allowance: int, remaining_ms: int, instance: str) -> "CallHead":
        """Return a copy for one attempt; `attrs.evolve` takes twice as long."""
        return CallHead(
            self.request_id,
            self.route_id,
            self.service,
            self.method,
            self.target,
            self.headers,
            self.account,
            self.key_id,
            self.priority,
            self.rank,
            remaining_ms,
            allowance,
            self.idempotency_key,
            self.config_version,
            self.body,
            self.owner_run,
            self.key_digest,
            self.hops,
            self.long,
            self.stall_ms,
            self.weight,
            self.repeatable,
            self.represented,
            instance,
            self.rank_span,
        )


@attrs.frozen
class AnswerHead:
    """The head of an answer, with the complete body when that is small.

    Parameters
    ----------
    spent : int
        Retries that the call and its child calls have spent.
    in_flight, limit : int
        Calls that are running at the serving daemon, and its concurrency limit.
    child_failed : bool
        True when a child call of this one failed, so that the failure is not this service's own.
    levels : tuple of AdmissionLevel
        Level of the serving daemon, followed by those of the services that it called for this
        request.
    complete : bool
        True when `body` is the complete body; otherwise body frames follow.
    leaving : bool
        True when the serving daemon takes no new work.
    server_leaving : bool
        True when the process of the backend server is leaving, whichever daemon serves it.
    """

    status: int
    headers: tuple[str, ...] = ()
    code: ResultCode = ResultCode.OK
    run_state: RunState = RunState.RAN
    reason: str = ""
    retry_after_ms: int | None = None
    spent: int = 0
    in_flight: int = 0
    limit: int = 0
    body: bytes = b""
    complete: bool = True
    leaving: bool = False
    levels: tuple[AdmissionLevel, ...] = ()
    child_failed: bool = False
    server_leaving: bool = False
