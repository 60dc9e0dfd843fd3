"""Settings and counts of the service stand-in."""

from __future__ import annotations

import collections
import threading

import msgspec


class ServiceSettings(msgspec.Struct, kw_only=True):
    """How the service behaves."""

    # The upstream's name.
    name: str = "service"
    # Calls served at once.
    capacity: int = 16
    # Time that each call takes, in milliseconds.
    call_ms: int = 0
    # Whether the service says that it is about to leave.
    leaving: bool = False


class Effects:
    """Counts what the service did; safe to use from many threads."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._lookups = 0
        self._running = 0
        self._lock = threading.Lock()

    @property
    def running(self) -> int:
        """Calls being served."""
        return self._running

    def enter(self, change: int) -> None:
        """Adds to the calls being served."""
        with self._lock:
            self._running += change

    def record(self, operation: str, request_id: str) -> int:
        """Counts an effect and returns how often it has happened."""
        with self._lock:
            self._counts[operation, request_id] += 1
            return self._counts[operation, request_id]

    def record_lookup(self) -> None:
        """Counts a call without effect."""
        with self._lock:
            self._lookups += 1

    def count(self, operation: str, request_id: str) -> int:
        """Returns how often a request has had its effect."""
        with self._lock:
            return self._counts[operation, request_id]

    def summary(self) -> dict[str, object]:
        """Returns all counts."""
        with self._lock:
            effects = [
                {"operation": operation, "request_id": request_id, "times": n}
                for (operation, request_id), n in self._counts.items()
            ]
            return {"effects": effects, "lookups": self._lookups}
