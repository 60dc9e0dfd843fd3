"""Fetches load reports and cache events of the tracked upstreams."""

from __future__ import annotations

import collections
import concurrent.futures

import pykka
from returns.result import Success

from trefoilpitch.clock import Clock
from trefoilpitch.daemon._core import NodeCore
from trefoilpitch.supervision import Tick

LOAD_TICK_MS = 500

_FETCH_TIMEOUT_MS = 300
_FETCH_THREADS = 4


class LoadActor(pykka.ThreadingActor):
    """Fetches all load reports and engines' cache events on each tick.

    Args:
        core: The node; lists the upstreams and records their reports.
        clock: Measures deadlines.
    """

    def __init__(self, core: NodeCore, clock: Clock) -> None:
        super().__init__()
        self._core = core
        self._clock = clock
        self._pool = concurrent.futures.ThreadPoolExecutor(
            _FETCH_THREADS, thread_name_prefix="load"
        )

    def on_receive(self, message: object) -> None:
        """Fetches all reports and cache events."""
        if not isinstance(message, Tick):
            return
        tracked = self._core.directory.tracked()
        # The threads share a queue of names, because submitting a task to the
        # pool for each name costs as much as the fetch itself.
        names = collections.deque(one.upstream.name for one in tracked)
        running = [
            self._pool.submit(self._fetch_until_empty, names)
            for _ in range(_FETCH_THREADS)
        ]
        for one in running:
            one.result()

    def on_stop(self) -> None:
        """Shuts the thread pool down."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def on_failure(self, *exc_info: object) -> None:
        """Shuts the thread pool down."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _fetch_until_empty(self, names: collections.deque[str]) -> None:
        while True:
            try:
                name = names.popleft()
            except IndexError:
                return
            self._fetch(name)

    def _fetch(self, name: str) -> None:
        client = self._core.directory.client(name)
        if client is None:
            return
        requested_ms = self._clock.now_ms()
        deadline_ms = requested_ms + _FETCH_TIMEOUT_MS
        fetched = client.load_report(deadline_ms=deadline_ms)
        if isinstance(fetched, Success):
            report = fetched.unwrap()
            self._core.record_report(report, requested_ms)
            self._fetch_cache_events(name, report.cached_prefixes)
        else:
            self._core.record_report_failure(name, fetched.failure())

    def _fetch_cache_events(self, name: str, reported: frozenset[str]) -> None:
        engine = self._core.directory.engine(name)
        if engine is None:
            return
        prefixes = self._core.prefixes
        fetched = engine.cache_events(
            after=prefixes.last_event(name),
            deadline_ms=self._clock.now_ms() + _FETCH_TIMEOUT_MS,
        )
        if isinstance(fetched, Success):
            prefixes.observe(name, fetched.unwrap(), reported)
