"""Tunable parameters of routing."""

import attrs


@attrs.frozen
class LoadBalancerConfig:
    """Parameters of the choice of a backend server.

    Parameters
    ----------
    samples : int
        Candidates compared for each call.
    load_half_life_ms : int
        Time in which a load carried on an answer loses half of its weight.
    report_half_life_ms : int
        The same for polled reports.
    report_weight : float
        Weight of a fresh report against a fresh load on an answer.
    slow_start_ms : int
        Time in which a new or returning backend server reaches its full part.
    local_load : float
        Load up to which only the own failure domain is considered.
    local_slowness : float
        Slowness against the fastest candidate up to which only the own failure domain is
        considered. Bytes between domains have a price; the design note on overload has trials.
    local_time_part : float
        Part of a call's time that its run may be expected to take in the own failure domain; a
        run that takes longer is at risk of its deadline and goes where it is fastest.
    explore_share : float
        Part of the calls that leaves the own failure domain although its servers are good
        enough, so that faster ones elsewhere become known.
    remote_penalty : float
        Factor on the score of other failure domains.
    slowness_half_life_ms : int
        Time without answers in which a backend server's slowness halves its gap to the usual.
    connect_penalty : float
        Load that a connection yet to be opened counts for.
    max_in_flight : int
        Calls that this daemon has at one backend server at once.
    error_smoothing : float
        Weight of one outcome in the error rate.
    error_half_life_ms : int
        Time without outcomes in which the error rate halves.
    eject_error_rate : float
        Error rate at which a backend server is ejected.
    eject_min_outcomes : int
        Outcomes since the last ejection that an ejection needs.
    eject_base_ms, eject_max_ms : int
        Length of the first ejection, doubled each time, and its bound.
    eject_share : float
        Largest share of the candidates that may be ejected at once.
    """

    samples: int = 2
    load_half_life_ms: int = 500
    report_half_life_ms: int = 1_000
    report_weight: float = 0.25
    slow_start_ms: int = 5_000
    local_load: float = 0.8
    local_slowness: float = 2.5
    local_time_part: float = 0.6
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
    """Parameters of retries.

    Parameters
    ----------
    ratio_milli : int
        Retries allowed for each thousand calls.
    burst : int
        Retries that may be saved up.
    base_delay_ms, max_delay_ms : int
        Bound of the first delay, doubled each time, and its cap; the delay is drawn evenly
        from zero to the bound.
    retry_after_ms : int
        Advice on a final refusal that brings none of its own.
    """

    ratio_milli: int = 100
    burst: int = 20
    base_delay_ms: int = 10
    max_delay_ms: int = 200
    retry_after_ms: int = 500


@attrs.frozen
class PoisonConfig:
    """Parameters of the detection of requests that crash backend servers.

    Parameters
    ----------
    group : int
        Suspects of one crash that may run together on one backend server.
    evidence_ms : int
        Time for which a crash counts against a suspect.
    vouch_ms : int
        Time for which a success speaks for a request that is in flight during a crash.
    wait_ms : int
        Advice to a suspect that cannot run beside the present ones.
    """

    group: int = 8
    evidence_ms: int = 600_000
    vouch_ms: int = 60_000
    wait_ms: int = 100
