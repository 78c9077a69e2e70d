"""Serialized state of a ledger slot that its owner hands over to its successor."""

import attrs
from cattrs.errors import BaseValidationError
from cattrs.preconf.orjson import make_converter
from orjson import JSONDecodeError


@attrs.frozen
class PackedRun:
    """One run; `finished` is False if its outcome is unknown or it is still in flight."""

    account: str
    route: str
    key: str
    body_digest: bytes
    finished: bool
    answer: bytes | None
    remaining_ms: int


@attrs.frozen
class PackedSlot:
    """Complete state of a slot.

    Parameters
    ----------
    vouches_from_wall_ms : int
        Wall time after which the runs are complete: an unlisted key with a later timestamp has not
        run.
    quarantine_ms : int
        Remaining time in which an opaque key outside the runs may have run.
    runs : tuple of PackedRun
        Runs that ended within the retention or are still in flight.
    """

    vouches_from_wall_ms: int
    quarantine_ms: int
    runs: tuple[PackedRun, ...]


_CONVERTER = make_converter()


def pack(slot: PackedSlot) -> bytes:
    return _CONVERTER.dumps(slot)


def unpack(payload: bytes) -> PackedSlot:
    """Deserialize a slot that `pack` wrote.

    Raises
    ------
    ValueError
        If the payload cannot be decoded.
    """
    try:
        return _CONVERTER.loads(payload, PackedSlot)
    except (BaseValidationError, JSONDecodeError) as error:
        raise ValueError("the hand-over of a ledger slot cannot be read") from error
