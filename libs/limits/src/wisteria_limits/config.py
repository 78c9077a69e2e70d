"""Configuration of token lending, shared by lenders and borrowers."""

import attrs

from . import const


@attrs.frozen
class LimitsConfig:
    """Parameters of lenders and borrowers.

    Parameters
    ----------
    lease_ms : int
        Lifetime of a loan on the borrower's clock, counted from the sending of its request.
    drift_ppm : int
        Maximum rate error of any VM's clock, in parts per million.
    margin_ms : int
        Added by the owner to each expiry for the resolution of the clocks.
    clock_step_ms : int
        Resolution of the clocks; the refill of this time is subtracted from the burst.
    reserve_ms : int
        Time for which a borrower's reserve covers the estimated demand.
    reserve_burst_divisor : int
        A borrower's reserve is at most its demand's share of the burst divided by this.
    wait_limit_ms : int
        Maximum time that a call waits for a loan.
    reply_timeout_ms : int
        Time without a reply after which an owner is considered unresponsive.
    round_interval_ms : int
        Interval between requests for reserves, which are batched over all accounts.
    report_interval_ms, report_interval_max_ms : int
        Bounds of the maximum delay of a report on spent tokens. Within them, it is proportional to
        the time in which the account's rate refills its burst.
    report_burst_divisor : int
        Unreported tokens are reported at once when they reach the burst divided by this.
    request_interval_ms, request_interval_max_ms : int
        Initial and maximum back-off between request rounds of one account, doubled by each
        consecutive round in which the owners grant little.
    silence_retry_ms, silence_retry_max_ms : int
        Initial and maximum back-off before an unresponsive owner gets another request.
    demand_rise_ms, demand_fall_ms : int
        Time constants of the demand estimate when several calls at once raise it, and
        otherwise.
    idle_return_ms : int
        Time without calls after which the loans of an account are returned.
    """

    lease_ms: int = const.DEFAULT_LEASE_MS
    drift_ppm: int = const.DEFAULT_DRIFT_PPM
    margin_ms: int = const.DEFAULT_MARGIN_MS
    clock_step_ms: int = const.DEFAULT_CLOCK_STEP_MS
    reserve_ms: int = const.DEFAULT_RESERVE_MS
    reserve_burst_divisor: int = const.DEFAULT_RESERVE_BURST_DIVISOR
    wait_limit_ms: int = const.DEFAULT_WAIT_LIMIT_MS
    reply_timeout_ms: int = const.DEFAULT_REPLY_TIMEOUT_MS
    round_interval_ms: int = const.DEFAULT_ROUND_INTERVAL_MS
    report_interval_ms: int = const.DEFAULT_REPORT_INTERVAL_MS
    report_interval_max_ms: int = const.DEFAULT_REPORT_INTERVAL_MAX_MS
    report_burst_divisor: int = const.DEFAULT_REPORT_BURST_DIVISOR
    request_interval_ms: int = const.DEFAULT_REQUEST_INTERVAL_MS
    request_interval_max_ms: int = const.DEFAULT_REQUEST_INTERVAL_MAX_MS
    silence_retry_ms: int = const.DEFAULT_SILENCE_RETRY_MS
    silence_retry_max_ms: int = const.DEFAULT_SILENCE_RETRY_MAX_MS
    demand_rise_ms: int = const.DEFAULT_DEMAND_RISE_MS
    demand_fall_ms: int = const.DEFAULT_DEMAND_FALL_MS
    idle_return_ms: int = const.DEFAULT_IDLE_RETURN_MS

    @property
    def owner_lease_ms(self) -> int:
        """Return how long the owner counts a loan as outstanding, on its own clock.

        Covers a borrower's clock slow and an owner's clock fast by `drift_ppm`.
        """
        stretched = self.lease_ms * (const.PPM + self.drift_ppm) * const.PPM
        bound = (const.PPM - self.drift_ppm) * const.PPM
        return -(-stretched // bound) + self.margin_ms

    @property
    def wait_out_ms(self) -> int:
        """Return how long a new owner waits, on its own clock, after its claim is cleared.

        All loans of the previous owner have expired by then.
        """
        return self.owner_lease_ms
