"""Configuration of admission control."""

import attrs


@attrs.frozen
class LimiterConfig:
    """Parameters of the concurrency limiters.

    Parameters
    ----------
    floor : int
        Minimum limit.
    initial : int
        Limit at startup.
    window_ms : int
        Minimum time between two adjustments.
    min_samples : int
        Minimum number of samples for an adjustment.
    tolerance : float
        Highest ratio of latency to baseline that counts as normal.
    min_slack_ms : float
        Latency above the baseline that is always tolerated, to allow for the scatter of
        short calls.
    backoff, min_backoff : float
        Factor of a multiplicative decrease when calls are slightly too slow, and its lower
        bound when they are far too slow.
    baseline_drift : float
        Fraction of the gap to a higher latency that the baseline closes in each window.
    """

    floor: int = 4
    initial: int = 8
    window_ms: int = 100
    min_samples: int = 10
    tolerance: float = 1.35
    min_slack_ms: float = 5.0
    backoff: float = 0.9
    min_backoff: float = 0.5
    baseline_drift: float = 0.005


@attrs.frozen
class LevelConfig:
    """Parameters of the shedding level that follows the queueing delay.

    Parameters
    ----------
    interval_ms : int
        Time between two adjustments.
    target_wait_ms : int
        Target of the expected queueing delay, or the run time of a call if that is longer.
        The threshold is lowered above the target and raised below half of it.
    urgent_factor : int
        Urgent calls are shed only when the wait behind urgent calls alone exceeds this
        multiple of the target.
    cut, max_cut : float
        Share of the admitted arrivals that one adjustment sheds at the target wait, and its
        upper bound. The share is proportional to the wait.
    min_step, max_step : int
        First and largest number of ranks by which one adjustment raises the threshold. The
        step doubles with each increase; the largest is used only while slots are idle.
    """

    interval_ms: int = 50
    target_wait_ms: int = 150
    urgent_factor: int = 5
    cut: float = 0.05
    max_cut: float = 0.3
    min_step: int = 8
    max_step: int = 128


@attrs.frozen
class DemandConfig:
    """Parameters of the shedding level that follows demand.

    Parameters
    ----------
    interval_ms : int
        Time between two adjustments.
    window_ms : int
        Time constant of the demand average; covers a few hundred calls on a busy server.
    target_utilization : float
        Fraction of the slots to fill; above it, queues grow fast.
    drain_ms : float
        Expected wait at which the whole capacity would be used to drain the queue.
    min_utilization : float
        Fraction of the target utilization that is admitted however long the queue is.
    min_ranks : int
        Ranks always admitted of the first class of requests that exceeds the capacity.
    """

    interval_ms: int = 50
    window_ms: int = 200
    target_utilization: float = 0.96
    drain_ms: float = 80.0
    min_utilization: float = 0.2
    min_ranks: int = 12


@attrs.frozen
class AdmissionConfig:
    """Parameters of one admission gate.

    Parameters
    ----------
    reserve_share : float
        Share of the slots reserved for urgent calls.
    long_share : float
        Share of the slots that long downloads together may occupy.
    queue_per_slot : int
        Maximum number of queued calls per slot, separately for short calls and downloads.
    newest_first : bool
        Serve the newest call of an account first.
    recheck_wait_factor : float
        Fraction of the expected wait and run time that must fit before the deadline of a
        queued call; otherwise it is refused.
    max_retry_after_ms : int
        Upper bound of the Retry-After value.
    sheds_children : bool
        Whether child calls are shed by rank like other calls. Shedding a child call wastes the
        work already done for its parent, notably where few kinds of request call a service.
    demand : DemandConfig or None
        If set, the shedding level follows demand and capacity instead of the queueing delay.
    """

    limiter: LimiterConfig = LimiterConfig()
    level: LevelConfig = LevelConfig()
    reserve_share: float = 0.1
    long_share: float = 0.25
    queue_per_slot: int = 4
    newest_first: bool = False
    recheck_wait_factor: float = 0.5
    max_retry_after_ms: int = 10_000
    sheds_children: bool = True
    demand: DemandConfig | None = None
