"""Counters of the requests that a backend server executed."""

from collections import Counter, deque

import attrs

from .const import (
    HEADER_ACCOUNT,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
    MAX_COUNTED_RUNS,
)
from .http import Request

_MAX_LEAKS = 100


@attrs.define
class Runs:
    """Counters of one backend server; a simulated crash keeps them."""

    started: int = 0
    finished: int = 0
    failed: int = 0
    cancelled: int = 0
    wasted: int = 0
    cut_downloads: int = 0
    shed: int = 0
    expired: int = 0
    crashes: int = 0
    by_key: Counter[str] = attrs.field(factory=Counter)
    by_request: Counter[str] = attrs.field(factory=Counter)
    by_account: Counter[str] = attrs.field(factory=Counter)
    leaks: deque[str] = attrs.field(factory=lambda: deque(maxlen=_MAX_LEAKS))
    leak_count: int = 0

    def record_start(self, request: Request) -> None:
        """Count the start of an execution by account, idempotency key and request id."""
        self.started += 1
        account = request.header(HEADER_ACCOUNT)
        self.by_account[account] += 1
        key = request.header(HEADER_IDEMPOTENCY_KEY)
        if key and len(self.by_key) < MAX_COUNTED_RUNS:
            self.by_key[f"{account}/{key}"] += 1
        request_id = request.header(HEADER_REQUEST_ID)
        if request_id and len(self.by_request) < MAX_COUNTED_RUNS:
            self.by_request[request_id] += 1

    def record_key_leaks(self, request: Request, marker: str) -> None:
        """Record where the request contains a caller's API key or an Authorization header."""
        marker_bytes = marker.encode()
        locations = [
            name.decode("latin-1") for name, value in request.headers if marker_bytes in value
        ]
        locations += ["authorization"] * any(
            name == b"authorization" for name, _ in request.headers
        )
        locations += ["target"] * (marker in request.target)
        locations += ["body"] * (marker_bytes in request.body)
        self.leak_count += bool(locations)
        self.leaks.extend(f"{request.method} {request.path}: {location}" for location in locations)

    def describe(self, with_details: bool) -> dict[str, object]:
        """Return the counters as plain data; `with_details` adds those of each key and request."""
        plain: dict[str, object] = {
            name: getattr(self, name)
            for name in (
                "started",
                "finished",
                "failed",
                "cancelled",
                "wasted",
                "cut_downloads",
                "shed",
                "expired",
                "crashes",
                "leak_count",
            )
        }
        plain["leaks"] = list(self.leaks)
        plain["by_account"] = dict(self.by_account)
        plain["max_runs_by_key"] = max(self.by_key.values(), default=0)
        plain["max_runs_by_request"] = max(self.by_request.values(), default=0)
        if with_details:
            plain["by_key"] = dict(self.by_key)
            plain["by_request"] = dict(self.by_request)
        return plain
