"""Limits of one request, and the time within which it has to arrive."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from trefoilpitch.fleet import RequestLimits

_MS_PER_S = 1_000


class RequestTimer:
    """Applies the limits of the configuration to one request after the other.

    A limit that is raised applies at once; one that is lowered applies to later
    requests.

    Args:
        limits: Returns the limits of the current configuration.
        now_ms: Returns monotonic time.
    """

    def __init__(
        self, limits: Callable[[], RequestLimits], now_ms: Callable[[], int]
    ) -> None:
        self._limits = limits
        self._now_ms = now_ms
        # Limits when the request, or the pause between two, began.
        self._begun_limits = limits()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def begun_limits(self) -> RequestLimits:
        """The limits when the request, or the pause before it, began."""
        return self._begun_limits

    def adopt_limits(self) -> None:
        """Adopts the current limits, as a request or a pause begins."""
        self._begun_limits = self._limits()

    def limit(self, field: Callable[[RequestLimits], int]) -> int:
        """Returns a limit of the request in progress."""
        return max(field(self._begun_limits), field(self._limits()))

    def start(
        self,
        limit_ms: Callable[[RequestLimits], int],
        action: Callable[[], None],
    ) -> None:
        """Replaces the timer by one that acts at a limit."""
        self.cancel()
        self._wait(limit_ms, action, self._now_ms())

    def start_fixed(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Replaces the timer by one that acts after a fixed time."""
        self.cancel()
        self._timer = asyncio.get_running_loop().call_later(
            delay_ms / _MS_PER_S, action
        )

    def cancel(self) -> None:
        """Ends the timer, if any."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait(
        self,
        limit_ms: Callable[[RequestLimits], int],
        action: Callable[[], None],
        started_ms: int,
    ) -> None:
        """Acts at a limit; waits on if it is raised in the meantime."""

        def expire() -> None:
            if left_ms() > 0:
                self._wait(limit_ms, action, started_ms)
            else:
                action()

        def left_ms() -> int:
            return self.limit(limit_ms) - (self._now_ms() - started_ms)

        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(left_ms() / _MS_PER_S, expire)
