"""Health of upstreams as observed by this daemon."""

from __future__ import annotations

import dataclasses
import math

# Half-life of the failure and success counts: long compared to one request,
# short compared to an upstream's fault of some seconds.
_HALF_LIFE_MS = 3_000.0
# Weight of one response in the moving average of the latency ratio, and the
# half-life of its distance from 1: an upstream that has just started is slow
# for some seconds, and would be avoided while it gets no requests.
_LATENCY_RATIO_WEIGHT = 0.2
_LATENCY_RATIO_HALF_LIFE_MS = 4_000.0
# Consecutive failures after which an upstream is ejected.
_EJECT_AFTER = 3
# Duration of the first ejection, and the limit up to which it doubles.
_EJECT_MIN_MS = 1_000
_EJECT_MAX_MS = 6_000
# A response is slow if it takes at least this multiple of the expected latency,
# and at least this much longer.
_SLOW_RATIO = 3.0
_SLOW_EXTRA_MS = 30.0
# The same difference for the time per event of a stream, a mean of several.
_SLOW_PACE_EXTRA_MS = 10.0
# Age after which a load report is ignored.
_REPORT_EXPIRY_MS = 400


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load that an upstream reports in a response."""

    # Requests that it is processing.
    running: int
    # Requests in its queue.
    waiting: int
    # Requests that it can process at the same time.
    slots: int
    # How long work takes there at the moment, where 100 is as usual; None if
    # it does not say.
    duration_percent: int | None = None


@dataclasses.dataclass(slots=True)
class UpstreamHealth:
    """Load, failures and latency of one upstream."""

    # In-flight requests of this daemon.
    in_flight: int = 0
    # The last load report, and the monotonic time of its arrival.
    report: LoadReport | None = None
    report_received_ms: int = 0
    # In-flight requests of this daemon when the report arrived.
    in_flight_at_report: int = 0
    # Exponentially decayed counts, and the monotonic time of the last decay.
    failures: float = 0.0
    successes: float = 0.0
    decayed_ms: int = 0
    # Moving average of measured to expected latency.
    latency_ratio: float = 1.0
    # Monotonic time of its last update.
    latency_ratio_ms: int = 0
    consecutive_failures: int = 0
    # Monotonic time until which it is ejected; 0 after a success.
    ejected_until_ms: int = 0
    # Duration of the last ejection; 0 after a success.
    ejection_ms: int = 0
    # Whether the last failure showed that it cannot be reached.
    unreachable: bool = False

    def load(self, now_ms: int, peers_in_flight: int = 0) -> int:
        """Estimates the number of requests at the upstream.

        A load report covers the requests of all daemons but is outdated when
        it arrives, so the change of this daemon's own requests since then is
        added. The second estimate is the sum of own requests and those in the
        peers' last heartbeats. The larger estimate is returned.

        Args:
            now_ms: The monotonic time.
            peers_in_flight: The other daemons' in-flight requests.
        """
        known = self.in_flight + peers_in_flight
        report = self.report
        if (
            report is None
            or now_ms - self.report_received_ms > _REPORT_EXPIRY_MS
        ):
            return known
        change = self.in_flight - self.in_flight_at_report
        return max(known, report.running + report.waiting + change)

    def failure_rate(self, now_ms: int) -> float:
        """Returns the fraction of recent requests that failed."""
        self._decay(now_ms)
        return self.failures / (self.successes + self.failures + 1.0)

    def recent_latency_ratio(self, now_ms: int) -> float:
        """Returns the latency ratio; without responses it approaches 1."""
        elapsed_ms = max(0, now_ms - self.latency_ratio_ms)
        factor = math.exp2(-elapsed_ms / _LATENCY_RATIO_HALF_LIFE_MS)
        return 1.0 + factor * (self.latency_ratio - 1.0)

    def is_ejected(self, now_ms: int) -> bool:
        """Whether it gets no request now.

        After an ejection one request at a time probes the upstream until one
        succeeds.
        """
        if now_ms < self.ejected_until_ms:
            return True
        return self.consecutive_failures >= _EJECT_AFTER and self.in_flight > 0

    def record_report(self, report: LoadReport, now_ms: int) -> None:
        """Records a load report."""
        self.report = report
        self.report_received_ms = now_ms
        self.in_flight_at_report = self.in_flight

    def record_success(self, latency_ratio: float | None, now_ms: int) -> None:
        """Records a successful response; ends an ejection.

        Args:
            latency_ratio: Measured to expected latency; None if unknown.
            now_ms: The monotonic time.
        """
        self._decay(now_ms)
        self.successes += 1.0
        self.consecutive_failures = 0
        self.ejection_ms = 0
        self.ejected_until_ms = 0
        self.unreachable = False
        if latency_ratio is not None:
            recent = self.recent_latency_ratio(now_ms)
            self.latency_ratio = recent + _LATENCY_RATIO_WEIGHT * (
                latency_ratio - recent
            )
            self.latency_ratio_ms = now_ms

    def record_reachable(self) -> None:
        """Ends the ejection of an upstream that could not be reached."""
        if self.unreachable:
            self.unreachable = False
            self.consecutive_failures = 0
            self.ejection_ms = 0
            self.ejected_until_ms = 0

    def record_failure(self, now_ms: int, *, unreachable: bool) -> None:
        """Records a failed attempt.

        Load pattern: an upstream falls silent for a second, and all of its
        requests fail one after the other. Those that fail while it is ejected
        were sent before, and do not show that it stays silent for longer.

        Args:
            now_ms: The monotonic time.
            unreachable: Whether no connection could be established; this
                ejects the upstream at once.
        """
        self._decay(now_ms)
        self.failures += 1.0
        self.consecutive_failures += 1
        self.unreachable = unreachable
        if unreachable:
            self.consecutive_failures = max(
                self.consecutive_failures, _EJECT_AFTER
            )
        ejected = now_ms < self.ejected_until_ms
        if self.consecutive_failures >= _EJECT_AFTER and not ejected:
            longer = min(_EJECT_MAX_MS, 2 * self.ejection_ms)
            self.ejection_ms = max(_EJECT_MIN_MS, longer)
            self.ejected_until_ms = now_ms + self.ejection_ms

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self.decayed_ms
        if elapsed_ms <= 0:
            return
        factor = math.exp2(-elapsed_ms / _HALF_LIFE_MS)
        self.failures *= factor
        self.successes *= factor
        self.decayed_ms = now_ms


class ExpectedLatencies:
    """Expected latency of each kind of request, over all upstreams."""

    def __init__(self) -> None:
        self._expected_ms: dict[str, float] = {}

    def record(self, key: str, latency_ms: float) -> float | None:
        """Compares a latency with the expected one and updates the latter.

        Args:
            key: The kind of request, such as a model and a size class.
            latency_ms: The measured latency.

        Returns:
            The ratio, clamped to [0.1, 10]; None for the first of its kind.
        """
        expected_ms = self._expected_ms.get(key)
        if expected_ms is None:
            self._expected_ms[key] = max(1.0, latency_ms)
            return None
        ratio = min(10.0, max(0.1, latency_ms / expected_ms))
        # Steps of equal relative size track the median, not the mean.
        step = 1.05 if latency_ms > expected_ms else 1 / 1.05
        self._expected_ms[key] = max(1.0, expected_ms * step)
        return ratio

    def is_slow(self, key: str, latency_ms: float) -> bool:
        """Returns whether a latency is several times the expected one.

        A difference of a few milliseconds is noise, however short the request.
        """
        slow_after_ms = self.slow_after_ms(key)
        return slow_after_ms is not None and latency_ms >= slow_after_ms

    def slow_after_ms(self, key: str) -> float | None:
        """Returns the least latency that is slow; None if nothing is known."""
        expected_ms = self._expected_ms.get(key)
        if expected_ms is None:
            return None
        return max(_SLOW_RATIO * expected_ms, expected_ms + _SLOW_EXTRA_MS)

    def is_slow_pace(self, key: str, pace_ms: float) -> bool:
        """Returns whether a time per event is several times the expected one.

        Args:
            key: The kind of stream.
            pace_ms: The mean time per event.
        """
        expected_ms = self._expected_ms.get(key, pace_ms)
        return (
            pace_ms >= _SLOW_RATIO * expected_ms
            and pace_ms - expected_ms >= _SLOW_PACE_EXTRA_MS
        )

    def expected_ms(self, key: str, default_ms: float) -> float:
        """Returns the expected latency, or a default if none is known."""
        return self._expected_ms.get(key, default_ms)
