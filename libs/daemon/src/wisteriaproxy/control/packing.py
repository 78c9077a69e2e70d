"""Unpacking of Cap'n Proto messages, with bounds and without exceptions."""

WORD_BYTES = 8
_ZERO_WORD = bytes(WORD_BYTES)
_ZERO_RUN = 0x00
_LITERAL_RUN = 0xFF
_WORD_BYTES_SET = tuple(
    tuple(place for place in range(WORD_BYTES) if tag >> place & 1) for tag in range(256)
)
"""Places of the bytes that are not zero in a word, by tag."""


def unpack(data: bytes, max_bytes: int) -> bytes | None:
    """Return an unpacked message, or None if it is cut or longer than `max_bytes`.

    The library reads further segments of a packed message only when they are used or released, and
    ends the process if they are cut.
    """
    found = bytearray()
    size, place = len(data), 0
    while place < size:
        tag = data[place]
        place += 1
        if tag in (_ZERO_RUN, _LITERAL_RUN):
            literal_end = place + (WORD_BYTES if tag else 0)
            if literal_end >= size:
                return None
            run_bytes = WORD_BYTES * data[literal_end]
            found += data[place:literal_end]
            place = literal_end + 1
            if tag == _ZERO_RUN:
                found += bytes(WORD_BYTES + run_bytes)
            else:
                found += data[place : place + run_bytes]
                place += run_bytes
        else:
            places = _WORD_BYTES_SET[tag]
            if place + len(places) > size:
                return None
            start = len(found)
            found += _ZERO_WORD
            for index in places:
                found[start + index] = data[place]
                place += 1
        if len(found) > max_bytes:
            return None
    return bytes(found) if place == size else None
