"""Runs keyed requests at most once among the threads of their home."""

from __future__ import annotations

import threading
from typing import Generic, TypeVar

from trefoilpitch.clock import Clock
from trefoilpitch.requests import (
    Admission,
    RequestRegistry,
    RequestSlot,
    Verdict,
)
from trefoilpitch.serving._queue import Parking
from trefoilpitch.upstreams import Cancellation

AnswerT = TypeVar("AnswerT")


class KeyedRequests(Generic[AnswerT]):
    """A registry shared by the threads that serve requests.

    Args:
        registry: Decides on each request.
        clock: Measures how long a request waits for another one.
        parking: Lets it wait.
    """

    def __init__(
        self,
        registry: RequestRegistry[AnswerT],
        clock: Clock,
        parking: Parking,
    ) -> None:
        self._registry = registry
        self._parking = parking
        self._clock = clock
        self._changed = threading.Condition()

    def admit(
        self,
        slot: RequestSlot,
        fingerprint: bytes,
        issued_ms: int,
        deadline_ms: int,
        *,
        cancellation: Cancellation,
    ) -> Admission[AnswerT]:
        """Decides on a request; waits while the same one is running.

        Args:
            slot: The workspace and the key.
            fingerprint: Digest of the request's operation and content.
            issued_ms: When the key was issued.
            deadline_ms: Monotonic time until which to wait.
            cancellation: Ends the wait.

        Returns:
            ``RUN`` obliges the caller to call one of the ``finish`` methods.
            ``JOIN`` means that the other request is still running.
        """
        cancellation.attach(self)
        with self._changed:
            admission = self._admit(slot, fingerprint, issued_ms)
            while admission.verdict is Verdict.JOIN:
                left_ms = deadline_ms - self._clock.now_ms()
                if left_ms <= 0 or cancellation.cancelled:
                    return admission
                self._parking.wait(self._changed, left_ms)
                admission = self._admit(slot, fingerprint, issued_ms)
            return admission

    def cancel(self) -> None:
        """Wakes the waits, because one of them has been cancelled."""
        with self._changed:
            self._changed.notify_all()

    def finish_not_run(self, slot: RequestSlot) -> None:
        """Records that the request did not run."""
        with self._changed:
            self._registry.finish_not_run(slot)
            self._changed.notify_all()

    def finish_unknown(self, slot: RequestSlot) -> None:
        """Records that nobody can tell whether the request ran."""
        with self._changed:
            self._registry.finish_unknown(slot)
            self._changed.notify_all()

    def finish_ran(
        self, slot: RequestSlot, answer: AnswerT | None, answer_bytes: int
    ) -> None:
        """Records that the request ran, and its answer."""
        with self._changed:
            self._registry.finish_ran(slot, answer, answer_bytes)
            self._changed.notify_all()

    def is_first(self, slot: RequestSlot, issued_ms: int) -> bool:
        """Returns whether the key is valid and has no history."""
        with self._changed:
            now_ms = self._clock.now_ms()
            return self._registry.is_first(slot, issued_ms, now_ms)

    def _admit(
        self, slot: RequestSlot, fingerprint: bytes, issued_ms: int
    ) -> Admission[AnswerT]:
        now_ms = self._clock.now_ms()
        return self._registry.admit(slot, fingerprint, issued_ms, now_ms)
