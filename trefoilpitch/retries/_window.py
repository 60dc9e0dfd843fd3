"""A budget that limits retries and hedges in a sliding window."""

from __future__ import annotations

from collections import deque

from trefoilpitch.clock import Clock

_ONE_ATTEMPT = 1.0


class WindowedRetryBudget:
    """Limits extra attempts in any window by its first attempts.

    `trefoilpitch.retries.RetryBudget` discards credit above its burst. Here
    every first attempt in the window counts, so that an outage of some seconds
    can use the credit of the whole window.

    Args:
        clock: The monotonic time.
        share: Extra attempts allowed for each first attempt in the window.
        slack: Extra attempts allowed in every window in addition.
        window_ms: Length of the window.
    """

    def __init__(
        self, clock: Clock, *, share: float, slack: float, window_ms: int
    ) -> None:
        if share < 0.0 or slack < 0.0 or window_ms <= 0:
            raise ValueError(
                f"share {share}, slack {slack} or window {window_ms} ms"
                " is out of range"
            )
        self._clock = clock
        self._share = share
        self._slack = slack
        self._window_ms = window_ms
        self._first_attempts: deque[int] = deque()
        self._extra_attempts: deque[int] = deque()
        # Extra attempts that are going to be made.
        self._reserved = 0

    @property
    def slack(self) -> float:
        """Extra attempts allowed in every window in addition."""
        return self._slack

    @slack.setter
    def slack(self, slack: float) -> None:
        self._slack = slack

    @property
    def available(self) -> float:
        """Extra attempts that the budget allows now."""
        self._expire()
        allowed = self._share * len(self._first_attempts) + self._slack
        return allowed - len(self._extra_attempts) - self._reserved

    def record_first_attempt(self) -> None:
        """Counts a request's first attempt."""
        self._first_attempts.append(self._clock.now_ms())

    def affords(self) -> bool:
        """Returns whether the budget allows another extra attempt."""
        return self.available >= _ONE_ATTEMPT

    def spend(self) -> bool:
        """Counts one extra attempt if the budget allows it.

        Returns:
            Whether it does.
        """
        if not self.affords():
            return False
        self._extra_attempts.append(self._clock.now_ms())
        return True

    def reserve(self) -> bool:
        """Reserves one extra attempt if the budget allows it.

        It counts until `release`, or in the window of its time once it is made.

        Returns:
            Whether it does.
        """
        if not self.affords():
            return False
        self._reserved += 1
        return True

    def spend_reserved(self) -> None:
        """Counts an extra attempt that was reserved, as it is made."""
        self._reserved -= 1
        self._extra_attempts.append(self._clock.now_ms())

    def refund(self) -> None:
        """Takes back the last extra attempt, which did not arrive."""
        if self._extra_attempts:
            self._extra_attempts.pop()

    def release(self) -> None:
        """Takes back a reservation."""
        self._reserved -= 1

    def _expire(self) -> None:
        oldest_ms = self._clock.now_ms() - self._window_ms
        for times in (self._first_attempts, self._extra_attempts):
            while times and times[0] <= oldest_ms:
                times.popleft()
