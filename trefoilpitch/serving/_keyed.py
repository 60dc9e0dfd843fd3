"""Coordinates keyed requests among the threads of their home node."""

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
    """A thread-safe registry in which repeats wait for the first request.

    Args:
        registry: Decides on each request.
        clock: Used for the validity of keys and for deadlines.
        waiter: Blocks the threads of repeats.
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
        """Decides what to do with a request; waits while the same one runs.

        Args:
            keyed_id: The workspace and its idempotency key.
            fingerprint: Digest of the request's operation and content.
            issued_ms: When the key was issued.
            deadline_ms: Monotonic time until which to wait.
            cancellation: Ends the wait.

        Returns:
            The admission. After ``RUN`` the caller must call one of the
            ``finish`` methods. ``JOIN`` means that the first request was still
            running when the wait ended.
        """
        cancellation.attach(self)
        with self._changed:
            admission = self._admit(keyed_id, fingerprint, issued_ms)
            while admission.verdict is Verdict.JOIN:
                remaining_ms = deadline_ms - self._clock.now_ms()
                if remaining_ms <= 0 or cancellation.cancelled:
                    return admission
                self._waiter.wait(self._changed, remaining_ms)
                admission = self._admit(keyed_id, fingerprint, issued_ms)
            return admission

    def cancel(self) -> None:
        """Wakes the waiting threads, one of which has been cancelled."""
        with self._changed:
            self._changed.notify_all()

    def finish_not_run(self, keyed_id: KeyedRequestId) -> None:
        """Removes the entry of a request that did not run."""
        with self._changed:
            self._registry.finish_not_run(keyed_id)
            self._changed.notify_all()

    def finish_unknown(self, keyed_id: KeyedRequestId) -> None:
        """Records that the request may or may not have run."""
        with self._changed:
            self._registry.finish_unknown(keyed_id)
            self._changed.notify_all()

    def finish_ran(
        self,
        keyed_id: KeyedRequestId,
        response: ResponseT | None,
        response_bytes: int,
    ) -> None:
        """Records that the request ran, and stores its response."""
        with self._changed:
            self._registry.finish_ran(keyed_id, response, response_bytes)
            self._changed.notify_all()

    def is_first(self, keyed_id: KeyedRequestId, issued_ms: int) -> bool:
        """Returns whether the key is valid and no request has used it."""
        with self._changed:
            now_ms = self._clock.now_ms()
            return self._registry.is_first(keyed_id, issued_ms, now_ms)

    def _admit(
        self, keyed_id: KeyedRequestId, fingerprint: bytes, issued_ms: int
    ) -> Admission[ResponseT]:
        now_ms = self._clock.now_ms()
        return self._registry.admit(keyed_id, fingerprint, issued_ms, now_ms)
