"""Parameters of the dissemination."""

import attrs


@attrs.frozen
class DisseminationConfig:
    """Intervals and limits; times are in milliseconds.

    Parameters
    ----------
    readers_per_domain : int
        VMs in each failure domain that watch the configuration service.
    versions_per_term : int
        Number of versions after which other VMs become readers.
    rings : int
        Rings of the overlay; each VM has two neighbours on each.
    announce_interval_ms : int
        Interval of periodic announcements, each sent to the next neighbour in turn.
    watch_ms : int
        Maximum time that a watch waits for a change.
    full_read_interval_ms : int
        Maximum interval of reads without a revision by a reader, in case the service has
        restarted its revision numbers; jittered down to half of it.
    read_timeout_ms : int
        Time beyond the watch time after which a read counts as lost.
    read_min_interval_ms, read_backoff_max_ms : int
        Minimum interval between two reads of a reader, and the maximum back-off after failures
        and answers without a new revision.
    fallback_after_ms, fallback_jitter_ms : int
        Age of the last confirmation at which a VM that is no reader reads the service itself:
        the first value plus a per-VM jitter of up to the second.
    fallback_interval_ms : int
        Minimum interval between two such reads; jittered up to twice as long.
    start_read_after_ms, start_read_jitter_ms : int
        The same for a VM that has started or resumed and has received no confirmation.
    fetch_timeout_ms : int
        Time without progress after which a fetch switches to another peer.
    chunk_bytes : int
        Maximum size of the document chunk in one message.
    max_delta_log_bytes : int
        Maximum total size of the deltas kept for peers.
    ask_per_domain, ask_interval_ms : int
        Number of peers that a starting VM queries at a time in each failure domain, and the
        interval of these queries.
    learn_domains, learn_wait_ms, cold_wait_ms : int
        See `Learning`.
    """

    readers_per_domain: int = 2
    versions_per_term: int = 16
    rings: int = 3
    announce_interval_ms: int = 1_000
    watch_ms: int = 10_000
    full_read_interval_ms: int = 600_000
    read_timeout_ms: int = 5_000
    read_min_interval_ms: int = 200
    read_backoff_max_ms: int = 8_000
    fallback_after_ms: int = 30_000
    fallback_jitter_ms: int = 15_000
    fallback_interval_ms: int = 20_000
    start_read_after_ms: int = 1_000
    start_read_jitter_ms: int = 5_000
    fetch_timeout_ms: int = 1_000
    chunk_bytes: int = 65_536
    max_delta_log_bytes: int = 262_144
    ask_per_domain: int = 2
    ask_interval_ms: int = 300
    learn_domains: int = 3
    learn_wait_ms: int = 1_500
    cold_wait_ms: int = 2_500
