"""Settings of the daemon in a mesh: one TOML file, with every error named."""

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
    DEFAULT_RETRY_RATIO,
    DEFAULT_RETRY_SLACK,
    DEFAULT_SLOTS,
    DEFAULT_STOP_LIMIT_MS,
    DEFAULT_STORE_BACKOFF_MAX_MS,
    DEFAULT_STORE_BACKOFF_MS,
    DEFAULT_STORE_TIMEOUT_MS,
    DEFAULT_WATCH_MS,
)

_MS_PER_S = 1_000
_SECONDS = Rule("a number of seconds above 0", lambda value: 0 < value <= 3_600)
_NOT_NEGATIVE = Rule("0 or more", lambda value: value >= 0)
_RATIO = Rule("0 to 1", lambda value: 0 <= value <= 1)


@attrs.frozen(kw_only=True)
class MeshListenSettings:
    """Where the daemon listens."""

    callers: str = setting("For callers on the VM and child calls.", ADDRESS)
    peers: str = setting("For other daemons.", ADDRESS)
    ready: str = setting("For the platform's question whether the daemon is ready.", ADDRESS)
    operators: str = setting("For metrics and status.", ADDRESS)


@attrs.frozen(kw_only=True)
class MeshBackendSettings:
    """The backend server beside the daemon."""

    address: str = setting("Where it listens.", ADDRESS)
    slots: int = setting(
        "Calls that it runs at once, until the platform says.",
        between(1, 10_000, "calls"),
        DEFAULT_SLOTS,
    )
    max_connections: int = setting(
        "Connections to it at most.", between(1, 10_000, "connections"), DEFAULT_MAX_CONNECTIONS
    )

    def to_backend(self) -> BackendSettings:
        """Return the same as settings of a backend server by host and port."""
        host, port = read_address(self.address)
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
    """What the operators allow; they give times in seconds."""

    grace_s: float = setting(
        "Longest time for a planned stop.", _SECONDS, DEFAULT_STOP_LIMIT_MS / _MS_PER_S
    )
    strict_revocation: bool = setting(
        "Whether calls that run end when their key is withdrawn; queued ones never run then.",
        Rule("true or false", lambda value: isinstance(value, bool)),
        True,
    )
    retry_ratio: float = setting(
        "Retries allowed for each call, over all daemons.", _RATIO, DEFAULT_RETRY_RATIO
    )
    retry_slack: float = setting(
        "Retries allowed beside those in a window, over all daemons.",
        _NOT_NEGATIVE,
        float(DEFAULT_RETRY_SLACK),
    )
    rate_overage: float = setting(
        "Part by which an account may exceed its rate and burst over all daemons.", _RATIO, 0.0
    )
    rate_slack: float = setting(
        "Calls beside that by which an account may exceed them in any window.",
        _NOT_NEGATIVE,
        0.0,
    )


@attrs.frozen(kw_only=True)
class MeshTimingSettings:
    """Times, all in milliseconds."""

    watch_ms: int = setting("Longest wait of one watch at the store.", TIME, DEFAULT_WATCH_MS)
    read_timeout_ms: int = setting(
        "Longest wait for an answer of the store.", TIME, DEFAULT_STORE_TIMEOUT_MS
    )
    backoff_first_ms: int = setting(
        "First pause after a failed read.", TIME, DEFAULT_STORE_BACKOFF_MS
    )
    backoff_max_ms: int = setting(
        "Longest pause after failed reads.", TIME, DEFAULT_STORE_BACKOFF_MAX_MS
    )
    loop_gap_ms: int = setting(
        "Pause of the process after which its view counts as outdated.", TIME, DEFAULT_LOOP_GAP_MS
    )


@attrs.frozen(kw_only=True)
class MeshSettings:
    """All settings of one daemon; a section with defaults throughout may be left out."""

    vm: VmSettings
    listen: MeshListenSettings
    backend: MeshBackendSettings
    store: StoreSettings
    bounds: BoundSettings = BoundSettings()
    log: LogSettings = LogSettings(format=LOG_JSON)
    timing: MeshTimingSettings = MeshTimingSettings()


def read_address(address: str) -> tuple[str, int]:
    """Return IP number and port of a checked address."""
    parts = split_address(address)
    assert parts is not None
    return parts
