"""Load reports of the engine stand-in, served with a delay."""

from __future__ import annotations

import collections

import msgspec

_MAX_REPORTS = 4096


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """One load report, as it is sent over HTTP."""

    # The engine's incarnation; changes at each restart.
    incarnation: str
    # Number of running requests.
    running: int
    # Number of waiting requests.
    waiting: int
    # Requests that run concurrently when the engine is warm.
    capacity: int
    # Whether the engine can serve its full capacity.
    warm: bool
    # Whether the engine is about to leave.
    leaving: bool
    # The role set by the last role order.
    role: str
    # Hashes of the cached prompt prefixes.
    cached_prefixes: list[str]
    # Loaded versions, each as ``model@version``.
    versions: list[str]
    # When the report was made, in milliseconds since the Unix epoch.
    reported_ms: int


class DelayedReports:
    """Keeps reports until they are due to be served.

    A restart does not clear the reports, so for the length of the lag the
    engine still serves those of its previous incarnation. Not thread-safe;
    the caller holds a lock.
    """

    def __init__(self) -> None:
        self._reports: collections.deque[EngineReport] = collections.deque(
            maxlen=_MAX_REPORTS
        )

    def add(self, report: EngineReport) -> None:
        """Adds the newest report."""
        self._reports.append(report)

    def newest_before(self, until_ms: int) -> EngineReport:
        """Returns the newest report made by a time, or else the oldest kept."""
        while len(self._reports) > 1 and self._reports[1].reported_ms <= (
            until_ms
        ):
            self._reports.popleft()
        return self._reports[0]
