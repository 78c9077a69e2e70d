"""Which calls a daemon still takes while it is stopping."""

import attrs


@attrs.frozen
class StopTimes:
    """Times of a stop that bound the calls which are still taken, on the daemon's clock.

    Parameters
    ----------
    late_from_ms : int
        Time from which a call is only taken if its deadline lies before `cut_at_ms`.
    cut_at_ms : int
        Time at which the calls in flight are cut off.
    """

    late_from_ms: int
    cut_at_ms: int

    def would_cut(self, now_ms: int, end_at_ms: int) -> bool:
        """Return whether a call comes late in the stop and may not be answered before its end.

        Parameters
        ----------
        end_at_ms : int
            Time at which the caller gives the call up.
        """
        return now_ms >= self.late_from_ms and end_at_ms > self.cut_at_ms
