"""A list in memory that lags behind by a settable delay."""

from __future__ import annotations

import collections
import dataclasses
import threading

from returns.result import Failure, Result, Success

from trefoilpitch.clock import Clock
from trefoilpitch.vms._exceptions import VmListError
from trefoilpitch.vms._types import Vm


@dataclasses.dataclass(frozen=True, slots=True)
class _Version:
    """The list from one moment on."""

    # When it was set.
    since_ms: int
    # The VMs.
    vms: tuple[Vm, ...]


class LaggingVmList:
    """A thread-safe list that shows what was set some time ago.

    Args:
        clock: Times the delay.
        lag_ms: How long a change takes to show.
    """

    def __init__(self, clock: Clock, lag_ms: int = 0) -> None:
        self._clock = clock
        self._lag_ms = lag_ms
        self._lock = threading.Lock()
        self._shown: tuple[Vm, ...] = ()
        self._pending: collections.deque[_Version] = collections.deque()
        self._is_down = False

    def set_vms(self, vms: tuple[Vm, ...]) -> None:
        """Changes the list; reads show it after the lag."""
        with self._lock:
            self._pending.append(_Version(self._clock.now_ms(), vms))

    def set_lag_ms(self, lag_ms: int) -> None:
        """Sets how long a change takes to show."""
        with self._lock:
            self._lag_ms = lag_ms

    def set_down(self, down: bool) -> None:
        """Fails every read while down."""
        with self._lock:
            self._is_down = down

    def read(self) -> Result[tuple[Vm, ...], VmListError]:
        """Returns the VMs as they were the lag ago."""
        with self._lock:
            if self._is_down:
                return Failure(VmListError(detail="connection refused"))
            shown_until_ms = self._clock.now_ms() - self._lag_ms
            while self._pending and self._pending[0].since_ms <= shown_until_ms:
                self._shown = self._pending.popleft().vms
            return Success(self._shown)
