"""An in-memory VM list whose changes become visible after a delay."""

from __future__ import annotations

import collections
import dataclasses
import threading

from returns.result import Failure, Result, Success

from trefoilpitch.clock import Clock
from trefoilpitch.vms._exceptions import VmListError
from trefoilpitch.vms._types import Vm


@dataclasses.dataclass(frozen=True, slots=True)
class _ListVersion:
    """The list as of one change."""

    # Time of the change.
    since_ms: int
    vms: tuple[Vm, ...]


class LaggingVmList:
    """A thread-safe VM list that returns its state of some time ago.

    Args:
        clock: Measures the delay.
        lag_ms: Delay until a change is visible to reads.
    """

    def __init__(self, clock: Clock, lag_ms: int = 0) -> None:
        self._clock = clock
        self._lag_ms = lag_ms
        self._lock = threading.Lock()
        self._visible: tuple[Vm, ...] = ()
        self._pending: collections.deque[_ListVersion] = collections.deque()
        self._is_down = False

    def set_vms(self, vms: tuple[Vm, ...]) -> None:
        """Replaces the list; visible to reads after the lag."""
        with self._lock:
            self._pending.append(_ListVersion(self._clock.now_ms(), vms))

    def set_lag_ms(self, lag_ms: int) -> None:
        """Sets the delay until a change is visible to reads."""
        with self._lock:
            self._lag_ms = lag_ms

    def set_down(self, down: bool) -> None:
        """Makes every read fail while down."""
        with self._lock:
            self._is_down = down

    def read(self) -> Result[tuple[Vm, ...], VmListError]:
        """Returns the VMs as of one lag ago."""
        with self._lock:
            if self._is_down:
                return Failure(VmListError(detail="connection refused"))
            visible_until_ms = self._clock.now_ms() - self._lag_ms
            while (
                self._pending and self._pending[0].since_ms <= visible_until_ms
            ):
                self._visible = self._pending.popleft().vms
            return Success(self._visible)
