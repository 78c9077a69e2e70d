"""Header names, paths, defaults and limits shared by the stand-ins."""

HEADER_CALL = b"wisteria-call"
HEADER_ACCOUNT = b"wisteria-account"
HEADER_PRIORITY = b"wisteria-priority"
HEADER_DEADLINE_MS = b"wisteria-deadline-ms"
HEADER_REQUEST_ID = b"wisteria-request-id"
HEADER_RESULT = b"wisteria-result"
HEADER_RUN = b"wisteria-run"
HEADER_VM = b"wisteria-vm"
HEADER_IDEMPOTENCY_KEY = b"idempotency-key"
HEADER_VERSION = b"x-version"

PATH_CONFIG = "/v1/config"
PATH_VMS = "/v1/vms"
PATH_CONTROL = "/control"
PATH_HEALTH = "/health"
PATH_LOAD = "/load"
PATH_READY = "/ready"
PATH_DRAIN = "/drain"

LOOPBACK = "127.0.0.1"

DEFAULT_WATCH_MS = 30_000
DEFAULT_KEY_MARKER = "wk_"
DEFAULT_POISON_MARKER = "poison-pill"
DEFAULT_SEED = 20_261

MAX_HISTORY_VERSIONS = 200
MAX_COUNTED_RUNS = 200_000
MAX_BODY_BYTES = 8 * 1024 * 1024
WRITE_CHUNK_BYTES = 64 * 1024
MS_PER_S = 1_000
