"""Configurations in the operator's format."""

from typing import Any

from tests.platform.support import HOST, KEY


def make_config(version: int, **changes: Any) -> dict[str, Any]:
    """Return a configuration of two services with a route each."""
    config: dict[str, Any] = {
        "config_version": f"{version:08x}",
        "routes": [
            make_route("yields", "yield", "idempotent"),
            make_route("orders", "order", "non_idempotent"),
        ],
        "services": [
            {"name": name, "health_path": "/healthz", "max_connections": 600, "protocol": "h1"}
            for name in ("yield", "order")
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_000_000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "tenants": [
            {"name": "co-op", "api_keys": [KEY], "priority": 1, "rate_per_s": 0, "burst": 0}
        ],
    }
    return {**config, **changes}


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
