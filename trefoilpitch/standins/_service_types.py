"""Settings and side-effect counts of the service stand-in."""

from __future__ import annotations

import collections
import threading

import msgspec


class ServiceSettings(msgspec.Struct, kw_only=True):
    """Behaviour of the service."""

    # The upstream's name.
    name: str = "service"
    # Concurrent calls, as announced in load reports; not enforced.
    capacity: int = 16
    # Time that each call takes, in milliseconds.
    call_ms: int = 0
    # Whether load reports announce that the service is about to leave.
    leaving: bool = False


class Effects:
    """Counts calls and their side effects; thread-safe."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._lookups = 0
        self._running = 0
        self._lock = threading.Lock()

    @property
    def running(self) -> int:
        """Number of in-flight calls."""
        return self._running

    def add_running(self, change: int) -> None:
        """Adds to the number of in-flight calls."""
        with self._lock:
            self._running += change

    def record(self, operation: str, request_id: str) -> int:
        """Counts a side effect and returns how often it has occurred."""
        with self._lock:
            self._counts[operation, request_id] += 1
            return self._counts[operation, request_id]

    def record_lookup(self) -> None:
        """Counts a look-up."""
        with self._lock:
            self._lookups += 1

    def count(self, operation: str, request_id: str) -> int:
        """Returns how often a request has had its side effect."""
        with self._lock:
            return self._counts[operation, request_id]

    def summary(self) -> dict[str, object]:
        """Returns all counts, as ``GET /standin/counts`` sends them."""
        with self._lock:
            effects = [
                {"operation": operation, "request_id": request_id, "times": n}
                for (operation, request_id), n in self._counts.items()
            ]
            return {"effects": effects, "lookups": self._lookups}
