"""Tracks which upstreams this daemon itself can connect to.

Load pattern: a VM loses its links to some or all upstreams for seconds, while
the other VMs reach them. A failed connection alone does not show whether the
upstream or the link is at fault.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Mapping
from typing import TypeAlias

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import CachedUpstream, UpstreamEntry
from trefoilpitch.gateway._exceptions import ExchangeError
from trefoilpitch.gateway._http_client import HttpConnection, connect
from trefoilpitch.gateway._log import log_event
from trefoilpitch.retries import FailureKind

# Links that must fail one after the other, without a connection in between,
# until all other links are doubted as well.
_MIN_LOST_IN_ROW = 2
# Interval of the trials of a lost link, which doubles up to the second figure.
_MIN_TRIAL_INTERVAL_MS = 500
_MAX_TRIAL_INTERVAL_MS = 2_000
_TRIALS_AT_ONCE = 4
# Connections within a region open in a few milliseconds.
_PROBE_TIMEOUT_MS = 300.0

# Opens a connection to a host and port, within a timeout in milliseconds.
OpenConnection: TypeAlias = Callable[
    [str, int, float], Awaitable[HttpConnection]
]


class Reachability(enum.Enum):
    """What a connection attempt shows of an upstream."""

    REACHED = "running"
    # The VM responds, but nothing listens there.
    REFUSED = "ended"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class _LostLink:
    # Monotonic times of the first connection that failed and of the next trial.
    lost_ms: int
    trial_due_ms: int
    trial_interval_ms: int = _MIN_TRIAL_INTERVAL_MS
    # Whether the upstream's VM responded, so that it may have restarted.
    refused: bool = False
    failures: int = 0


class UpstreamLinks:
    """This daemon's own links to the upstreams.

    Args:
        clock: Provides monotonic time.
        on_restored: Called with the id of an upstream that can be reached
            again.
        on_restarted: Called with an upstream that accepts a connection after
            it has refused one, before the connection is used.
        open_connection: Opens connections; raises `ExchangeError`.
    """

    def __init__(
        self,
        clock: Clock,
        on_restored: Callable[[str], None] = lambda upstream_id: None,
        open_connection: OpenConnection = connect,
        *,
        on_restarted: Callable[[UpstreamEntry], None] = lambda entry: None,
    ) -> None:
        self._clock = clock
        self._on_restored = on_restored
        self._on_restarted = on_restarted
        self._open_connection = open_connection
        self._lost: dict[str, _LostLink] = {}
        # Links that were lost since the last successful connection.
        self._lost_in_row: set[str] = set()

    @property
    def lost(self) -> Collection[str]:
        """The upstreams to which the last connection failed."""
        return self._lost.keys()

    @property
    def all_doubted(self) -> bool:
        """Whether several links failed in a row, so that others may be lost.

        A daemon without any links would otherwise find that out with one
        request for each upstream.
        """
        return len(self._lost_in_row) >= _MIN_LOST_IN_ROW

    def is_lost(self, upstream_id: str) -> bool:
        """Returns whether the last connection to an upstream failed."""
        return upstream_id in self._lost

    def are_doubted(self, upstreams: Mapping[str, CachedUpstream]) -> bool:
        """Returns whether so many links are lost that the VM is at fault.

        Args:
            upstreams: The known upstreams.
        """
        if self.all_doubted:
            return True
        if len(self._lost) < _MIN_LOST_IN_ROW:
            return False
        services = Counter(k.entry.service for k in upstreams.values())
        lost = Counter(
            upstreams[k].entry.service for k in self._lost if k in upstreams
        )
        return any(
            count >= _MIN_LOST_IN_ROW and 2 * count >= services[service]
            for service, count in lost.items()
        )

    def retain(self, upstream_ids: Collection[str]) -> None:
        """Drops the records of all other upstreams."""
        for upstream_id in self._lost.keys() - set(upstream_ids):
            del self._lost[upstream_id]
        self._lost_in_row.intersection_update(self._lost)

    def due_trials(
        self, upstreams: Mapping[str, CachedUpstream], limit: int
    ) -> list[UpstreamEntry]:
        """Returns the upstreams to which a connection should be tried now.

        Args:
            upstreams: The known upstreams.
            limit: Maximum number of upstreams.
        """
        now_ms = self._clock.now_ms()
        due = sorted(
            (link.trial_due_ms, upstream_id)
            for upstream_id, link in self._lost.items()
            if link.trial_due_ms <= now_ms and upstream_id in upstreams
        )
        chosen = [upstream_id for _, upstream_id in due[:limit]]
        if self.all_doubted:
            # Shows whether the doubt is justified.
            others = [k for k in upstreams if k not in self._lost]
            chosen = [*others[:1], *chosen]
        return [upstreams[k].entry for k in chosen[:limit]]

    async def try_lost(self, upstreams: Mapping[str, CachedUpstream]) -> None:
        """Finds out whether upstreams can be reached again."""
        due = self.due_trials(upstreams, _TRIALS_AT_ONCE)
        await asyncio.gather(*(self.probe(entry) for entry in due))

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

    async def probe(self, entry: UpstreamEntry) -> Reachability:
        """Returns whether an upstream accepts connections."""
        try:
            connection = await self.connect(entry, _PROBE_TIMEOUT_MS)
        except ExchangeError as error:
            if error.kind is FailureKind.CONNECT_REFUSED:
                return Reachability.REFUSED
            return Reachability.UNKNOWN
        connection.close()
        return Reachability.REACHED

    def _record_failure(
        self, entry: UpstreamEntry, error: ExchangeError
    ) -> None:
        now_ms = self._clock.now_ms()
        self._lost_in_row.add(entry.upstream_id)
        link = self._lost.get(entry.upstream_id)
        if link is None:
            link = _LostLink(now_ms, now_ms + _MIN_TRIAL_INTERVAL_MS)
            self._lost[entry.upstream_id] = link
            log_event(
                "upstream_link_lost",
                upstream=entry.upstream_id,
                service=entry.service,
                domain=entry.failure_domain,
                kind=error.kind.value,
                lost_links=len(self._lost),
            )
        elif now_ms >= link.trial_due_ms:
            link.trial_interval_ms = min(
                _MAX_TRIAL_INTERVAL_MS, 2 * link.trial_interval_ms
            )
            link.trial_due_ms = now_ms + link.trial_interval_ms
        link.failures += 1
        link.refused |= error.kind is FailureKind.CONNECT_REFUSED

    def _record_connected(self, entry: UpstreamEntry) -> None:
        self._lost_in_row.clear()
        link = self._lost.pop(entry.upstream_id, None)
        if link is None:
            return
        now_ms = self._clock.now_ms()
        log_event(
            "upstream_link_restored",
            upstream=entry.upstream_id,
            lost_for_ms=now_ms - link.lost_ms,
            failures=link.failures,
            lost_links=len(self._lost),
        )
        # What restored this link has probably restored others too.
        for other in self._lost.values():
            other.trial_due_ms = min(other.trial_due_ms, now_ms)
        self._on_restored(entry.upstream_id)
        if link.refused:
            self._on_restarted(entry)
