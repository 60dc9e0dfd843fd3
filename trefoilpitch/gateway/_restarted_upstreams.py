"""Upstreams that have restarted, cold, while the shared state says warm.

Load pattern: an upstream crashes and starts again under its id while the store
is unavailable, so that its new entry cannot be written. All daemons find within
half a second that it accepts connections again. A refused or broken connection
followed by an accepted one is taken for a restart, and the upstream for cold,
until its health response reports otherwise or its cold time has passed.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Collection

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._upstream_digest import upstream_digest

# How long an upstream whose connection broke is held for cold while its health
# response is read. Most connections break without a restart.
_SUSPECTED_MS = 500
# For how long a report overrides what peers presume of the same upstream.
_REPORT_VALID_MS = 10_000
# Longer cold times are limited to this.
_MAX_COLD_MS = 600_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Restart:
    # The start that the entry in the shared state describes.
    started_wall_ms: int
    cold_until_ms: int
    # Monotonic time of the upstream's report; None if the cold time is
    # presumed.
    reported_ms: int | None = None
    # Whether peers are told. A fault of this daemon's own links is not.
    published: bool = True


class RestartedUpstreams:
    """Decides which upstreams are cold without an entry that says so.

    Args:
        clock: Provides monotonic time.
        peers_cold_until_ms: Returns until when peers hold an upstream for cold,
            by its digest; 0 if they do not.
    """

    def __init__(
        self,
        clock: Clock,
        peers_cold_until_ms: Callable[[int], int],
    ) -> None:
        self._clock = clock
        self._peers_cold_until_ms = peers_cold_until_ms
        self._restarts: dict[str, _Restart] = {}

    def record_restarted(
        self, entry: UpstreamEntry, cold_ms: int, *, certain: bool
    ) -> None:
        """Records that an upstream accepts connections after refusing them.

        Args:
            entry: The upstream.
            cold_ms: How long upstreams of its service are cold.
            certain: Whether this daemon's own links are hardly at fault.
        """
        self._restarts[entry.upstream_id] = _Restart(
            started_wall_ms=entry.started_wall_ms,
            cold_until_ms=self._clock.now_ms() + cold_ms,
            published=certain,
        )

    def record_broken(self, entry: UpstreamEntry) -> None:
        """Records that an upstream runs after its connection broke."""
        if self.is_cold(entry):
            return
        self._restarts[entry.upstream_id] = _Restart(
            started_wall_ms=entry.started_wall_ms,
            cold_until_ms=self._clock.now_ms() + _SUSPECTED_MS,
            published=False,
        )

    def record_report(self, entry: UpstreamEntry, cold_ms: int) -> None:
        """Records for how long an upstream says that it stays cold."""
        now_ms = self._clock.now_ms()
        self._restarts[entry.upstream_id] = _Restart(
            started_wall_ms=entry.started_wall_ms,
            cold_until_ms=now_ms + min(cold_ms, _MAX_COLD_MS),
            reported_ms=now_ms,
        )

    def is_cold(self, entry: UpstreamEntry) -> bool:
        """Returns whether an upstream is cold, whatever its entry says."""
        now_ms = self._clock.now_ms()
        restart = self._known(entry)
        if restart is not None:
            if now_ms < restart.cold_until_ms:
                return True
            reported_ms = restart.reported_ms
            if (
                reported_ms is not None
                and now_ms - reported_ms < _REPORT_VALID_MS
            ):
                return False
        return self.do_peers_know(entry)

    def do_peers_know(self, entry: UpstreamEntry) -> bool:
        """Returns whether a peer has noticed a restart, and reads the report.

        Otherwise all daemons of a large fleet would read it at once.
        """
        digest = upstream_digest(entry.upstream_id)
        return self._clock.now_ms() < self._peers_cold_until_ms(digest)

    def own_cold_ms(self) -> dict[int, int]:
        """Returns the times left, by upstream digest, for the heartbeat."""
        now_ms = self._clock.now_ms()
        return {
            upstream_digest(upstream_id): restart.cold_until_ms - now_ms
            for upstream_id, restart in self._restarts.items()
            if restart.published and now_ms < restart.cold_until_ms
        }

    def retain(self, upstream_ids: Collection[str]) -> None:
        """Drops the records of all other upstreams, and old ones."""
        expired_ms = self._clock.now_ms() - _REPORT_VALID_MS
        self._restarts = {
            upstream_id: restart
            for upstream_id, restart in self._restarts.items()
            if upstream_id in upstream_ids
            and expired_ms
            < max(restart.cold_until_ms, restart.reported_ms or 0)
        }

    def _known(self, entry: UpstreamEntry) -> _Restart | None:
        restart = self._restarts.get(entry.upstream_id)
        if restart is None or restart.started_wall_ms != entry.started_wall_ms:
            # The entry of the new start says how cold it is.
            return None
        return restart
