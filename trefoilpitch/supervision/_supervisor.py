"""Runs actors and restarts those that fail, with exponential back-off."""

from __future__ import annotations

import dataclasses
import enum
import threading
from collections.abc import Callable
from typing import Any

import logbook
import pykka

from trefoilpitch.clock import Clock

INITIAL_DELAY_MS = 100
MAX_DELAY_MS = 10_000
# After a run of this length, the back-off starts over.
STABLE_AFTER_MS = 60_000

_LOG = logbook.Logger("trefoilpitch.supervision")


class ChildState(enum.Enum):
    """The state of a supervised actor."""

    RUNNING = "running"
    BACKING_OFF = "backing_off"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChildSpec:
    """How to start one supervised actor."""

    # Unique in the supervisor.
    name: str
    # Starts the actor and returns its reference.
    start: Callable[[], pykka.ActorRef[Any]]
    # Interval of the :class:`Tick` messages, in milliseconds.
    tick_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """The periodic message on which actors do time-based work."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChildStatus:
    """The state of a child, as shown in the state dump."""

    name: str
    state: ChildState
    # Number of restarts, including failed attempts.
    restarts: int
    # Description of the last failure; empty if there was none.
    last_error: str


class RestartPolicy:
    """Decides when a failed child is restarted; performs no I/O."""

    def __init__(self) -> None:
        self._delay_ms = INITIAL_DELAY_MS
        self._started_ms = 0
        self._start_at_ms = 0

    def record_start(self, now_ms: int) -> None:
        """Records that the child was started."""
        self._started_ms = now_ms

    def record_failure(self, now_ms: int) -> None:
        """Records a failure and schedules the restart."""
        if now_ms - self._started_ms >= STABLE_AFTER_MS:
            self._delay_ms = INITIAL_DELAY_MS
        self._start_at_ms = now_ms + self._delay_ms
        self._delay_ms = min(MAX_DELAY_MS, 2 * self._delay_ms)

    def may_start(self, now_ms: int) -> bool:
        """Returns whether the delay before the restart has passed."""
        return now_ms >= self._start_at_ms


class _Child:
    def __init__(self, spec: ChildSpec) -> None:
        self.spec = spec
        self.policy = RestartPolicy()
        self.ref: pykka.ActorRef[Any] | None = None
        self.restarts = 0
        self.last_error = ""
        self.next_tick_ms = 0

    @property
    def is_alive(self) -> bool:
        return self.ref is not None and self.ref.is_alive()

    def status(self) -> ChildStatus:
        state = ChildState.RUNNING if self.is_alive else ChildState.BACKING_OFF
        return ChildStatus(
            name=self.spec.name,
            state=state,
            restarts=self.restarts,
            last_error=self.last_error,
        )


class Supervisor:
    """Runs actors, sends them ticks and restarts those that fail.

    A context manager that starts the children in order and stops them in
    reverse order. One thread polls all of them.

    Args:
        specs: The children, in the order in which to start them.
        clock: Measures back-off delays and tick intervals.
        poll_ms: Interval between checks of the children.
    """

    def __init__(
        self, specs: tuple[ChildSpec, ...], clock: Clock, poll_ms: int = 20
    ) -> None:
        self._children = [_Child(spec) for spec in specs]
        self._clock = clock
        self._poll_s = poll_ms / 1_000
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="supervisor", daemon=True
        )

    def __enter__(self) -> Supervisor:
        for child in self._children:
            self._start(child)
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Stops the children; idempotent."""
        if self._stopping.is_set():
            return
        self._stopping.set()
        self._thread.join()
        for child in reversed(self._children):
            if child.ref is not None:
                child.ref.stop(block=True, timeout=5)

    def tell(self, name: str, message: object) -> bool:
        """Sends a message to a child; returns False if it is not running."""
        for child in self._children:
            if child.spec.name == name and child.ref is not None:
                return _tell(child.ref, message)
        return False

    def statuses(self) -> tuple[ChildStatus, ...]:
        """Returns the state of every child."""
        return tuple(child.status() for child in self._children)

    def _run(self) -> None:
        while not self._stopping.wait(self._poll_s):
            for child in self._children:
                self._check_child(child)

    def _check_child(self, child: _Child) -> None:
        now_ms = self._clock.now_ms()
        if child.is_alive:
            self._tick(child, now_ms)
        elif child.ref is not None:
            child.ref = None
            child.policy.record_failure(now_ms)
            child.last_error = "the actor ended by an unhandled exception"
            _LOG.warning(
                "actor {} ended by an unhandled exception; restarting",
                child.spec.name,
            )
        elif child.policy.may_start(now_ms):
            child.restarts += 1
            self._start(child)

    def _tick(self, child: _Child, now_ms: int) -> None:
        if now_ms < child.next_tick_ms or child.ref is None:
            return
        child.next_tick_ms = now_ms + child.spec.tick_ms
        _tell(child.ref, Tick())

    def _start(self, child: _Child) -> None:
        now_ms = self._clock.now_ms()
        child.policy.record_start(now_ms)
        try:
            child.ref = child.spec.start()
        except Exception as error:
            # No failure of a child may stop the others.
            child.last_error = repr(error)
            child.policy.record_failure(now_ms)
            _LOG.warning("actor {} failed to start; retrying", child.spec.name)


def _tell(ref: pykka.ActorRef[Any], message: object) -> bool:
    try:
        ref.tell(message)
    except pykka.ActorDeadError:
        return False
    return True
