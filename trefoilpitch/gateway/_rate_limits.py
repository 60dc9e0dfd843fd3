"""The request rates to which upstreams ask the fleet to limit itself.

Load pattern: an upstream that is overloaded for another reason than the
requests of this fleet announces in its responses how many requests a second it
takes from all daemons together, for as long as its responses say so.
"""

from __future__ import annotations

import dataclasses
from collections import deque
from collections.abc import Collection

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._log import log_event

# Time for which sent requests are counted.
_WINDOW_MS = 4_000


@dataclasses.dataclass(slots=True)
class _Limit:
    """What is known of the limit of one run of an upstream."""

    # Identifies the run: one that starts again has no limit.
    started_wall_ms: int
    # Requests a second from all daemons; None if a limit has ended.
    per_s: float | None
    # Monotonic time of the response that said so.
    observed_ms: int
    # Monotonic times of the requests that this daemon has sent under it.
    sent_ms: deque[int] = dataclasses.field(default_factory=deque)


class RateLimits:
    """The limits that upstreams have announced.

    Args:
        clock: Provides monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limits: dict[str, _Limit] = {}

    @property
    def count(self) -> int:
        """Number of upstreams that have a limit."""
        return sum(limit.per_s is not None for limit in self._limits.values())

    def announce(self, entry: UpstreamEntry, per_s: float | None) -> None:
        """Records what a response of an upstream says.

        Args:
            entry: The upstream.
            per_s: Requests a second that it takes from all daemons together;
                None if it announces no limit.
        """
        known = self._known(entry)
        if known is None and per_s is None:
            return
        if known is None or known.per_s != per_s:
            log_event(
                "rate_limit",
                upstream=entry.upstream_id,
                service=entry.service,
                per_s=per_s,
            )
        if known is None:
            known = _Limit(entry.started_wall_ms, per_s, 0)
            self._limits[entry.upstream_id] = known
        known.per_s = per_s
        known.observed_ms = self._clock.now_ms()

    def limit_per_s(self, entry: UpstreamEntry) -> float | None:
        """Returns the rate that an upstream takes; None for no limit."""
        known = self._known(entry)
        return None if known is None else known.per_s

    def record_sent(self, entry: UpstreamEntry) -> None:
        """Records a request that is sent to an upstream now."""
        known = self._known(entry)
        if known is not None and known.per_s is not None:
            known.sent_ms.append(self._clock.now_ms())

    def sent(self, entry: UpstreamEntry) -> int:
        """Returns how many requests were sent lately, if there is a limit."""
        known = self._known(entry)
        if known is None:
            return 0
        oldest_ms = self._clock.now_ms() - _WINDOW_MS
        while known.sent_ms and known.sent_ms[0] <= oldest_ms:
            known.sent_ms.popleft()
        return len(known.sent_ms)

    def retain(self, upstream_ids: Collection[str]) -> None:
        """Evicts the limits of all other upstreams."""
        for upstream_id in list(self._limits):
            if upstream_id not in upstream_ids:
                del self._limits[upstream_id]

    def _known(self, entry: UpstreamEntry) -> _Limit | None:
        known = self._limits.get(entry.upstream_id)
        if known is not None and known.started_wall_ms != entry.started_wall_ms:
            del self._limits[entry.upstream_id]
            return None
        return known
