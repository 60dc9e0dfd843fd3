"""Faults that a stand-in is told to commit."""

from __future__ import annotations

import threading
from collections.abc import Iterable

import msgspec


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """A fault and how often to commit it."""

    # What goes wrong; each stand-in lists the kinds that it knows.
    kind: str
    # How many requests it befalls.
    times: int = 1
    # Chunks sent before it happens, for faults in the middle of a stream.
    after: int = 0
    # How long to delay, in milliseconds.
    delay_ms: int = 0
    # HTTP status, for refusals.
    status: int = 503
    # Whether a refusal says that nothing ran.
    not_run: bool = True
    # Befalls only requests whose path starts so.
    path: str = ""


class FaultPlan:
    """The faults still to be committed; safe to use from many threads.

    Args:
        kinds: Kinds of fault that the stand-in knows.
    """

    def __init__(self, kinds: Iterable[str]) -> None:
        self._kinds = frozenset(kinds)
        self._faults: list[Fault] = []
        self._lock = threading.Lock()

    @property
    def pending(self) -> int:
        """How many faults wait for a request to befall."""
        with self._lock:
            return sum(fault.times for fault in self._faults)

    def add(self, fault: Fault) -> None:
        """Plans a fault.

        Raises:
            ValueError: If the stand-in knows no such fault.
        """
        if fault.kind not in self._kinds:
            raise ValueError(f"no such kind of fault: {fault.kind!r}")
        with self._lock:
            self._faults.append(fault)

    def clear(self) -> None:
        """Forgets all faults."""
        with self._lock:
            self._faults.clear()

    def take(self, path: str, *kinds: str) -> Fault | None:
        """Takes the next fault of one of the kinds for a path, if any."""
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
