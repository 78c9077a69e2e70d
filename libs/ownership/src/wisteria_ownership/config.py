"""Configuration of slot ownership."""

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
    """Timeouts and bounds of the ownership protocol; must be equal on every daemon.

    Parameters
    ----------
    longest_lease_ms : int
        Longest lease that a holder grants to another VM to act on its behalf, measured on the
        borrower's clock from the moment of its request.
    drift_ppm : int
        Bound on the rate error of any VM's clock, in parts per million.
    margin_ms : int
        Safety margin added to the wait after a claim.
    fence_ms : int
        Longest event loop stall after which a holder may still decide. After a longer one the
        daemon gives up all its slots.
    resend_ms, resend_max_ms : int
        First and longest retransmission interval of an unanswered message.
    recheck_ms : int
        Interval at which the last known holder is asked whether it still holds the slot.
    settle_ms : int
        Shortest time between receiving a slot by hand-over and offering it to another VM.
    stop_ms : int
        Time limit for the hand-overs of a planned stop.
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
        """Time from the last grant of a claim to the first decision, in milliseconds.

        Covers the longer of the longest lease and the fence of an earlier holder, when its clock
        and this one drift in opposite directions, each by the bound.
        """
        longest_ms = max(self.longest_lease_ms, self.fence_ms)
        drift_ms = -(-longest_ms * 2 * self.drift_ppm // (PPM - self.drift_ppm))
        return longest_ms + drift_ms + self.margin_ms
