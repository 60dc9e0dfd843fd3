"""Runs keyed requests at most once among the threads of their home."""

from __future__ import annotations

import threading
from typing import Generic, TypeVar

from trefoilpitch.clock import Clock
from trefoilpitch.requests import (
    Admission,
    KeyedRequestId,
    RequestRegistry,
    Verdict,
)
from trefoilpitch.serving._queue import Waiter
from trefoilpitch.upstreams import Cancellation

ResponseT = TypeVar("ResponseT")


class KeyedRequests(Generic[ResponseT]):
    """A registry shared by the threads that serve requests.

    Args:
        registry: Decides on each request.
        clock: Measures how long a request waits for another one.
        waiter: Lets it wait.
    """

    def __init__(
        self,
        registry: RequestRegistry[ResponseT],
        clock: Clock,
        waiter: Waiter,
    ) -> None:
        self._registry = registry
        self._waiter = waiter
        self._clock = clock
        self._changed = threading.Condition()

    def admit(
        self,
        keyed_id: KeyedRequestId,
        fingerprint: bytes,
        issued_ms: int,
        deadline_ms: int,
        *,
        cancellation: Cancellation,
    ) -> Admission[ResponseT]:
        """Decides on a request; waits while the same one is running.

        Args:
            keyed_id: The workspace and its idempotency key.
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
            admission = self._admit(keyed_id, fingerprint, issued_ms)
            while admission.verdict is Verdict.JOIN:
                left_ms = deadline_ms - self._clock.now_ms()
                if left_ms <= 0 or cancellation.cancelled:
                    return admission
                self._waiter.wait(self._changed, left_ms)
                admission = self._admit(keyed_id, fingerprint, issued_ms)
            return admission

    def cancel(self) -> None:
        """Wakes the waits, because one of them has been cancelled."""
        with self._changed:
            self._changed.notify_all()

    def finish_not_run(self, keyed_id: KeyedRequestId) -> None:
        """Records that the request did not run."""
        with self._changed:
            self._registry.finish_not_run(keyed_id)
            self._changed.notify_all()

    def finish_unknown(self, keyed_id: KeyedRequestId) -> None:
        """Records that nobody can tell whether the request ran."""
        with self._changed:
            self._registry.finish_unknown(keyed_id)
            self._changed.notify_all()

    def finish_ran(
        self,
        keyed_id: KeyedRequestId,
        response: ResponseT | None,
        response_bytes: int,
    ) -> None:
        """Records that the request ran, and its answer."""
        with self._changed:
            self._registry.finish_ran(keyed_id, response, response_bytes)
            self._changed.notify_all()

    def is_first(self, keyed_id: KeyedRequestId, issued_ms: int) -> bool:
        """Returns whether the key is valid and has no history."""
        with self._changed:
            now_ms = self._clock.now_ms()
            return self._registry.is_first(keyed_id, issued_ms, now_ms)

    def _admit(
        self, keyed_id: KeyedRequestId, fingerprint: bytes, issued_ms: int
    ) -> Admission[ResponseT]:
        now_ms = self._clock.now_ms()
        return self._registry.admit(keyed_id, fingerprint, issued_ms, now_ms)
