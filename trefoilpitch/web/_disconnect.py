"""Tells when the caller of a request has gone."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Callable, Iterator


class DisconnectSignal:
    """Tells whoever watches that a caller has gone; safe for many threads.

    One object serves one connection, whose requests are watched one after
    the other.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listeners: list[Callable[[], None]] = []
        self._has_happened = False

    @contextlib.contextmanager
    def listen(self, listener: Callable[[], None]) -> Iterator[None]:
        """Calls a listener once if the caller goes within the context.

        Args:
            listener: Called from the thread that notices, also when the
                caller had gone before; it must not block.
        """
        with self._lock:
            has_happened = self._has_happened
            self._listeners.append(listener)
        if has_happened:
            listener()
        try:
            yield
        finally:
            with self._lock:
                if listener in self._listeners:
                    self._listeners.remove(listener)

    def trigger(self) -> None:
        """Records that the caller has gone; harmless when done before."""
        with self._lock:
            self._has_happened = True
            listeners, self._listeners = self._listeners, []
        for listener in listeners:
            listener()
