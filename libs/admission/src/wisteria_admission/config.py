"""Tunable parameters of admission."""

import attrs


@attrs.frozen
class LimiterConfig:
    """Parameters of the concurrency limiters.

    Parameters
    ----------
    floor : int
        Lowest limit.
    initial : int
        Limit at a cold start.
    window_ms : int
        Shortest time between two adjustments.
    min_samples : int
        Samples that an adjustment needs.
    tolerance : float
        Latency over the baseline that is still taken for normal.
    min_slack_ms : float
        Least latency over the baseline that is taken for too long: scatter of short calls.
    backoff, min_backoff : float
        Factor of a multiplicative decrease when calls are a little too slow, and its lower
        bound when they are far too slow.
    baseline_drift : float
        Share of the gap to a higher latency that the baseline closes in each window.
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
    """Parameters of the shedding level.

    Parameters
    ----------
    interval_ms : int
        Time between two adjustments.
    target_wait_ms : int
        Least target of the expected queueing delay; the run time of a call counts when it is
        longer. The level falls above the target and rises below half of it.
    urgent_factor : int
        Multiple of the target that the wait of urgent calls alone must pass to shed them.
    cut, max_cut : float
        Share of the arrivals that one adjustment sheds at the target wait, in proportion to
        the wait, and its bound.
    min_step, max_step : int
        Ranks by which one adjustment raises the level; doubling from the first to the second
        while slots are idle.
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
    """Parameters of the shedding level by demand.

    Parameters
    ----------
    interval_ms : int
        Time between two adjustments.
    window_ms : int
        Time constant of the demand: a few hundred calls at a busy server.
    target_utilization : float
        Part of the slots to fill; above it queues grow fast.
    drain_ms : float
        Wait that takes the whole capacity for draining it.
    min_utilization : float
        Part of the target that is admitted whatever waits.
    min_ranks : int
        Ranks of the first class that does not fit which are admitted all the same.
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
        Share of the slots that only urgent calls may take.
    long_share : float
        Share of the slots that long downloads may take together.
    queue_per_slot : int
        Queued calls allowed for each slot, in each class.
    newest_first : bool
        Serve the newest call of an account first.
    recheck_wait_factor : float
        Part of the expected wait that a queued call must still be able to afford.
    max_retry_after_ms : int
        Upper bound of the advice to come back.
    sheds_children : bool
        Whether child calls are shed by rank like others. Where only a few kinds of request call
        a service, the work of their parents is lost with them.
    demand : DemandConfig or None
        Has the level follow demand and capacity in place of the wait.
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
