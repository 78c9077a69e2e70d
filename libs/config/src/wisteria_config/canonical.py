"""Canonical encoding and digest of a document, identical on every daemon."""

import json

from wisteria_core import digest

from .models import Document
from .structure import unstructure


def canonical_bytes(document: Document) -> bytes:
    """Return the document as compact JSON with sorted keys, without default values."""
    plain = unstructure(document)
    return json.dumps(plain, sort_keys=True, separators=(",", ":"), ensure_ascii=False).encode()


def document_digest(document: Document) -> bytes:
    """Return the 16-byte digest of the canonical form."""
    return digest(canonical_bytes(document))
