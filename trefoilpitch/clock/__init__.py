"""Time in milliseconds, injected wherever a decision depends on it."""

from trefoilpitch.clock._clock import Clock, ManualClock, SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
