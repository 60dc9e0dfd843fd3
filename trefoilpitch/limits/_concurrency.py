"""Adaptive limit of the requests that run on one upstream at once."""

from __future__ import annotations

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitSettings:
    """How a limit follows the upstream's latency."""

    # Bounds of the limit.
    min_limit: int = 1
    max_limit: int = 1_000
    # Latency over the baseline from which the upstream counts as overloaded.
    tolerance: float = 2.0
    # Factor of the limit after an overload.
    backoff: float = 0.9
    # Factor of the limit after a refusal or a failure.
    failure_backoff: float = 0.7
    # Finishes between two probes of the baseline, for each unit of limit.
    probe_interval: int = 60
    # Finishes that a probe lasts, for each unit of limit.
    probe_length: int = 2
    # Factor of the limit during a probe.
    probe_factor: float = 0.25


DEFAULT_SETTINGS = LimitSettings()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConcurrencyLimit:
    """The limit of one upstream, by additive increase and back-off.

    Latency must be comparable between requests: the time to the first
    token, or the time per token, rather than that of a whole answer. Now
    and then the limit dips to measure the latency without load afresh, so
    that sustained load is not taken for the baseline.
    """

    # The limit between probes.
    limit: float
    # Latency without load, in milliseconds; None before the first sample.
    baseline_ms: float | None = None
    # Finishes until the limit may back off again.
    holdoff: int = 0
    # Finishes until the next probe begins; None during a probe.
    until_probe: int | None = 0
    # Finishes until the running probe ends.
    probe_left: int = 0
    # Lowest latency of the running probe, in milliseconds.
    probe_ms: float = math.inf
    # The factor of the limit that is in force, from 0 to 1.
    factor: float = 1.0

    @property
    def requests(self) -> int:
        """Requests that may run at once."""
        return max(int(self.limit * self.factor), 1)

    def finished(
        self,
        latency_ms: float,
        in_flight: int,
        settings: LimitSettings = DEFAULT_SETTINGS,
    ) -> ConcurrencyLimit:
        """Returns the limit after a request finished.

        Args:
            latency_ms: The request's latency.
            in_flight: Requests that were running, itself included.
            settings: How the limit follows the latency.
        """
        after = self._probed(latency_ms, settings)
        baseline_ms = min(after.baseline_ms or latency_ms, latency_ms)
        holdoff = max(self.holdoff - 1, 0)
        limit = self.limit
        if latency_ms > settings.tolerance * baseline_ms:
            if holdoff == 0:
                limit, holdoff = limit * settings.backoff, int(limit)
        elif in_flight * 2 >= limit:
            limit += 1.0 / limit
        return dataclasses.replace(
            after,
            limit=_bounded(limit, settings),
            baseline_ms=baseline_ms,
            holdoff=holdoff,
        )

    def failed(
        self, settings: LimitSettings = DEFAULT_SETTINGS
    ) -> ConcurrencyLimit:
        """Returns the limit after the upstream refused or timed out.

        Failures of requests that ran together back off once.
        """
        if self.holdoff > 0:
            return dataclasses.replace(self, holdoff=self.holdoff - 1)
        limit = _bounded(self.limit * settings.failure_backoff, settings)
        return dataclasses.replace(self, limit=limit, holdoff=int(self.limit))

    def _probed(
        self, latency_ms: float, settings: LimitSettings
    ) -> ConcurrencyLimit:
        if self.until_probe is None:
            return self._in_probe(latency_ms, settings)
        if self.until_probe > 0:
            return dataclasses.replace(self, until_probe=self.until_probe - 1)
        return dataclasses.replace(
            self,
            until_probe=None,
            probe_left=int(settings.probe_length * self.limit),
            probe_ms=latency_ms,
            factor=settings.probe_factor,
        )

    def _in_probe(
        self, latency_ms: float, settings: LimitSettings
    ) -> ConcurrencyLimit:
        lowest_ms = min(self.probe_ms, latency_ms)
        if self.probe_left > 0:
            return dataclasses.replace(
                self, probe_left=self.probe_left - 1, probe_ms=lowest_ms
            )
        return dataclasses.replace(
            self,
            until_probe=int(settings.probe_interval * self.limit),
            baseline_ms=lowest_ms,
            factor=1.0,
        )


def concurrency_limit(
    capacity: int, settings: LimitSettings = DEFAULT_SETTINGS
) -> ConcurrencyLimit:
    """Returns the limit of a warm upstream of the given capacity."""
    return ConcurrencyLimit(limit=_bounded(float(capacity), settings))


def _bounded(limit: float, settings: LimitSettings) -> float:
    return min(max(limit, settings.min_limit), settings.max_limit)
