"""Memory of a daemon that requests may take."""

from wisteria_wire import UNBOUNDED_BYTES

_BYTES_PER_MB = 1_048_576
_BASE_MB = 70
"""Memory of a daemon that holds no long requests."""
_COPIES = 3.4
"""Memory for each byte of a request's body: as it was received, as it is encoded and as it is sent,
with some fragmentation."""


def find_budget(memory_mb: float) -> int:
    """Return how many bytes of requests fit into the memory of the process."""
    budget = max(0.0, memory_mb - _BASE_MB) * _BYTES_PER_MB / _COPIES
    return round(min(budget, UNBOUNDED_BYTES))
