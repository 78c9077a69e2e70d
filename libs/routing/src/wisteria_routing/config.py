"""Configuration of load balancing, retries and poison detection."""

import attrs


@attrs.frozen
class LoadBalancerConfig:
    """Parameters of `LoadBalancer`.

    Parameters
    ----------
    samples : int
        Randomly sampled candidates compared for each call.
    load_half_life_ms : int
        Half-life of the weight of a load reported with an answer.
    report_half_life_ms : int
        Half-life of the weight of a polled health report.
    report_weight : float
        Weight of a new health report relative to a new load reported with an answer.
    slow_start_ms : int
        Time until a new or restored backend server gets its full share of calls.
    local_load : float
        Load up to which a backend server of the local failure domain is chosen
        without comparing other failure domains.
    local_slowness : float
        Slowness relative to the fastest candidate up to which a backend server of the local
        failure domain is chosen without comparing others. Traffic between failure domains has a
        cost; the design note on overload lists the trials.
    local_error_rate : float
        Error rate above the lowest one of all candidates up to which a backend server of the
        local failure domain is chosen without comparing others.
    local_deadline_share : float
        Largest share of a call's remaining time that a run in the local failure domain may be
        expected to take. A longer run might miss its deadline, so it goes to the fastest server.
    explore_share : float
        Share of the calls sent to another failure domain even if a local server is acceptable,
        so that faster remote servers are discovered.
    remote_penalty : float
        Factor on the score of backend servers in other failure domains.
    slowness_half_life_ms : int
        Time without answers in which the slowness of a backend server moves halfway back to 1.
    connect_penalty : float
        Load added for a backend server whose VM is not connected.
    max_in_flight : int
        Maximum calls of this daemon in flight at one backend server.
    error_smoothing : float
        Smoothing factor of the error rate, per outcome.
    error_half_life_ms : int
        Half-life of the error rate while there are no outcomes.
    eject_error_rate : float
        Error rate from which a backend server is ejected.
    eject_min_outcomes : int
        Minimum number of outcomes since the last ejection before another ejection.
    eject_base_ms, eject_max_ms : int
        Duration of the first ejection, which doubles with each further one, and its maximum.
    eject_share : float
        Largest share of the candidates that may be ejected at the same time.
    """

    samples: int = 2
    load_half_life_ms: int = 500
    report_half_life_ms: int = 1_000
    report_weight: float = 0.25
    slow_start_ms: int = 5_000
    local_load: float = 0.8
    local_slowness: float = 2.5
    local_error_rate: float = 0.05
    local_deadline_share: float = 0.6
    explore_share: float = 0.0
    remote_penalty: float = 1.25
    slowness_half_life_ms: int = 10_000
    connect_penalty: float = 0.05
    max_in_flight: int = 200
    error_smoothing: float = 0.1
    error_half_life_ms: int = 3_000
    eject_error_rate: float = 0.5
    eject_min_outcomes: int = 5
    eject_base_ms: int = 1_000
    eject_max_ms: int = 30_000
    eject_share: float = 0.34


@attrs.frozen
class RetryConfig:
    """Parameters of retries and of the retry budget.

    Parameters
    ----------
    ratio_milli : int
        Retries allowed per thousand calls.
    burst : int
        Maximum number of retries that can accumulate in the budget.
    base_delay_ms, max_delay_ms : int
        Upper bound of the first delay, which doubles with each attempt, and its maximum. The
        delay is uniformly distributed between zero and the bound.
    retry_after_ms : int
        Retry-after value of a final refusal for which the failed attempt reported none.
    """

    ratio_milli: int = 100
    burst: int = 20
    base_delay_ms: int = 10
    max_delay_ms: int = 200
    retry_after_ms: int = 500


@attrs.frozen
class PoisonConfig:
    """Parameters of `PoisonDetector`.

    Parameters
    ----------
    max_concurrent_suspects : int
        Maximum number of suspects that may run at the same time on one backend server.
    evidence_ms : int
        Time for which a crash counts against a suspect.
    success_validity_ms : int
        Time for which a success keeps a request in flight during a crash from being suspected.
    suspect_retry_after_ms : int
        Retry-after value for a suspect that cannot run alongside the current suspects.
    """

    max_concurrent_suspects: int = 8
    evidence_ms: int = 600_000
    success_validity_ms: int = 60_000
    suspect_retry_after_ms: int = 100
