"""Counts of what a backend server ran, by request and by idempotency key."""

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
    """Counters of one backend server; they survive its crashes."""

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
        """Count the start of a run."""
        self.started += 1
        account = request.header(HEADER_ACCOUNT)
        self.by_account[account] += 1
        key = request.header(HEADER_IDEMPOTENCY_KEY)
        if key and len(self.by_key) < MAX_COUNTED_RUNS:
            self.by_key[f"{account}/{key}"] += 1
        request_id = request.header(HEADER_REQUEST_ID)
        if request_id and len(self.by_request) < MAX_COUNTED_RUNS:
            self.by_request[request_id] += 1

    def look_for_key(self, request: Request, marker: str) -> None:
        """Record each place of the request that holds a caller's key."""
        wanted = marker.encode()
        places = [name.decode("latin-1") for name, value in request.headers if wanted in value]
        places += ["authorization"] * any(name == b"authorization" for name, _ in request.headers)
        places += ["target"] * (marker in request.target)
        places += ["body"] * (wanted in request.body)
        self.leak_count += bool(places)
        self.leaks.extend(f"{request.method} {request.path}: {place}" for place in places)

    def describe(self, whole: bool) -> dict[str, object]:
        """Return the counters as plain data; `whole` adds each key and request."""
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
        if whole:
            plain["by_key"] = dict(self.by_key)
            plain["by_request"] = dict(self.by_request)
        return plain
