import pytest

from trefoilpitch.clock import ManualClock, SystemClock


def test_manual_clock_only_advances_explicitly() -> None:
    clock = ManualClock(5)
    clock.advance(7)
    assert (clock.now_ms(), clock.wall_ms()) == (12, 12)


def test_manual_clock_never_moves_backwards() -> None:
    with pytest.raises(ValueError, match="-1 ms"):
        ManualClock().advance(-1)


def test_system_clock_is_monotonic() -> None:
    clock = SystemClock()
    assert clock.now_ms() <= clock.now_ms()
