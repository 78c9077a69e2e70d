"""Parameters of lending that both sides of a loan share."""

import attrs

from . import const


@attrs.frozen
class LimitsConfig:
    """Tunable parameters of lenders and borrowers.

    Parameters
    ----------
    lease_ms : int
        Life of a loan on the borrower's clock, from the moment its request was sent.
    drift_ppm : int
        Bound on the error of any VM's clock against true time, in parts per million.
    margin_ms : int
        Added by the owner to each expiry, for the resolution of the clocks.
    clock_step_ms : int
        Resolution of the clocks; this much refill is kept out of the burst.
    reserve_ms : int
        Demand that a borrower holds ahead of need, in milliseconds of that demand.
    reserve_burst_divisor : int
        A borrower's reserve is at most the account's burst divided by this.
    wait_limit_ms : int
        Longest wait of a call for a loan under way.
    reply_timeout_ms : int
        An owner that has not replied for so long is taken as silent.
    round_ms : int
        Pause between two rounds of requests that are ahead of need, for all accounts together.
    report_interval_ms, report_interval_max_ms : int
        Longest delay of a report on spent tokens; within these bounds it grows with the time
        in which the account's rate refills its burst.
    report_burst_divisor : int
        Spent tokens beyond the account's burst divided by this are reported at once.
    ask_interval_ms, ask_interval_max_ms : int
        Shortest and longest pause between requests for waiting calls of one account; it
        doubles while the owners grant little.
    silence_retry_ms, silence_retry_max_ms : int
        First and longest pause before a silent owner is asked again.
    demand_rise_ms, demand_fall_ms : int
        Time constants of the demand estimate.
    idle_return_ms : int
        Loans of an account without calls for so long are returned.
    """

    lease_ms: int = const.DEFAULT_LEASE_MS
    drift_ppm: int = const.DEFAULT_DRIFT_PPM
    margin_ms: int = const.DEFAULT_MARGIN_MS
    clock_step_ms: int = const.DEFAULT_CLOCK_STEP_MS
    reserve_ms: int = const.DEFAULT_RESERVE_MS
    reserve_burst_divisor: int = const.DEFAULT_RESERVE_BURST_DIVISOR
    wait_limit_ms: int = const.DEFAULT_WAIT_LIMIT_MS
    reply_timeout_ms: int = const.DEFAULT_REPLY_TIMEOUT_MS
    round_ms: int = const.DEFAULT_ROUND_MS
    report_interval_ms: int = const.DEFAULT_REPORT_INTERVAL_MS
    report_interval_max_ms: int = const.DEFAULT_REPORT_INTERVAL_MAX_MS
    report_burst_divisor: int = const.DEFAULT_REPORT_BURST_DIVISOR
    ask_interval_ms: int = const.DEFAULT_ASK_INTERVAL_MS
    ask_interval_max_ms: int = const.DEFAULT_ASK_INTERVAL_MAX_MS
    silence_retry_ms: int = const.DEFAULT_SILENCE_RETRY_MS
    silence_retry_max_ms: int = const.DEFAULT_SILENCE_RETRY_MAX_MS
    demand_rise_ms: int = const.DEFAULT_DEMAND_RISE_MS
    demand_fall_ms: int = const.DEFAULT_DEMAND_FALL_MS
    idle_return_ms: int = const.DEFAULT_IDLE_RETURN_MS

    @property
    def owner_lease_ms(self) -> int:
        """Return how long the owner counts a loan, on its own clock.

        The borrower's clock may run slow and the owner's fast, each by the drift bound.
        """
        stretched = self.lease_ms * (const.PPM + self.drift_ppm) * const.PPM
        bound = (const.PPM - self.drift_ppm) * const.PPM
        return -(-stretched // bound) + self.margin_ms

    @property
    def wait_out_ms(self) -> int:
        """Return how long an heir waits, on its own clock, after a claim is cleared."""
        return self.owner_lease_ms
