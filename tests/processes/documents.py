"""Configurations in the operator's format."""

from collections.abc import Iterable
from typing import Any

from tests.platform.support import HOST, KEY

REPEATABLE, ONCE, DOWNLOAD = "idempotent", "non_idempotent", "download"
"""Types of routes: calls that may run more than once, at most once, and long answers."""


def make_config(version: int, **changes: Any) -> dict[str, Any]:
    """Return a configuration of two services with a route each."""
    config: dict[str, Any] = {
        "config_version": f"{version:08x}",
        "routes": [
            make_route("yields", "yield", REPEATABLE),
            make_route("orders", "order", ONCE),
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_000_000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        **make_tables(("yield", "order"), {"co-op": KEY}),
    }
    return {**config, **changes}


def make_tables(services: Iterable[str], keys: dict[str, str]) -> dict[str, Any]:
    """Return the services, and the client accounts without a limit, each with its key."""
    return {
        "services": [
            {"name": name, "health_path": "/healthz", "max_connections": 600, "protocol": "h1"}
            for name in services
        ],
        "tenants": [
            {"name": name, "api_keys": [key], "priority": 1, "rate_per_s": 0, "burst": 0}
            for name, key in keys.items()
        ],
    }


def make_route(name: str, service: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route whose prefix is its name."""
    route = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "route_type": kind,
        "timeout_s": 5,
        "target_latency_s": 1.5,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
    }
    return {**route, **changes}


def move_route(route: dict[str, Any], service: str) -> None:
    """Send all calls of a route to one service."""
    route.pop("traffic_split", None)
    route["service"] = service


def split_route(route: dict[str, Any], weights: dict[str, int]) -> None:
    """Split the calls of a route among services by weight."""
    route["traffic_split"] = [
        {"service": service, "weight": weight} for service, weight in weights.items()
    ]


def list_services(route: dict[str, Any]) -> frozenset[str]:
    """Return the services that a route names."""
    return frozenset(part["service"] for part in route.get("traffic_split") or [route])


def is_once(route: dict[str, Any] | None) -> bool:
    """Return whether the calls of a route run at most once; an unknown route has no such calls."""
    return route is not None and route["route_type"] == ONCE
