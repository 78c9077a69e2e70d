"""Deterministic content of a given size, so that a download can be verified byte by byte."""

import hashlib
import random
from functools import lru_cache

BLOCK_BYTES = 64 * 1024
_CACHED_SEEDS = 64


@lru_cache(maxsize=_CACHED_SEEDS)
def _make_random_block(seed: int) -> bytes:
    return random.Random(seed).randbytes(BLOCK_BYTES)


def read_content(seed: int, start: int, length: int) -> bytes:
    """Return `length` bytes, from offset `start`, of the unlimited content of `seed`.

    The content repeats one random block with the block number in its first eight bytes, so that
    swapped or repeated blocks change the content.
    """
    parts: list[bytes] = []
    end = start + length
    position = start
    while position < end:
        number, offset = divmod(position, BLOCK_BYTES)
        block_bytes = min(BLOCK_BYTES - offset, end - position)
        block = number.to_bytes(8, "big") + _make_random_block(seed)[8:]
        parts.append(block[offset : offset + block_bytes])
        position += block_bytes
    return b"".join(parts)


def compute_digest(seed: int, length: int) -> str:
    """Return the BLAKE2b digest, in hexadecimal, of the first `length` bytes of the content."""
    state = hashlib.blake2b(digest_size=16)
    for position in range(0, length, BLOCK_BYTES):
        state.update(read_content(seed, position, min(BLOCK_BYTES, length - position)))
    return state.hexdigest()


def make_etag(seed: int, length: int) -> str:
    """Return the strong entity tag of the content, the same on every backend server."""
    return f'"{seed:x}-{length:x}"'
