"""This daemon's share of the request rate that an upstream takes.

Load pattern: hundreds of daemons have requests for an upstream that takes one
or two in a second. Equal parts of the rate are fractions of a request, and if
each daemon saved up one, all of them could send it at once.

In each window of a limit the daemons together send as many requests as it
permits; their shares are whole requests, add up to it, and follow the demand.
One request in a window is always permitted, as the end of a limit would remain
unknown without it.
"""

from __future__ import annotations

from collections.abc import Mapping

from trefoilpitch.gateway._peers import heartbeat_interval_ms
from trefoilpitch.gateway._room_shares import (
    SettlingShare,
    leveled_demands,
    share,
)

# Window of a limit that permits each daemon two requests a second, and of a
# lower one, which then permits as many as possible of the daemons a request.
_SHORT_WINDOW_S = 1
_LONG_WINDOW_S = 4
_AMPLE_REQUESTS = 2
# Longest window of a limit that permits less than a request in that time.
_MAX_WINDOW_MS = 10_000
_MS_PER_S = 1_000


class RateShare:
    """This daemon's part of the requests in a window.

    Args:
        upstream_id: The upstream.
        own_name: Name of this VM.
    """

    def __init__(self, upstream_id: str, own_name: str) -> None:
        self._upstream_id = upstream_id
        self._own_name = own_name
        # The limit that the share was computed for.
        self._per_s: float | None = None
        self._window_ms = 0
        self._due_ms = 0
        self._share = SettlingShare()

    @property
    def window_ms(self) -> int:
        """Length of the window."""
        return self._window_ms

    @property
    def due_ms(self) -> int:
        """Monotonic time of the next computation."""
        return self._due_ms

    def is_due(self, per_s: float, now_ms: int) -> bool:
        """Returns whether the limit or the demands may have changed."""
        return per_s != self._per_s or now_ms >= self._due_ms

    def update(
        self, per_s: float, demands: Mapping[str, int], now_ms: int
    ) -> None:
        """Computes the share anew.

        Args:
            per_s: Requests a second of all daemons.
            demands: The demands of all daemons, by name.
            now_ms: The monotonic time.
        """
        places, self._window_ms = _window(per_s, len(demands))
        self._per_s = per_s
        self._due_ms = now_ms + heartbeat_interval_ms(len(demands))
        own_share = share(
            self._upstream_id, places, _claims(demands), self._own_name
        )
        self._share.record(own_share, now_ms)

    def settled(self, now_ms: int) -> int:
        """Returns how many requests may be sent in the window that ends now."""
        return self._share.settled(now_ms, self._window_ms)


def _window(per_s: float, daemons: int) -> tuple[int, int]:
    """Returns how many requests a limit permits in which time.

    Args:
        per_s: Requests a second of all daemons.
        daemons: Number of the daemons.

    Returns:
        The requests, one at least, and the milliseconds.
    """
    ample = per_s >= _AMPLE_REQUESTS * daemons
    places = max(1, int(per_s * (_SHORT_WINDOW_S if ample else _LONG_WINDOW_S)))
    if per_s * _MAX_WINDOW_MS <= _MS_PER_S * places:
        return places, _MAX_WINDOW_MS
    return places, round(_MS_PER_S * places / per_s)


def _claims(demands: Mapping[str, int]) -> Mapping[str, int]:
    """Returns by which demands daemons share a limit.

    Load pattern: the requests come to a few daemons. What the others got would
    be lost, as a limit permits less than a request for each daemon.
    """
    positive = {name: demand for name, demand in demands.items() if demand > 0}
    return leveled_demands(positive)
