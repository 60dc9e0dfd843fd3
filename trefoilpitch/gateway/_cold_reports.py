"""Reads from upstreams that may have restarted for how long they are cold.

Load pattern: many upstreams restart at once, or a daemon's links to all of them
return. Each daemon reads few health responses at a time, and none twice while
it waits for one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from trefoilpitch.fleet import FleetView, Service, UpstreamEntry
from trefoilpitch.gateway._exceptions import ExchangeError
from trefoilpitch.gateway._http_client import connect
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._messages import RequestCodec
from trefoilpitch.gateway._restarted_upstreams import RestartedUpstreams

_READS_AT_ONCE = 4
_CONNECT_TIMEOUT_MS = 300.0
_RESPONSE_TIMEOUT_MS = 500.0
# Delay before an upstream that gave no report is asked again, which doubles up
# to the second figure.
_MIN_RETRY_MS = 500
_MAX_RETRY_MS = 2_000
_MS_PER_S = 1_000


class ColdReports:
    """Reads health responses of restarted upstreams.

    Args:
        restarts: Receives the reports.
        view: Names the path of a service's health responses.
        codec: Decodes health responses.
        on_report: Called when peers should soon know that one is cold.
        links_doubted: Returns whether this daemon's own links are at fault
            rather than the upstreams.
    """

    def __init__(
        self,
        restarts: RestartedUpstreams,
        view: FleetView,
        codec: RequestCodec,
        on_report: Callable[[], None],
        *,
        links_doubted: Callable[[], bool] = lambda: False,
    ) -> None:
        self._restarts = restarts
        self._view = view
        self._codec = codec
        self._on_report = on_report
        self._links_doubted = links_doubted
        self._reads = asyncio.Semaphore(_READS_AT_ONCE)
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def record_restarted(self, entry: UpstreamEntry) -> None:
        """Holds an upstream that is back for cold, and reads its report."""
        service = self._service(entry)
        if service is None or service.cold_start_ms <= 0:
            return
        certain = not self._links_doubted()
        self._restarts.record_restarted(
            entry, service.cold_start_ms, certain=certain
        )
        log_event("upstream_restarted", upstream=entry.upstream_id)
        if certain:
            self._on_report()
        if not self._restarts.do_peers_know(entry):
            self._read_later(entry)

    def record_broken(self, entry: UpstreamEntry) -> None:
        """Reads the report of an upstream whose connection broke."""
        service = self._service(entry)
        if service and service.health_path and service.cold_start_ms > 0:
            self._restarts.record_broken(entry)
            self._read_later(entry)

    def _service(self, entry: UpstreamEntry) -> Service | None:
        configuration = self._view.configuration
        if configuration is None:
            return None
        return configuration.services.get(entry.service)

    def _path(self, entry: UpstreamEntry) -> str:
        service = self._service(entry)
        return service.health_path if service else ""

    def _read_later(self, entry: UpstreamEntry) -> None:
        if not self._path(entry) or entry.upstream_id in self._tasks:
            return
        task = asyncio.create_task(self._read_until_reported(entry))
        self._tasks[entry.upstream_id] = task
        task.add_done_callback(
            lambda _: self._tasks.pop(entry.upstream_id, None)
        )

    async def _read_until_reported(self, entry: UpstreamEntry) -> None:
        retry_ms = _MIN_RETRY_MS
        while self._restarts.is_cold(entry):
            async with self._reads:
                cold_ms = await self._read(entry)
            if cold_ms is not None:
                self._restarts.record_report(entry, cold_ms)
                log_event(
                    "upstream_cold_reported",
                    upstream=entry.upstream_id,
                    cold_ms=cold_ms,
                )
                if cold_ms:
                    self._on_report()
                return
            await asyncio.sleep(retry_ms / _MS_PER_S)
            retry_ms = min(_MAX_RETRY_MS, 2 * retry_ms)

    async def _read(self, entry: UpstreamEntry) -> int | None:
        """Returns for how long an upstream is cold; None if it did not say."""
        host = f"{entry.host}:{entry.port}".encode()
        target = self._path(entry).encode()
        try:
            with await connect(
                entry.host, entry.port, _CONNECT_TIMEOUT_MS
            ) as connection:
                connection.send(b"GET", target, [(b"Host", host)], b"")
                head = await connection.receive_head(_RESPONSE_TIMEOUT_MS)
        except ExchangeError:
            return None
        return self._codec.decode_cold_ms(head)
