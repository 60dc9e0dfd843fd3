"""What this daemon has seen of each upstream."""

from __future__ import annotations

import dataclasses
import math

# Time in which half of what was seen of failures and pace is forgotten: long
# against one answer, short against an upstream's fault of some seconds.
_HALF_LIFE_MS = 3_000.0
# Weight of one answer in the mean pace.
_PACE_WEIGHT = 0.2
# Failures in a row after which an upstream is left alone for a while.
_EJECT_AFTER = 3
# First and longest time for which it is left alone.
_EJECT_MIN_MS = 1_000
_EJECT_MAX_MS = 6_000
# Latency in relation to the usual one, and beyond it, of an answer that counts
# as slow.
_SLOW_RATIO = 3.0
_SLOW_EXTRA_MS = 30.0
# Age from which a reported load says nothing any more.
_REPORT_EXPIRY_MS = 400


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load as an upstream reports it with an answer."""

    # Requests that it works on.
    running: int
    # Requests that wait there.
    waiting: int
    # Requests that it can work on at a time.
    slots: int


@dataclasses.dataclass(slots=True)
class UpstreamHealth:
    """Load, failures and pace of one upstream as seen from this daemon."""

    # Requests of this daemon that it works on.
    in_flight: int = 0
    # Its last report, and when it came.
    report: LoadReport | None = None
    report_ms: int = 0
    # Requests of this daemon in progress when the report came.
    in_flight_at_report: int = 0
    # Decayed counts of failures and of answers.
    failures: float = 0.0
    answers: float = 0.0
    decayed_ms: int = 0
    # Mean ratio of its answers' latency to what is usual for their route.
    pace: float = 1.0
    # Failures since the last success.
    failures_in_row: int = 0
    # Monotonic time until which it is left alone.
    ejected_until_ms: int = 0
    # For how long it was last left alone.
    ejection_ms: int = 0

    def load(self, now_ms: int, peers_in_flight: int = 0) -> int:
        """Estimates the requests at the upstream.

        A report counts the requests of every daemon but is old when it
        arrives; the change of this daemon's own requests since is added. The
        peers' last heartbeats are the other estimate; the larger one counts.

        Args:
            now_ms: The monotonic time.
            peers_in_flight: Requests of the other daemons that it works on.
        """
        known = self.in_flight + peers_in_flight
        report = self.report
        if report is None or now_ms - self.report_ms > _REPORT_EXPIRY_MS:
            return known
        change = self.in_flight - self.in_flight_at_report
        return max(known, report.running + report.waiting + change)

    def failure_share(self, now_ms: int) -> float:
        """Returns the share of recent requests that failed."""
        self._decay(now_ms)
        return self.failures / (self.answers + self.failures + 1.0)

    def is_ejected(self, now_ms: int) -> bool:
        """Whether it is left alone, or tried with one request only."""
        if now_ms < self.ejected_until_ms:
            return True
        return self.failures_in_row >= _EJECT_AFTER and self.in_flight > 0

    def record_report(self, report: LoadReport, now_ms: int) -> None:
        """Takes a reported load."""
        self.report = report
        self.report_ms = now_ms
        self.in_flight_at_report = self.in_flight

    def record_success(self, pace: float | None, now_ms: int) -> None:
        """Counts an answer.

        Args:
            pace: Ratio of its latency to what is usual; None if unknown.
            now_ms: The monotonic time.
        """
        self._decay(now_ms)
        self.answers += 1.0
        self.failures_in_row = 0
        self.ejection_ms = 0
        self.ejected_until_ms = 0
        if pace is not None:
            self.pace += _PACE_WEIGHT * (pace - self.pace)

    def record_failure(self, now_ms: int, *, unreachable: bool) -> None:
        """Counts a failure.

        Args:
            now_ms: The monotonic time.
            unreachable: Whether no connection could be made, which ejects it
                at once.
        """
        self._decay(now_ms)
        self.failures += 1.0
        self.failures_in_row += 1
        if unreachable:
            self.failures_in_row = max(self.failures_in_row, _EJECT_AFTER)
        if self.failures_in_row >= _EJECT_AFTER:
            longer = min(_EJECT_MAX_MS, 2 * self.ejection_ms)
            self.ejection_ms = max(_EJECT_MIN_MS, longer)
            self.ejected_until_ms = now_ms + self.ejection_ms

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self.decayed_ms
        if elapsed_ms <= 0:
            return
        factor = math.exp2(-elapsed_ms / _HALF_LIFE_MS)
        self.failures *= factor
        self.answers *= factor
        self.decayed_ms = now_ms


class PaceBook:
    """The usual latency of each kind of work, learnt from all upstreams."""

    def __init__(self) -> None:
        self._usual_ms: dict[str, float] = {}

    def ratio(self, work: str, latency_ms: float) -> float | None:
        """Compares a latency with the usual one, and learns from it.

        Args:
            work: Names what took the time, such as a route and a model.
            latency_ms: How long it took.

        Returns:
            The ratio, bounded; None for the first of its kind.
        """
        usual_ms = self._usual_ms.get(work)
        if usual_ms is None:
            self._usual_ms[work] = max(1.0, latency_ms)
            return None
        ratio = min(10.0, max(0.1, latency_ms / usual_ms))
        # Steps of equal size up and down follow the median, not the mean.
        step = 1.05 if latency_ms > usual_ms else 1 / 1.05
        self._usual_ms[work] = max(1.0, usual_ms * step)
        return ratio

    def is_slow(self, work: str, latency_ms: float) -> bool:
        """Tells whether a latency is several times the usual one.

        A few milliseconds more say nothing, however short the work.
        """
        usual_ms = self._usual_ms.get(work, latency_ms)
        return (
            latency_ms >= _SLOW_RATIO * usual_ms
            and latency_ms - usual_ms >= _SLOW_EXTRA_MS
        )

    def usual_ms(self, work: str, default_ms: float) -> float:
        """Returns the usual latency, or a default if none is known."""
        return self._usual_ms.get(work, default_ms)
