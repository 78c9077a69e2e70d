"""Settings of the mesh daemon, read from one TOML file."""

import attrs

from ..const import (
    DEFAULT_HEALTH_PATH,
    DEFAULT_LOOP_GAP_MS,
    LOG_JSON,
)
from ..settings import BackendSettings, LogSettings, VmSettings
from ..settings_rules import ADDRESS, TIME, Rule, between, setting, split_address
from .const import (
    DEFAULT_MAX_CONNECTIONS,
    DEFAULT_MEMORY_MB,
    DEFAULT_RETRY_RATIO,
    DEFAULT_RETRY_SLACK,
    DEFAULT_SLOTS,
    DEFAULT_STOP_LIMIT_MS,
    DEFAULT_STORE_BACKOFF_MAX_MS,
    DEFAULT_STORE_BACKOFF_MS,
    DEFAULT_STORE_TIMEOUT_MS,
    DEFAULT_WATCH_MS,
    DEFAULT_WATCH_TIMEOUT_MS,
)

_MS_PER_S = 1_000
_SECONDS = Rule("a number of seconds above 0", lambda value: 0 < value <= 3_600)
_NOT_NEGATIVE = Rule("0 or more", lambda value: value >= 0)
_RATIO = Rule("0 to 1", lambda value: 0 <= value <= 1)


@attrs.frozen(kw_only=True)
class MeshListenSettings:
    """Addresses on which the daemon listens."""

    callers: str = setting("For callers on the VM and child calls.", ADDRESS)
    peers: str = setting("For other daemons.", ADDRESS)
    ready: str = setting("For readiness checks of the platform.", ADDRESS)
    operators: str = setting("For metrics and status.", ADDRESS)


@attrs.frozen(kw_only=True)
class MeshBackendSettings:
    """The backend server on the daemon's VM."""

    address: str = setting("Where it listens.", ADDRESS)
    slots: int = setting(
        "Calls that it runs concurrently, until the platform states its slots.",
        between(1, 10_000, "calls"),
        DEFAULT_SLOTS,
    )
    max_connections: int = setting(
        "Maximum number of connections to it.",
        between(1, 10_000, "connections"),
        DEFAULT_MAX_CONNECTIONS,
    )

    def to_backend_settings(self) -> BackendSettings:
        """Return these settings in the form that `BackendServer` takes."""
        host, port = parse_address(self.address)
        return BackendSettings(
            host=host,
            port=port,
            slots=self.slots,
            max_connections=self.max_connections,
            health_path=DEFAULT_HEALTH_PATH,
        )


@attrs.frozen(kw_only=True)
class StoreSettings:
    """The platform's store."""

    address: str = setting("Where it listens.", ADDRESS)


@attrs.frozen(kw_only=True)
class BoundSettings:
    """Limits set by the operators; times are in seconds."""

    grace_s: float = setting(
        "Maximum duration of a planned stop.", _SECONDS, DEFAULT_STOP_LIMIT_MS / _MS_PER_S
    )
    memory_mb: float = setting(
        "Memory in MB at which the process is ended; requests that don't fit are refused.",
        Rule("1 or more", lambda value: value >= 1),
        DEFAULT_MEMORY_MB,
    )
    strict_revocation: bool = setting(
        "Whether calls that run are cancelled when their key is withdrawn; queued ones never run.",
        Rule("true or false", lambda value: isinstance(value, bool)),
        True,
    )
    retry_ratio: float = setting(
        "Retries allowed for each call, over all daemons.", _RATIO, DEFAULT_RETRY_RATIO
    )
    retry_slack: float = setting(
        "Retries allowed in addition to the ratio in any window, over all daemons.",
        _NOT_NEGATIVE,
        float(DEFAULT_RETRY_SLACK),
    )
    rate_overage: float = setting(
        "Fraction by which an account may exceed its rate and burst, over all daemons.", _RATIO, 0.0
    )
    rate_slack: float = setting(
        "Calls in addition to that by which an account may exceed them in any window.",
        _NOT_NEGATIVE,
        0.0,
    )
    cold_overage: float = setting(
        "Factor by which the calls to a cold backend server may exceed its rate.",
        Rule("1 or more", lambda value: value >= 1),
        1.0,
    )
    cold_slack: float = setting(
        "Calls in addition to that by which they may exceed it in any second.", _NOT_NEGATIVE, 0.0
    )


@attrs.frozen(kw_only=True)
class MeshTimingSettings:
    """Time-outs and intervals in milliseconds."""

    watch_ms: int = setting("Maximum wait of one watch at the store.", TIME, DEFAULT_WATCH_MS)
    watch_timeout_ms: int = setting(
        "Time beyond its wait after which a watch counts as lost.", TIME, DEFAULT_WATCH_TIMEOUT_MS
    )
    read_timeout_ms: int = setting(
        "Timeout of a request to the store.", TIME, DEFAULT_STORE_TIMEOUT_MS
    )
    backoff_first_ms: int = setting(
        "Initial back-off after a failed read.", TIME, DEFAULT_STORE_BACKOFF_MS
    )
    backoff_max_ms: int = setting(
        "Maximum back-off after failed reads.", TIME, DEFAULT_STORE_BACKOFF_MAX_MS
    )
    loop_gap_ms: int = setting(
        "Pause of the process after which its state counts as outdated.", TIME, DEFAULT_LOOP_GAP_MS
    )


@attrs.frozen(kw_only=True)
class MeshSettings:
    """All settings of one daemon; sections in which every key has a default may be omitted."""

    vm: VmSettings
    listen: MeshListenSettings
    backend: MeshBackendSettings
    store: StoreSettings
    bounds: BoundSettings = BoundSettings()
    log: LogSettings = LogSettings(format=LOG_JSON)
    timing: MeshTimingSettings = MeshTimingSettings()


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port of a validated address."""
    parts = split_address(address)
    assert parts is not None
    return parts
