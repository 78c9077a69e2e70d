"""Configuration documents for demo, benches and process-level tests."""

import hashlib
import json
from typing import Any

import attrs


@attrs.frozen
class AccountPlan:
    """A client account with one key.

    Parameters
    ----------
    name, key : str
        Name of the account and the key that its callers present.
    rate_per_s, burst, weight : int
        Rate in calls/s, burst in calls, and weight in a busy queue.
    """

    name: str
    key: str
    rate_per_s: int = 1_000
    burst: int = 1_000
    weight: int = 10


@attrs.frozen
class RoutePlan:
    """A route of a configuration document."""

    id: str
    service: str
    path: str
    method: str = "GET"
    repeatable: bool = True
    priority: str = "normal"
    deadline_ms: int = 5_000
    retry_allowance: int = 3
    long_download: bool = False
    open: bool = False


def hash_key(key: str) -> str:
    """Return the digest by which a document identifies a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_document(
    version: int,
    accounts: tuple[AccountPlan, ...],
    routes: tuple[RoutePlan, ...],
    withdrawn: frozenset[str] = frozenset(),
    domains: tuple[str, ...] = ("north", "south"),
) -> bytes:
    """Return a configuration document.

    Parameters
    ----------
    withdrawn : frozenset of str
        Accounts whose keys are left out.
    domains : tuple of str
        Names of the failure domains.
    """
    services = sorted({route.service for route in routes})
    document: dict[str, Any] = {
        "schema": 1,
        "version": version,
        "public": {"rate_per_s": 100, "burst": 100},
        "failure_domains": [{"name": name} for name in domains],
        "accounts": [
            {
                "name": account.name,
                "rate_per_s": account.rate_per_s,
                "burst": account.burst,
                "weight": account.weight,
            }
            for account in accounts
        ],
        "keys": [
            {"id": f"{account.name}-key", "sha256": hash_key(account.key), "account": account.name}
            for account in accounts
            if account.name not in withdrawn
        ],
        "services": [{"name": name} for name in services],
        "routes": [attrs.asdict(route) for route in routes],
    }
    return json.dumps(document, indent=1).encode()
