"""Detection of links that carry nothing any more."""

from wisteria_wire.const import MAX_UNANSWERED_PROBES
from wisteria_wire.liveness import LinkLiveness, LivenessAction

KEEP, PROBE, CLOSE = LivenessAction.KEEP, LivenessAction.PROBE, LivenessAction.CLOSE


def check(liveness: LinkLiveness, count: int, *, is_waiting: bool = True) -> list[LivenessAction]:
    return [liveness.check(is_waiting=is_waiting, idle_checks=4) for _ in range(count)]


def test_a_link_that_stays_silent_is_probed_and_closed() -> None:
    """Guards against calls that wait until their deadline on a link that carries nothing."""
    liveness = LinkLiveness()
    assert check(liveness, MAX_UNANSWERED_PROBES + 1) == [PROBE] * MAX_UNANSWERED_PROBES + [CLOSE]


def test_a_link_whose_peer_sends_anything_is_kept() -> None:
    """Guards against closing a link while its peer takes long to answer a call."""
    liveness = LinkLiveness()
    for _ in range(20):
        assert CLOSE not in check(liveness, MAX_UNANSWERED_PROBES)
        liveness.note_received()
        assert check(liveness, 1) == [KEEP]


def test_an_idle_link_is_probed_less_often_and_closed_as_soon() -> None:
    """Guards against a first call on an idle link that has gone silent before."""
    liveness = LinkLiveness()
    assert check(liveness, 4, is_waiting=False) == [KEEP] * 3 + [PROBE]
    assert check(liveness, MAX_UNANSWERED_PROBES, is_waiting=False)[-1] is CLOSE


def test_a_probe_that_is_still_on_its_way_is_not_unanswered() -> None:
    """Guards against closing the link of a peer that steadily reads a long request."""
    liveness = LinkLiveness()
    assert check(liveness, 1) == [PROBE]
    for _ in range(20):
        assert liveness.check(is_waiting=True, idle_checks=4, is_sending=True) is KEEP
