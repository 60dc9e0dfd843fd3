"""An event loop whose time does not depend on how busy the machine is."""

from __future__ import annotations

import asyncio
import os
import pathlib
from collections.abc import Callable, Coroutine
from typing import Any

from trefoilpitch.clock import SystemClock

# Fields: nanoseconds on a processor, nanoseconds in a run queue, time slices.
_SCHEDSTAT = pathlib.Path("/proc/thread-self/schedstat")
_MAX_SCHEDSTAT_BYTES = 128
_NS_PER_S = 1_000_000_000
_MS_PER_S = 1_000


class UndelayedEventLoop(asyncio.SelectorEventLoop):
    """Stops its time while its thread waits for a processor.

    Processor time, blocking calls and waits for events all count. Timeouts and
    measured durations therefore judge the program and not the other processes
    of the machine, provided that all parties run in this loop.

    Where the kernel does not report the time in run queues, the loop's time is
    the monotonic time.

    Args:
        schedstat: File in which the kernel reports it for the calling thread.
    """

    def __init__(self, schedstat: pathlib.Path = _SCHEDSTAT) -> None:
        try:
            self._schedstat = os.open(schedstat, os.O_RDONLY)
        except FileNotFoundError:
            self._schedstat = -1
        super().__init__()

    def time(self) -> float:
        """Returns monotonic time without the time in run queues, in seconds."""
        while True:
            queued_ns = self._queued_ns()
            now_s = super().time()
            # The thread may have been preempted between the two readings.
            if self._queued_ns() == queued_ns:
                return now_s - queued_ns / _NS_PER_S

    def close(self) -> None:
        """Closes the loop and the kernel's report."""
        super().close()
        if self._schedstat >= 0:
            os.close(self._schedstat)
            self._schedstat = -1

    def _queued_ns(self) -> int:
        if self._schedstat < 0:
            return 0
        report = os.pread(self._schedstat, _MAX_SCHEDSTAT_BYTES, 0)
        return int(report.split()[1])


class EventLoopClock:
    """Reads the time of the running event loop."""

    def __init__(self) -> None:
        self._wall_clock = SystemClock()

    def now_ms(self) -> int:
        """Returns the time of the running event loop."""
        return event_loop_ms()

    def wall_ms(self) -> int:
        """Returns the system's wall-clock time."""
        return self._wall_clock.wall_ms()


def event_loop_ms() -> int:
    """Returns the time of the running event loop in whole milliseconds."""
    return int(asyncio.get_running_loop().time() * _MS_PER_S)


def run_undelayed(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Runs a scenario on an `UndelayedEventLoop`."""
    with asyncio.Runner(loop_factory=UndelayedEventLoop) as runner:
        runner.run(scenario())
