"""Cancels a request from another thread, also before its answer has begun."""

from __future__ import annotations

import threading
from typing import Protocol


class _Cancellable(Protocol):
    def cancel(self) -> None: ...


class Cancellation:
    """Handed to a request when it starts; cancels it at most once.

    One object serves one request, whose exchanges and waits for a place
    follow each other.
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
        """Cancels the request under way and any that starts later."""
        with self._lock:
            self._cancelled = True
            target = self._target
        if target is not None:
            target.cancel()

    def attach(self, target: _Cancellable) -> None:
        """Makes an exchange, or a wait, the one to cancel."""
        with self._lock:
            self._target = target
            cancelled = self._cancelled
        if cancelled:
            target.cancel()
