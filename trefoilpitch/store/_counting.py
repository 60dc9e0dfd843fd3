"""Counts a client's calls and their outcomes."""

from __future__ import annotations

import dataclasses
import threading
from typing import TypeVar

from returns.result import Failure, Result

from trefoilpitch.store._exceptions import (
    ConflictError,
    OutcomeUnknownError,
    StoreError,
)
from trefoilpitch.store._types import StoreCounters

_T = TypeVar("_T")


class CallCounter:
    """Thread-safe totals of one client's calls."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters = StoreCounters()

    @property
    def counters(self) -> StoreCounters:
        """A snapshot of the totals."""
        return self._counters

    def count(self, **increments: int) -> None:
        """Adds to the named totals."""
        with self._lock:
            totals = {
                name: getattr(self._counters, name) + increment
                for name, increment in increments.items()
            }
            self._counters = dataclasses.replace(self._counters, **totals)

    def record(self, result: Result[_T, StoreError]) -> Result[_T, StoreError]:
        """Counts a failed call; returns the result unchanged."""
        if isinstance(result, Failure):
            match result.failure():
                case ConflictError():
                    self.count(conflicts=1)
                case OutcomeUnknownError():
                    self.count(outcome_unknown=1)
                case _:
                    self.count(not_applied=1)
        return result
