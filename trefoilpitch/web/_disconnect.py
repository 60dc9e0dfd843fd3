"""Signals that the caller of a request has disconnected."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Callable, Iterator


class DisconnectSignal:
    """Notifies listeners that a caller has disconnected; thread-safe.

    One signal serves one connection, whose requests register their listeners
    one after another.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listeners: list[Callable[[], None]] = []
        self._is_triggered = False

    @contextlib.contextmanager
    def listen(self, listener: Callable[[], None]) -> Iterator[None]:
        """Calls a listener once if the caller disconnects in the context.

        Args:
            listener: Called from the thread that detects the disconnect, or
                at once if the caller has disconnected already; it must not
                block.
        """
        with self._lock:
            is_triggered = self._is_triggered
            self._listeners.append(listener)
        if is_triggered:
            listener()
        try:
            yield
        finally:
            with self._lock:
                if listener in self._listeners:
                    self._listeners.remove(listener)

    def trigger(self) -> None:
        """Records the disconnect and notifies the listeners; idempotent."""
        with self._lock:
            self._is_triggered = True
            listeners, self._listeners = self._listeners, []
        for listener in listeners:
            listener()
