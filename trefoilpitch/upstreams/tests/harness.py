"""Stand-ins, clients and clocks that several tests use."""

from __future__ import annotations

import contextlib
import dataclasses
import threading
import time
from collections.abc import Callable, Iterator

from trefoilpitch.bundle import VersionRef
from trefoilpitch.clock import Clock, ManualClock, SystemClock
from trefoilpitch.standins import (
    EngineSettings,
    EngineStandIn,
    open_engine_stand_in,
)
from trefoilpitch.upstreams import (
    CompletionRequest,
    DeadlineMonitor,
    EngineClient,
    Message,
    Timeouts,
    open_engine_client,
)

VERSION = VersionRef("small", "1")
CLOCK = SystemClock()
DEADLINE_MS = 20_000
_WAIT_LIMIT_S = 10


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineHarness:
    """An engine stand-in and a client of it."""

    engine: EngineStandIn
    client: EngineClient


class MonitoredClock(ManualClock):
    """A manual clock that counts how often the deadline monitor reads it."""

    def __init__(self, start_ms: int = 0) -> None:
        super().__init__(start_ms)
        self._monitor_reads = 0

    def now_ms(self) -> int:
        now_ms = super().now_ms()
        if threading.current_thread().name == "deadline-watch":
            self._monitor_reads += 1
        return now_ms

    def advance_and_wait(self, by_ms: int) -> None:
        """Advances the clock and waits until the monitor has acted on it."""
        self.advance(by_ms)
        # A round of the monitor reads the clock at most twice, so four more
        # reads include at least one full round.
        target = self._monitor_reads + 4
        wait_until(lambda: self._monitor_reads >= target)


@contextlib.contextmanager
def advancing_when(
    condition: Callable[[], bool], clock: ManualClock, by_ms: int
) -> Iterator[None]:
    """Advances a clock repeatedly while the block runs.

    The first advance is made once the condition holds.
    """
    ended = threading.Event()

    def advance() -> None:
        wait_until(condition)
        while not ended.wait(0.005):
            clock.advance(by_ms)

    thread = threading.Thread(target=advance)
    thread.start()
    try:
        yield
    finally:
        ended.set()
        thread.join()


@contextlib.contextmanager
def open_engine_harness(
    *,
    timeouts: Timeouts | None = None,
    max_connections: int = 64,
    clock: Clock = CLOCK,
    settings: EngineSettings | None = None,
    engine_clock: Clock = CLOCK,
) -> Iterator[EngineHarness]:
    settings = settings or EngineSettings(warm_after=0, token_ms=0)
    settings.versions = settings.versions or [str(VERSION)]
    with (
        DeadlineMonitor(clock) as deadline_monitor,
        open_engine_stand_in(settings, clock=engine_clock) as engine,
        open_engine_client(
            upstream="e1",
            address=engine.address,
            clock=clock,
            deadline_monitor=deadline_monitor,
            max_connections=max_connections,
            timeouts=timeouts,
        ) as client,
    ):
        yield EngineHarness(engine=engine, client=client)


@contextlib.contextmanager
def raw_client(address: str) -> Iterator[EngineClient]:
    with (
        DeadlineMonitor(CLOCK) as deadline_monitor,
        open_engine_client(
            upstream="e1",
            address=address,
            clock=CLOCK,
            deadline_monitor=deadline_monitor,
        ) as client,
    ):
        yield client


def completion(
    request_id: str = "r1",
    *,
    prompt: str = "tag this hymn",
    version: VersionRef = VERSION,
    clock: Clock = CLOCK,
    deadline_ms: int = DEADLINE_MS,
) -> CompletionRequest:
    return CompletionRequest(
        request_id=request_id,
        version=version,
        messages=(Message(role="user", content=prompt),),
        max_output_tokens=1000,
        deadline_ms=clock.now_ms() + deadline_ms,
    )


def wait_until(condition: Callable[[], bool]) -> None:
    """Waits for a condition; fails if it does not hold in time."""
    limit_s = time.monotonic() + _WAIT_LIMIT_S
    pause = threading.Event()
    while not condition():
        assert time.monotonic() < limit_s, "the condition did not hold in time"
        pause.wait(0.002)
