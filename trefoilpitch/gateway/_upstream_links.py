"""Tracks which upstreams this daemon itself can connect to.

Load pattern: a VM loses its links to some or all upstreams for seconds, while
the other VMs reach them. A failed connection alone does not show whether the
upstream or the link is at fault.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable, Collection
from typing import TypeAlias

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._exceptions import ExchangeError
from trefoilpitch.gateway._http_client import HttpConnection, connect
from trefoilpitch.gateway._log import log_event

# Opens a connection to a host and port, within a timeout in milliseconds.
OpenConnection: TypeAlias = Callable[
    [str, int, float], Awaitable[HttpConnection]
]


@dataclasses.dataclass(slots=True)
class _LostLink:
    # Monotonic time of the first connection that failed.
    lost_ms: int
    failures: int = 0


class UpstreamLinks:
    """This daemon's own links to the upstreams.

    Args:
        clock: Provides monotonic time.
        open_connection: Opens connections; raises `ExchangeError`.
    """

    def __init__(
        self, clock: Clock, open_connection: OpenConnection = connect
    ) -> None:
        self._clock = clock
        self._open_connection = open_connection
        self._lost: dict[str, _LostLink] = {}

    @property
    def lost(self) -> Collection[str]:
        """The upstreams to which the last connection failed."""
        return self._lost.keys()

    def is_lost(self, upstream_id: str) -> bool:
        """Returns whether the last connection to an upstream failed."""
        return upstream_id in self._lost

    def retain(self, upstream_ids: Collection[str]) -> None:
        """Drops the records of all other upstreams."""
        for upstream_id in self._lost.keys() - set(upstream_ids):
            del self._lost[upstream_id]

    async def connect(
        self, entry: UpstreamEntry, timeout_ms: float
    ) -> HttpConnection:
        """Connects to an upstream.

        Raises:
            ExchangeError: If it fails or takes too long.
        """
        try:
            connection = await self._open_connection(
                entry.host, entry.port, timeout_ms
            )
        except ExchangeError as error:
            self._record_failure(entry, error)
            raise
        self._record_connected(entry)
        return connection

    def _record_failure(
        self, entry: UpstreamEntry, error: ExchangeError
    ) -> None:
        link = self._lost.get(entry.upstream_id)
        if link is None:
            link = _LostLink(self._clock.now_ms())
            self._lost[entry.upstream_id] = link
            log_event(
                "upstream_link_lost",
                upstream=entry.upstream_id,
                service=entry.service,
                domain=entry.failure_domain,
                kind=error.kind.value,
                lost_links=len(self._lost),
            )
        link.failures += 1

    def _record_connected(self, entry: UpstreamEntry) -> None:
        link = self._lost.pop(entry.upstream_id, None)
        if link is not None:
            log_event(
                "upstream_link_restored",
                upstream=entry.upstream_id,
                lost_for_ms=self._clock.now_ms() - link.lost_ms,
                failures=link.failures,
                lost_links=len(self._lost),
            )
