"""Tunable parameters of the dissemination."""

import attrs


@attrs.frozen
class DisseminationConfig:
    """Intervals and limits; times are in milliseconds.

    Parameters
    ----------
    readers_per_domain : int
        VMs of a failure domain that hold a watch on the configuration service.
    versions_per_term : int
        Versions after which other VMs become readers.
    rings : int
        Rings of the overlay; each VM has two neighbours on each.
    announce_interval_ms : int
        Time between two periodic announcements, each to one neighbour in turn.
    watch_ms : int
        Longest time that a watch waits for a change.
    full_read_interval_ms : int
        Longest time until a reader reads without a revision, in case the service has numbered
        its revisions anew; jittered from half of it.
    read_timeout_ms : int
        Time over that of the watch after which a read counts as lost.
    read_min_interval_ms, read_backoff_max_ms : int
        Least time between two reads of a reader, and its bound after failures.
    fallback_after_ms, fallback_jitter_ms : int
        Age of the last confirmation at which a VM reads for itself: the first plus a part of
        the second that differs between VMs.
    fallback_interval_ms : int
        Least time between two such reads; jittered up to twice as long.
    start_read_after_ms, start_read_jitter_ms : int
        The same for a VM that starts or wakes and has learned nothing.
    fetch_timeout_ms : int
        Time without progress after which a fetch goes on with another peer.
    chunk_bytes : int
        Largest part of a document in one message.
    max_delta_log_bytes : int
        Bound on the deltas that are kept for peers.
    ask_per_domain, ask_interval_ms : int
        Peers of each failure domain that a starting VM asks at a time, and how often.
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
