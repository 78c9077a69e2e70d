"""A backend server that fails every call gets only probes; one that fails some gets all."""

from wisteria_admission import CircuitBreaker
from wisteria_admission.circuit_breaker import OPEN_FAILURES, PROBE_INTERVAL_MS


def make_open() -> CircuitBreaker:
    breaker = CircuitBreaker()
    for _ in range(OPEN_FAILURES):
        assert breaker.allows(0)
        breaker.note_failure(0)
    return breaker


def test_it_opens_after_consecutive_failures_and_lets_probes_through() -> None:
    breaker = make_open()
    assert breaker.is_open
    allowed = [now_ms for now_ms in range(1, 1_001) if breaker.allows(now_ms)]
    assert allowed == list(range(PROBE_INTERVAL_MS, 1_001, PROBE_INTERVAL_MS))


def test_a_success_closes_it_at_once() -> None:
    breaker = make_open()
    assert breaker.allows(PROBE_INTERVAL_MS)
    breaker.note_success()
    assert all(breaker.allows(PROBE_INTERVAL_MS) for _ in range(100))


def test_a_probe_that_fails_keeps_it_open() -> None:
    breaker = make_open()
    assert breaker.allows(PROBE_INTERVAL_MS)
    breaker.note_failure(PROBE_INTERVAL_MS + 10)
    assert not breaker.allows(2 * PROBE_INTERVAL_MS - 1)
    assert breaker.allows(2 * PROBE_INTERVAL_MS)


# guards against taking a server out that serves part of its calls
def test_it_stays_closed_for_a_server_that_fails_most_calls() -> None:
    breaker = CircuitBreaker()
    for number in range(100):
        assert breaker.allows(number)
        if number % OPEN_FAILURES == 0:
            breaker.note_success()
        else:
            breaker.note_failure(number)
