"""Configuration of the ledger."""

import attrs

from . import const


@attrs.frozen
class LedgerConfig:
    """Retention, clock bounds and memory bounds.

    Parameters
    ----------
    retention_ms : int
        Time for which an ended run is remembered.
    future_tolerance_ms : int
        How far the timestamp of a UUIDv7 key may be ahead of this VM's wall clock.
    wall_error_ms : int
        Bound on the deviation of any VM's wall clock from true time.
    max_entries : int
        Maximum number of runs in the ledger.
    max_bytes : int
        Maximum memory for entries and answers, in bytes.
    max_answer_bytes : int
        Maximum size of a retained answer.
    max_handover_answer_bytes : int
        Maximum total size of the answers in a hand-over; the others are not retained.
    margin_ms, drift_ppm : int
        Fixed part and rate part of the time added to the remaining retention at a hand-over,
        because the two VMs' clocks differ.
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
        """How far after a start a key's timestamp must lie to rule out an earlier run."""
        return self.future_tolerance_ms + 2 * self.wall_error_ms

    @property
    def max_key_age_ms(self) -> int:
        """Age beyond which a key is refused, because its run may be forgotten."""
        drift_ms = self.retention_ms * 2 * self.drift_ppm // const.PPM
        return self.retention_ms - self.key_timestamp_margin_ms - drift_ms - self.margin_ms
