"""How much of this daemon's traffic shares a prompt prefix.

Load pattern: one prefix suddenly gets a large part of the traffic. Callers are
spread over the daemons, so that each sees the same share of it.
"""

from __future__ import annotations

from collections import Counter, deque

_WINDOW_MS = 8_000
# Requests that are remembered; bounds the memory on a busy daemon.
_MAX_REQUESTS = 2_000


class PrefixTraffic:
    """Counts recent requests by prefix."""

    def __init__(self) -> None:
        self._requests: deque[tuple[int, str]] = deque()
        self._counts: Counter[str] = Counter()

    def record(self, key: str, now_ms: int) -> None:
        """Counts a request with a prefix."""
        self._requests.append((now_ms, key))
        self._counts[key] += 1
        if len(self._requests) > _MAX_REQUESTS:
            self._forget_oldest()

    def share(self, key: str, now_ms: int) -> float:
        """Returns the fraction of recent requests that have a prefix.

        A single request is no sign of a hot prefix and does not count.
        """
        while self._requests and self._requests[0][0] <= now_ms - _WINDOW_MS:
            self._forget_oldest()
        if not self._requests:
            return 0.0
        return max(0, self._counts[key] - 1) / len(self._requests)

    def _forget_oldest(self) -> None:
        _, key = self._requests.popleft()
        self._counts[key] -= 1
        if not self._counts[key]:
            del self._counts[key]
