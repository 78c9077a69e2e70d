"""What an owner of a ledger slot tells its heir."""

import attrs
from cattrs.errors import BaseValidationError
from cattrs.preconf.orjson import make_converter
from orjson import JSONDecodeError


@attrs.frozen
class PackedRun:
    """One run; `finished` is False where the outcome is not known (yet)."""

    account: str
    route: str
    key: str
    body_digest: bytes
    finished: bool
    answer: bytes | None
    remaining_ms: int


@attrs.frozen
class PackedSlot:
    """A whole slot.

    Parameters
    ----------
    vouches_from_wall_ms : int
        Keys born after it, by their own time, that are not among the runs did not run.
    quarantine_ms : int
        Rest of the time in which opaque keys are not vouched for.
    runs : tuple of PackedRun
        Runs that are remembered, or were in flight.
    """

    vouches_from_wall_ms: int
    quarantine_ms: int
    runs: tuple[PackedRun, ...]


_CONVERTER = make_converter()


def pack(slot: PackedSlot) -> bytes:
    """Return the slot as bytes."""
    return _CONVERTER.dumps(slot)


def unpack(payload: bytes) -> PackedSlot:
    """Return the slot that `pack` wrote.

    Raises
    ------
    ValueError
        If the payload cannot be read.
    """
    try:
        return _CONVERTER.loads(payload, PackedSlot)
    except (BaseValidationError, JSONDecodeError) as error:
        raise ValueError("the hand-over of a ledger slot cannot be read") from error
