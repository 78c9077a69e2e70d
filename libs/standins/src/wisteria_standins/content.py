"""Deterministic content of a given size, for downloads whose every byte can be checked."""

import hashlib
import random
from functools import lru_cache

BLOCK_BYTES = 64 * 1024
_CACHED_SEEDS = 64


@lru_cache(maxsize=_CACHED_SEEDS)
def _block(seed: int) -> bytes:
    return random.Random(seed).randbytes(BLOCK_BYTES)


def read_content(seed: int, start: int, length: int) -> bytes:
    """Return `length` bytes from byte `start` of the endless content of `seed`.

    Each block is the seed's random block with its number in the first eight bytes, so that
    swapped or repeated blocks are seen.
    """
    parts: list[bytes] = []
    end = start + length
    position = start
    while position < end:
        number, offset = divmod(position, BLOCK_BYTES)
        take = min(BLOCK_BYTES - offset, end - position)
        block = number.to_bytes(8, "big") + _block(seed)[8:]
        parts.append(block[offset : offset + take])
        position += take
    return b"".join(parts)


def compute_digest(seed: int, length: int) -> str:
    """Return the BLAKE2b digest, in hexadecimal, of the first `length` bytes."""
    state = hashlib.blake2b(digest_size=16)
    for position in range(0, length, BLOCK_BYTES):
        state.update(read_content(seed, position, min(BLOCK_BYTES, length - position)))
    return state.hexdigest()


def make_etag(seed: int, length: int) -> str:
    """Return the strong entity tag of the content, the same on every backend server."""
    return f'"{seed:x}-{length:x}"'
