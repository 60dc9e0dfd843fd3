"""Finds out what became of upstreams whose responses were cut off.

Load pattern: a daemon has lost its links or all of its peers, or starts while
the others are away, and a request ends one upstream after the other. For a
while nothing shows whether an upstream has ended or only its link is lost. What
shows it comes within seconds: peers, another upstream that can be reached, or a
later start in the store.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Container

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import FleetView, UpstreamEntry
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._upstream_digest import run_digest
from trefoilpitch.gateway._upstream_links import Reachability

# An upstream that has crashed is back after some seconds.
_EXAMINED_FOR_MS = 10_000
# An upstream that accepts a connection this soon has not restarted meanwhile.
_MIN_RESTART_MS = 1_000
# Pause between two probes, which doubles up to the second figure.
_MIN_PAUSE_MS = 250
_MAX_PAUSE_MS = 1_000
# A daemon that loses all of its links examines all upstreams.
_PROBES_AT_ONCE = 16
_MS_PER_S = 1_000


class UpstreamExaminations:
    """Probes upstreams until it is known what became of them.

    Args:
        view: Local copy of the shared fleet state.
        clock: Provides monotonic time.
        probe: Returns whether an upstream is running now.
        ended_runs: Digests of the runs that the fleet knows to have ended.
    """

    def __init__(
        self,
        view: FleetView,
        clock: Clock,
        *,
        probe: Callable[[UpstreamEntry], Awaitable[Reachability]],
        ended_runs: Callable[[], Container[int]],
    ) -> None:
        self._view = view
        self._clock = clock
        self._probe = probe
        self._ended_runs = ended_runs
        self._probing = asyncio.Semaphore(_PROBES_AT_ONCE)

    async def examine(self, entry: UpstreamEntry) -> Reachability:
        """Returns whether the run of an upstream goes on.

        `UNKNOWN` is returned only after several seconds.
        """
        started_ms = self._clock.now_ms()
        pause_ms = _MIN_PAUSE_MS
        while True:
            if self._has_restarted(entry):
                return Reachability.REFUSED
            async with self._probing:
                probed_ms = self._clock.now_ms() - started_ms
                result = await self._probe(entry)
            if result is Reachability.UNKNOWN and self._has_peer_report(entry):
                result = Reachability.REFUSED
            if result is Reachability.REFUSED:
                return result
            if result is Reachability.REACHED and probed_ms < _MIN_RESTART_MS:
                return result
            elapsed_ms = self._clock.now_ms() - started_ms
            if elapsed_ms >= _EXAMINED_FOR_MS:
                log_event(
                    "upstream_not_examined",
                    upstream=entry.upstream_id,
                    elapsed_ms=elapsed_ms,
                    outcome=result.value,
                )
                return result
            await asyncio.sleep(pause_ms / _MS_PER_S)
            pause_ms = min(_MAX_PAUSE_MS, 2 * pause_ms)

    def _has_peer_report(self, entry: UpstreamEntry) -> bool:
        """Whether a peer has found that this run has ended."""
        return run_digest(entry) in self._ended_runs()

    def _has_restarted(self, entry: UpstreamEntry) -> bool:
        """Whether the store lists a later start under its id or address."""
        return any(
            cached.entry.started_wall_ms > entry.started_wall_ms
            and (
                cached.entry.upstream_id == entry.upstream_id
                or (cached.entry.host, cached.entry.port)
                == (entry.host, entry.port)
            )
            for cached in self._view.upstreams.values()
        )
