import hashlib
import json
from collections.abc import Callable
from typing import Any

import pytest

from wisteria_config import Document, validate_document

Plain = dict[str, Any]


def sha256_of(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def plain_document(version: int = 1, **changes: Any) -> Plain:
    """Return a small valid document as plain data, with whole sections replaced."""
    plain: Plain = {
        "schema": 1,
        "failure_domains": [{"name": "north"}],
        "version": version,
        "public": {"rate_per_s": 20, "burst": 40},
        "accounts": [
            {"name": "co-op", "rate_per_s": 40, "burst": 80},
            {"name": "vets", "rate_per_s": 10, "burst": 20, "weight": 20},
        ],
        "keys": [
            {"id": "k-1", "sha256": sha256_of("one"), "account": "co-op"},
            {"id": "k-2", "sha256": sha256_of("two"), "account": "vets"},
        ],
        "services": [{"name": "yields"}, {"name": "orders", "retry_ratio": 0.05}],
        "routes": [
            {"id": "yields", "service": "yields", "method": "GET", "path": "/yields"},
            {"id": "order", "service": "orders", "method": "POST", "path": "/orders"},
        ],
    }
    return plain | changes


def encode(plain: Plain) -> bytes:
    return json.dumps(plain).encode()


def accept(plain: Plain) -> Document:
    outcome = validate_document(encode(plain))
    assert isinstance(outcome, Document), str(outcome)
    return outcome


@pytest.fixture(name="build")
def build_fixture() -> Callable[..., Document]:
    """Return a function that builds a valid document of a given version."""
    return lambda version=1, **changes: accept(plain_document(version, **changes))
