"""Tunable parameters of slot ownership."""

import attrs

from .const import (
    DEFAULT_DRIFT_PPM,
    DEFAULT_FENCE_MS,
    DEFAULT_LONGEST_LEASE_MS,
    DEFAULT_MARGIN_MS,
    DEFAULT_RECHECK_MS,
    DEFAULT_RESEND_MAX_MS,
    DEFAULT_RESEND_MS,
    DEFAULT_SETTLE_MS,
    DEFAULT_STOP_MS,
    PPM,
)


def _check_positive(_instance: object, attribute: "attrs.Attribute[int]", value: int) -> None:
    if value <= 0:
        raise ValueError(f"{attribute.name} must be above 0, not {value}")


def _check_not_negative(_instance: object, attribute: "attrs.Attribute[int]", value: int) -> None:
    if value < 0:
        raise ValueError(f"{attribute.name} must not be negative, not {value}")


@attrs.frozen(kw_only=True)
class OwnershipConfig:
    """Times and bounds of the ownership protocol; alike on every daemon.

    Parameters
    ----------
    longest_lease_ms : int
        Longest time for which a holder lets others act on its behalf, on the clock of the
        borrower and counted from the moment at which the borrower asked.
    drift_ppm : int
        Bound on the rate error of any VM's clock, in parts per million.
    margin_ms : int
        Added to the wait after a claim.
    fence_ms : int
        Longest time since the event loop last ran for which a holder may still decide.
    resend_ms, resend_max_ms : int
        First and longest time between two sends of an unanswered message.
    recheck_ms : int
        Time after which a known holder is asked whether it still holds.
    settle_ms : int
        Time for which a holder that received a slot keeps it before it offers it on.
    stop_ms : int
        Longest time that a planned stop spends on hand-overs.
    """

    longest_lease_ms: int = attrs.field(
        default=DEFAULT_LONGEST_LEASE_MS, validator=_check_not_negative
    )
    drift_ppm: int = attrs.field(default=DEFAULT_DRIFT_PPM, validator=_check_not_negative)
    margin_ms: int = attrs.field(default=DEFAULT_MARGIN_MS, validator=_check_not_negative)
    fence_ms: int = attrs.field(default=DEFAULT_FENCE_MS, validator=_check_positive)
    resend_ms: int = attrs.field(default=DEFAULT_RESEND_MS, validator=_check_positive)
    resend_max_ms: int = attrs.field(default=DEFAULT_RESEND_MAX_MS, validator=_check_positive)
    recheck_ms: int = attrs.field(default=DEFAULT_RECHECK_MS, validator=_check_positive)
    settle_ms: int = attrs.field(default=DEFAULT_SETTLE_MS, validator=_check_not_negative)
    stop_ms: int = attrs.field(default=DEFAULT_STOP_MS, validator=_check_positive)

    @property
    def wait_out_ms(self) -> int:
        """Time from a cleared claim to the first decision, in milliseconds.

        Two clocks may each be off by the drift bound, in opposite directions.
        """
        longest_ms = max(self.longest_lease_ms, self.fence_ms)
        drift_ms = -(-longest_ms * 2 * self.drift_ppm // (PPM - self.drift_ppm))
        return longest_ms + drift_ms + self.margin_ms
