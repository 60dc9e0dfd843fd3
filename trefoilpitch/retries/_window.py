"""A budget that bounds extra tries within each stretch of time."""

from __future__ import annotations

from collections import deque

from trefoilpitch.clock import Clock

_WHOLE_TRY = 1.0


class WindowedRetryBudget:
    """Bounds extra tries in any window by its first tries.

    Unlike `trefoilpitch.retries.RetryBudget`, first tries that needed no
    repeat are not lost when a bound on saved credit is reached: an outage
    of some seconds may use what the whole window has earned.

    Args:
        clock: The monotonic time.
        share: Extra tries for each first try in the window.
        slack: Extra tries that every window may have besides.
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
        self._first_tries: deque[int] = deque()
        self._extra_tries: deque[int] = deque()

    @property
    def left(self) -> float:
        """Extra tries that can be afforded now."""
        self._expire()
        allowed = self._share * len(self._first_tries) + self._slack
        return allowed - len(self._extra_tries)

    def record_first_attempt(self) -> None:
        """Counts a request's first try."""
        self._first_tries.append(self._clock.now_ms())

    def affords(self) -> bool:
        """Returns whether another extra try is within the bound."""
        return self.left >= _WHOLE_TRY

    def spend(self) -> bool:
        """Pays for one extra try.

        Returns:
            Whether the budget afforded it; nothing is paid if not.
        """
        if not self.affords():
            return False
        self._extra_tries.append(self._clock.now_ms())
        return True

    def _expire(self) -> None:
        oldest_ms = self._clock.now_ms() - self._window_ms
        for tries in (self._first_tries, self._extra_tries):
            while tries and tries[0] <= oldest_ms:
                tries.popleft()
