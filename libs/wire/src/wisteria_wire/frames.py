"""Framing: splits a byte stream into frames and rejects malformed ones."""

import struct

import attrs

from .budget import ByteBudget
from .const import (
    FRAME_HEADER_BYTES,
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    RESERVED_FRAME_BYTES,
)
from .models import Frame, FrameFault, FrameKind

# payload length, protocol version, frame kind, call id
_HEADER = struct.Struct("!IBBQ")
_KINDS = {int(kind): kind for kind in FrameKind}

assert _HEADER.size == FRAME_HEADER_BYTES


def encode_frame(kind: FrameKind, call_id: int, payload: bytes) -> bytes:
    """Encode one frame.

    Raises
    ------
    ValueError
        If the payload is larger than ``MAX_FRAME_BYTES``.
    """
    return encode_frame_header(kind, call_id, len(payload)) + payload


def encode_frame_header(kind: FrameKind, call_id: int, length: int) -> bytes:
    """Encode the header of a frame with a payload of `length` bytes.

    Raises
    ------
    ValueError
        If the payload is larger than ``MAX_FRAME_BYTES``.
    """
    if length > MAX_FRAME_BYTES:
        raise ValueError(f"payload of {length} bytes exceeds {MAX_FRAME_BYTES}")
    return _HEADER.pack(length, PROTOCOL_VERSION, kind, call_id)


@attrs.define
class FrameReader:
    """Incremental frame decoder; after a fault it ignores all further input.

    The payload of a long call is skipped if the budget has no room for it.

    Parameters
    ----------
    max_frame_bytes : int
        Largest payload that is accepted; bounds the memory that a peer can make it allocate.
    budget : ByteBudget
        Memory for long calls; whoever takes a frame releases its `reserved_bytes`.
    """

    max_frame_bytes: int = MAX_FRAME_BYTES
    budget: ByteBudget = attrs.field(factory=ByteBudget)
    fault: FrameFault | None = None
    _buffer: bytearray = attrs.field(factory=bytearray)
    _reserved_bytes: int = 0
    _skipped_bytes: int = 0

    def feed(self, data: bytes) -> list[Frame]:
        """Append `data` to the buffer and return the frames that are now complete.

        A malformed frame sets `fault`; the frames before it are still returned.
        """
        if self.fault is not None:
            return []
        if self._skipped_bytes:
            count = min(self._skipped_bytes, len(data))
            self._skipped_bytes -= count
            data = data[count:]
        self._buffer += data
        frames: list[Frame] = []
        offset = 0
        while len(self._buffer) - offset >= FRAME_HEADER_BYTES:
            length, version, kind, call_id = _HEADER.unpack_from(self._buffer, offset)
            self.fault = self._find_fault(length, version, kind)
            if self.fault is not None:
                break
            end = offset + FRAME_HEADER_BYTES + length
            if kind == FrameKind.CALL and not self._reserve(length):
                frames.append(Frame(_KINDS[kind], call_id, b"", is_skipped=True))
                self._skipped_bytes = max(0, end - len(self._buffer))
                offset = min(end, len(self._buffer))
                continue
            if end > len(self._buffer):
                break
            with memoryview(self._buffer) as view:
                payload = bytes(view[offset + FRAME_HEADER_BYTES : end])
            frames.append(Frame(_KINDS[kind], call_id, payload, self._reserved_bytes))
            self._reserved_bytes = 0
            offset = end
        del self._buffer[:offset]
        return frames

    def release(self) -> None:
        """Release what is reserved for a frame that will not be complete."""
        self.budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _reserve(self, length: int) -> bool:
        """Reserve memory for a call, if it is a long one; return whether there is any."""
        if length < RESERVED_FRAME_BYTES or self._reserved_bytes:
            return True
        if not self.budget.reserve(length):
            return False
        self._reserved_bytes = length
        return True

    def _find_fault(self, length: int, version: int, kind: int) -> FrameFault | None:
        if version != PROTOCOL_VERSION:
            return FrameFault.VERSION
        if kind not in _KINDS:
            return FrameFault.KIND
        if length > self.max_frame_bytes:
            return FrameFault.OVERSIZED
        return None
