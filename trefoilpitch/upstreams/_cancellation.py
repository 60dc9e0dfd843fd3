"""Cancels a request from another thread, at any time in its life."""

from __future__ import annotations

import threading
from typing import Protocol


class _Cancellable(Protocol):
    def cancel(self) -> None: ...


class Cancellation:
    """A handle that cancels one request.

    The request passes through several operations, one at a time: waits for a
    slot, and exchanges with upstreams. Each is attached when it begins.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._target: _Cancellable | None = None
        self._cancelled = False

    @property
    def cancelled(self) -> bool:
        """Whether ``cancel`` was called."""
        return self._cancelled

    def cancel(self) -> None:
        """Cancels the current operation and any that is attached later."""
        with self._lock:
            self._cancelled = True
            target = self._target
        if target is not None:
            target.cancel()

    def attach(self, target: _Cancellable) -> None:
        """Sets the current operation; cancels it if ``cancel`` was called."""
        with self._lock:
            self._target = target
            cancelled = self._cancelled
        if cancelled:
            target.cancel()
