"""Load reports that are served late."""

from __future__ import annotations

import collections

import msgspec

_MAX_REPORTS = 4096


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """One load report, as it goes over the wire."""

    # Changes with every restart.
    incarnation: str
    # Requests being served.
    running: int
    # Requests that wait.
    waiting: int
    # Requests served at once when warm.
    capacity: int
    # Whether the engine bears its full capacity.
    warm: bool
    # Whether it is about to leave.
    leaving: bool
    # The role that it was last ordered into.
    role: str
    # Hashes of the cached prompt prefixes.
    cached_prefixes: list[str]
    # Versions that serve.
    versions: list[str]
    # When the report was made, in milliseconds since the Unix epoch.
    reported_ms: int


class ReportLog:
    """Keeps reports until they are as old as the lag; the caller locks.

    A restart leaves older reports in place, so that for the length of the lag
    they still describe the incarnation before.
    """

    def __init__(self) -> None:
        self._reports: collections.deque[EngineReport] = collections.deque(
            maxlen=_MAX_REPORTS
        )

    def add(self, report: EngineReport) -> None:
        """Adds the newest report."""
        self._reports.append(report)

    def newest(self, until_ms: int) -> EngineReport:
        """Returns the newest report made by a time, or else the oldest."""
        while len(self._reports) > 1 and self._reports[1].reported_ms <= (
            until_ms
        ):
            self._reports.popleft()
        return self._reports[0]
