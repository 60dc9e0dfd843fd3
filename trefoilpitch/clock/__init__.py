"""Injectable clocks with millisecond resolution."""

from trefoilpitch.clock._clock import Clock, ManualClock, SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
