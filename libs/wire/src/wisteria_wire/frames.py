"""Framing: splits a byte stream into frames and rejects malformed ones."""

import struct

import attrs

from .const import FRAME_HEADER_BYTES, MAX_FRAME_BYTES, PROTOCOL_VERSION
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
    if len(payload) > MAX_FRAME_BYTES:
        raise ValueError(f"payload of {len(payload)} bytes exceeds {MAX_FRAME_BYTES}")
    return _HEADER.pack(len(payload), PROTOCOL_VERSION, kind, call_id) + payload


@attrs.define
class FrameReader:
    """Incremental frame decoder; after a fault it ignores all further input.

    Parameters
    ----------
    max_frame_bytes : int
        Largest payload that is accepted; bounds the memory that a peer can make it allocate.
    """

    max_frame_bytes: int = MAX_FRAME_BYTES
    fault: FrameFault | None = None
    _buffer: bytearray = attrs.field(factory=bytearray)

    def feed(self, data: bytes) -> list[Frame]:
        """Append `data` to the buffer and return the frames that are now complete.

        A malformed frame sets `fault`; the frames before it are still returned.
        """
        if self.fault is not None:
            return []
        self._buffer += data
        frames: list[Frame] = []
        offset = 0
        while len(self._buffer) - offset >= FRAME_HEADER_BYTES:
            length, version, kind, call_id = _HEADER.unpack_from(self._buffer, offset)
            self.fault = self._find_fault(length, version, kind)
            if self.fault is not None:
                break
            end = offset + FRAME_HEADER_BYTES + length
            if end > len(self._buffer):
                break
            payload = bytes(self._buffer[offset + FRAME_HEADER_BYTES : end])
            frames.append(Frame(_KINDS[kind], call_id, payload))
            offset = end
        del self._buffer[:offset]
        return frames

    def _find_fault(self, length: int, version: int, kind: int) -> FrameFault | None:
        if version != PROTOCOL_VERSION:
            return FrameFault.VERSION
        if kind not in _KINDS:
            return FrameFault.KIND
        if length > self.max_frame_bytes:
            return FrameFault.OVERSIZED
        return None
