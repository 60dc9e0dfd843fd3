"""Faults that tests inject into a stand-in."""

from __future__ import annotations

import threading
from collections.abc import Iterable

import msgspec


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """A fault, the requests that it matches and how many it hits."""

    # Kind of fault; each stand-in documents the kinds that it supports.
    kind: str
    # Number of requests to hit.
    times: int = 1
    # Chunks to send before the fault, for faults in mid-stream.
    after: int = 0
    # Length of a delay, in milliseconds.
    delay_ms: int = 0
    # HTTP status of a refusal.
    status: int = 503
    # Whether a refusal carries ``Not-Run: true``.
    not_run: bool = True
    # Hits only requests whose path starts with this prefix.
    path: str = ""


class FaultQueue:
    """Injected faults that have not yet hit a request; thread-safe.

    Args:
        kinds: Kinds of fault that the stand-in supports.
    """

    def __init__(self, kinds: Iterable[str]) -> None:
        self._kinds = frozenset(kinds)
        self._faults: list[Fault] = []
        self._lock = threading.Lock()

    @property
    def pending(self) -> int:
        """How many more requests the queued faults will hit."""
        with self._lock:
            return sum(fault.times for fault in self._faults)

    def add(self, fault: Fault) -> None:
        """Queues a fault.

        Raises:
            ValueError: If the stand-in does not support this kind of fault.
        """
        if fault.kind not in self._kinds:
            raise ValueError(f"unsupported kind of fault: {fault.kind!r}")
        with self._lock:
            self._faults.append(fault)

    def clear(self) -> None:
        """Discards all queued faults."""
        with self._lock:
            self._faults.clear()

    def take(self, path: str, *kinds: str) -> Fault | None:
        """Uses up the oldest fault that matches the path and the kinds.

        Returns:
            The fault; None if there is none.
        """
        with self._lock:
            for position, fault in enumerate(self._faults):
                if fault.kind in kinds and path.startswith(fault.path):
                    self._use(position, fault)
                    return fault
        return None

    def _use(self, position: int, fault: Fault) -> None:
        if fault.times <= 1:
            del self._faults[position]
            return
        self._faults[position] = msgspec.structs.replace(
            fault, times=fault.times - 1
        )
