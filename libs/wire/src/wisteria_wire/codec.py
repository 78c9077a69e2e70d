"""Cap'n Proto encoding of the heads of calls and answers."""

import struct
from importlib import resources
from typing import Any

import attrs
import capnp

from wisteria_admission import AdmissionLevel
from wisteria_core import Priority, ResultCode, RunState, VmId

from .const import MAX_FRAME_BYTES
from .models import AnswerHead, CallHead, FrameFault, Hello

_SCHEMA_FILE = resources.files("wisteria_wire") / "wire.capnp"
_TRAVERSAL_LIMIT_WORDS = MAX_FRAME_BYTES
_RUN_STATES = (RunState.RAN, RunState.NOT_RUN, RunState.UNKNOWN)
_RUN_STATE_INDEXES = {state: index for index, state in enumerate(_RUN_STATES)}
_NO_RETRY_AFTER = -1
_WORD_BYTES = 8
_MAX_INT32 = 2**31 - 1
_MAX_UINT16 = 2**16 - 1

capnp.remove_import_hook()
_schema: Any = capnp.load(str(_SCHEMA_FILE))


def _map_fields(model: type[Any], struct: Any) -> tuple[tuple[str, Any], ...]:
    """Return the names of a model's fields, each with its field descriptor in the schema."""
    mapping = []
    for field in attrs.fields(model):
        first, *others = field.name.split("_")
        name = first + "".join(word.capitalize() for word in others)
        mapping.append((field.name, struct.schema.fields[name]))
    return tuple(mapping)


_CALL_FIELDS = _map_fields(CallHead, _schema.CallHead)
_ANSWER_FIELDS = _map_fields(AnswerHead, _schema.AnswerHead)
_LEVEL_FIELDS = _map_fields(AdmissionLevel, _schema.AdmissionLevel)


def _read_fields(message: Any, fields: tuple[tuple[str, Any], ...]) -> dict[str, Any]:
    """Return a message's fields by descriptor; reading them by name takes four times as long."""
    read = message._get_by_field
    return {name: read(field) for name, field in fields}


def _open_message(struct: Any, payload: bytes) -> Any:
    return struct.from_bytes(payload, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS)


def encode_hello(hello: Hello) -> bytes:
    message = _schema.Hello.new_message(
        protocol=hello.protocol, vmId=hello.vm_id, incarnation=hello.incarnation
    )
    return bytes(message.to_bytes())


def decode_hello(payload: bytes) -> Hello | FrameFault:
    """Decode a hello, or return the fault of a malformed `payload`."""
    try:
        with _open_message(_schema.Hello, payload) as message:
            return Hello(message.protocol, VmId(message.vmId), message.incarnation)
    except (capnp.KjException, ValueError):
        return FrameFault.GARBLED


def encode_call(head: CallHead) -> bytes:
    return bytes(_build_call(head).to_bytes())


def encode_long_call(head: CallHead) -> list[bytes]:
    """Return the parts of an encoded call; joining them would copy its body once more."""
    segments = [bytes(segment) for segment in _build_call(head).to_segments()]
    words = [len(segments) - 1, *(len(segment) // _WORD_BYTES for segment in segments)]
    table = struct.pack(f"<{len(words)}I", *words)
    return [table + bytes(-len(table) % _WORD_BYTES), *segments]


def _build_call(head: CallHead) -> Any:
    message = _schema.CallHead.new_message()
    message.requestId = head.request_id
    message.routeId = head.route_id
    message.service = head.service
    message.method = head.method
    message.target = head.target
    message.headers = head.headers
    message.account = head.account
    message.keyId = head.key_id
    message.priority = int(head.priority)
    message.rank = head.rank
    message.remainingMs = max(head.remaining_ms, 0)
    message.allowance = head.allowance
    message.idempotencyKey = head.idempotency_key
    message.configVersion = head.config_version
    message.body = head.body
    message.ownerRun = head.owner_run
    message.keyDigest = head.key_digest
    message.hops = head.hops
    message.long = head.long
    message.stallMs = head.stall_ms
    message.weight = head.weight
    message.repeatable = head.repeatable
    message.represented = head.represented
    message.instance = head.instance
    message.rankSpan = head.rank_span
    return message


def decode_call(payload: bytes) -> CallHead | FrameFault:
    """Decode a call, or return the fault of a malformed `payload`."""
    try:
        with _open_message(_schema.CallHead, payload) as message:
            values = _read_fields(message, _CALL_FIELDS)
            headers = tuple(values["headers"])
            if len(headers) % 2:
                return FrameFault.GARBLED
            values["headers"] = headers
            values["priority"] = Priority(values["priority"])
            values["body"] = bytes(values["body"])
            return CallHead(**values)
    except (capnp.KjException, ValueError):
        return FrameFault.GARBLED


def encode_answer(head: AnswerHead) -> bytes:
    message = _schema.AnswerHead.new_message()
    message.status = head.status
    message.headers = head.headers
    message.code = int(head.code)
    message.runState = _RUN_STATE_INDEXES[head.run_state]
    message.reason = head.reason
    if head.retry_after_ms is not None:
        message.retryAfterMs = min(head.retry_after_ms, _MAX_INT32)
    message.spent = head.spent
    message.inFlight = min(head.in_flight, _MAX_UINT16)
    message.limit = min(head.limit, _MAX_UINT16)
    message.body = head.body
    message.complete = head.complete
    message.leaving = head.leaving
    message.childFailed = head.child_failed
    message.serverLeaving = head.server_leaving
    if head.levels:
        _write_levels(message.init("levels", len(head.levels)), head.levels)
    return bytes(message.to_bytes())


def decode_answer(payload: bytes) -> AnswerHead | FrameFault:
    """Decode the head of an answer, or return the fault of a malformed `payload`."""
    try:
        with _open_message(_schema.AnswerHead, payload) as message:
            values = _read_fields(message, _ANSWER_FIELDS)
            headers = tuple(values["headers"])
            if len(headers) % 2 or values["run_state"] >= len(_RUN_STATES):
                return FrameFault.GARBLED
            values["headers"] = headers
            values["code"] = ResultCode(values["code"])
            values["run_state"] = _RUN_STATES[values["run_state"]]
            if values["retry_after_ms"] == _NO_RETRY_AFTER:
                values["retry_after_ms"] = None
            values["body"] = bytes(values["body"])
            values["levels"] = tuple(
                AdmissionLevel(**_read_fields(entry, _LEVEL_FIELDS)) for entry in values["levels"]
            )
            return AnswerHead(**values)
    except (capnp.KjException, ValueError):
        return FrameFault.GARBLED


def _write_levels(builders: Any, levels: tuple[AdmissionLevel, ...]) -> None:
    for builder, level in zip(builders, levels, strict=True):
        builder.service = level.service
        builder.vmId = level.vm_id
        builder.threshold = level.threshold
        builder.excessMilli = level.excess_milli
        builder.ageMs = level.age_ms
        builder.workMs = level.work_ms
