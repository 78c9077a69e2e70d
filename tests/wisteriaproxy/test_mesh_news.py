"""Reports between mesh daemons."""

import pytest

from wisteriaproxy.mesh.const import REPORT_INTERVAL_MS
from wisteriaproxy.mesh.news import time_to_report


@pytest.mark.parametrize("wall_s", [0.0, 0.1, 1_775_000_000.39, 1_775_000_000.4])
def test_daemons_report_at_the_same_moments(wall_s: float) -> None:
    pause_s = time_to_report(wall_s)
    assert 0 < pause_s <= REPORT_INTERVAL_MS / 1_000
    moment_ms = round((wall_s + pause_s) * 1_000)
    assert moment_ms % REPORT_INTERVAL_MS == 0
