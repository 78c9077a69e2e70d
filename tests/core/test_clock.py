"""Clock readings never decrease."""

import pytest

from wisteria_core import Clock, ManualClock


def test_manual_clock_advances() -> None:
    clock = ManualClock()
    assert clock.advance(250) == 250
    assert clock.now_ms() == 250


def test_manual_clock_refuses_to_step_back() -> None:
    with pytest.raises(ValueError, match="monotonic"):
        ManualClock().advance(-1)


def test_boot_clock_does_not_step_back() -> None:
    clock = Clock()
    assert clock.now_ms() <= clock.now_ms()
