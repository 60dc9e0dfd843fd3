"""Whether evidence on requests may have been lost with the daemons that had it.

Load pattern: a request ends upstreams while the store is unavailable, so that
nothing about it can be stored. All daemons are then killed. Those that start
know of no ending, and the request comes again. The same holds if all upstreams
have ended shortly before the daemons were killed.
"""

from __future__ import annotations

from collections.abc import Callable

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import FleetView

# As long as a quarantine that was lost would have lasted.
_CAUTION_MS = 600_000
# Upstreams that started this long before the daemon, or later, may have ended
# under a request that the daemons before knew of.
_RECENT_START_MS = 60_000


class LostEvidence:
    """Decides whether a daemon is cautious with requests.

    Args:
        view: Local copy of the shared fleet state.
        clock: Provides monotonic and wall-clock time.
        started_in_outage: Returns whether the store was unavailable when the
            daemon started.
        own_name: Name of this VM.
        incarnation: This start of the daemon.
    """

    def __init__(
        self,
        view: FleetView,
        clock: Clock,
        started_in_outage: Callable[[], bool],
        *,
        own_name: str,
        incarnation: str,
    ) -> None:
        self._view = view
        self._clock = clock
        self._started_in_outage = started_in_outage
        self._own_name = own_name
        self._incarnation = incarnation
        # Whether the store still listed the start before; None until the view
        # is loaded.
        self._was_killed: bool | None = None
        self._started_ms = clock.now_ms()
        self._started_wall_ms = clock.wall_ms()

    def record_view(self) -> None:
        """Looks for the entry of the start before, once the view is loaded.

        A daemon that has left has withdrawn it.
        """
        if self._was_killed is None and self._view.configuration is not None:
            former = self._view.members.get(self._own_name)
            self._was_killed = (
                former is not None and former.incarnation != self._incarnation
            )

    def is_likely(self) -> bool:
        """Returns whether others may have known what this daemon does not."""
        if self._clock.now_ms() - self._started_ms >= _CAUTION_MS:
            return False
        if self._started_in_outage():
            return True
        return bool(self._was_killed) and self._have_all_restarted()

    def _have_all_restarted(self) -> bool:
        since_ms = self._started_wall_ms - _RECENT_START_MS
        upstreams = self._view.upstreams.values()
        return bool(upstreams) and all(
            cached.entry.started_wall_ms >= since_ms for cached in upstreams
        )
