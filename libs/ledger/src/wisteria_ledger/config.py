"""Parameters of the ledger."""

import attrs

from . import const


@attrs.frozen
class LedgerConfig:
    """Retention, clock bounds and memory bounds.

    Parameters
    ----------
    retention_ms : int
        How long an ended run is remembered.
    future_tolerance_ms : int
        How far a UUIDv7 key's birth may lie ahead of this VM's wall clock.
    wall_error_ms : int
        Bound on the error of any VM's wall clock against true time.
    max_entries : int
        Runs remembered at most.
    max_bytes : int
        Memory for entries and answers, in bytes.
    max_answer_bytes : int
        Larger answers are not retained.
    max_handover_answer_bytes : int
        Answers that a hand-over carries at most; the others are not retained.
    margin_ms, drift_ppm : int
        Added to the remaining retention at a hand-over, for clocks that differ.
    """

    retention_ms: int = const.DEFAULT_RETENTION_MS
    future_tolerance_ms: int = const.DEFAULT_FUTURE_TOLERANCE_MS
    wall_error_ms: int = const.DEFAULT_WALL_ERROR_MS
    max_entries: int = const.DEFAULT_MAX_ENTRIES
    max_bytes: int = const.DEFAULT_MAX_BYTES
    max_answer_bytes: int = const.DEFAULT_MAX_ANSWER_BYTES
    max_handover_answer_bytes: int = const.DEFAULT_MAX_HANDOVER_ANSWER_BYTES
    margin_ms: int = const.DEFAULT_MARGIN_MS
    drift_ppm: int = const.DEFAULT_DRIFT_PPM

    @property
    def key_timestamp_margin_ms(self) -> int:
        """Return how far after a start a key must be born so that no earlier owner ran it."""
        return self.future_tolerance_ms + 2 * self.wall_error_ms

    @property
    def max_key_age_ms(self) -> int:
        """Return the age beyond which a key is refused; its run may be forgotten."""
        drift_ms = self.retention_ms * 2 * self.drift_ppm // const.PPM
        return self.retention_ms - self.key_timestamp_margin_ms - drift_ms - self.margin_ms
