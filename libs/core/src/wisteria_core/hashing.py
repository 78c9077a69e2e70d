"""Hashes with the same result in every daemon: rendezvous hashing and content digests."""

import hashlib
from collections.abc import Iterable

import xxhash

DIGEST_BYTES = 16


def rendezvous_weight(key: str, candidate: str) -> int:
    """Return the weight of `candidate` for `key`; the highest weight ranks first.

    The weight depends only on the key and the candidate, so two candidates have the same
    relative order in every list that contains both.
    """
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def rank_by_rendezvous(key: str, candidates: Iterable[str]) -> list[str]:
    return sorted(candidates, key=lambda name: (-rendezvous_weight(key, name), name))


def digest(content: bytes) -> bytes:
    """Return the 16-byte BLAKE2b digest of `content`."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
