"""Adaptive concurrency limit of one upstream."""

from __future__ import annotations

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitSettings:
    """How the limit adapts to the upstream's latency."""

    # Bounds of the limit, in concurrent requests.
    min_limit: int = 1
    max_limit: int = 1_000
    # Ratio of the latency to the baseline above which the upstream counts as
    # overloaded.
    tolerance: float = 2.0
    # Multiplier of the limit when the upstream is overloaded.
    backoff: float = 0.9
    # Multiplier of the limit after a refusal or a failure.
    failure_backoff: float = 0.7
    # Finished requests between two baseline probes, per unit of the limit.
    probe_interval: int = 60
    # Finished requests that a probe lasts, per unit of the limit.
    probe_length: int = 2
    # Multiplier of the limit during a probe.
    probe_factor: float = 0.25


DEFAULT_SETTINGS = LimitSettings()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConcurrencyLimit:
    """The limit of one upstream, by additive increase and back-off.

    Latencies must be comparable between requests: the time to the first
    token or the time per token, not that of a complete response. The limit
    is lowered periodically to probe the latency without load, so that the
    latency under sustained load does not become the baseline.
    """

    # The limit between probes.
    limit: float
    # Estimated latency without load, in milliseconds; None before the first
    # sample.
    baseline_ms: float | None = None
    # Requests to finish or fail before the limit may be lowered again.
    holdoff: int = 0
    # Requests to finish before the next probe begins; None during a probe.
    until_probe: int | None = 0
    # Requests to finish before the current probe ends.
    probe_left: int = 0
    # Lowest latency of the current probe, in milliseconds.
    probe_ms: float = math.inf
    # Current multiplier of the limit, from 0 to 1; below 1 during a probe.
    probe_factor: float = 1.0

    @property
    def requests(self) -> int:
        """Number of requests that may be in flight now; at least 1."""
        return max(int(self.limit * self.probe_factor), 1)

    def finished(
        self,
        latency_ms: float,
        in_flight: int,
        settings: LimitSettings = DEFAULT_SETTINGS,
    ) -> ConcurrencyLimit:
        """Returns the limit after a request finished successfully.

        Raises the limit by one per limit's worth of requests while at least
        half of it is in use, and lowers it when the latency shows overload.

        Args:
            latency_ms: The request's latency.
            in_flight: Requests that were in flight, this one included.
            settings: How the limit adapts to the latency.
        """
        probed = self._advance_probe(latency_ms, settings)
        baseline_ms = min(probed.baseline_ms or latency_ms, latency_ms)
        holdoff = max(self.holdoff - 1, 0)
        limit = self.limit
        if latency_ms > settings.tolerance * baseline_ms:
            if holdoff == 0:
                limit, holdoff = limit * settings.backoff, int(limit)
        elif in_flight * 2 >= limit:
            limit += 1.0 / limit
        return dataclasses.replace(
            probed,
            limit=_clamp(limit, settings),
            baseline_ms=baseline_ms,
            holdoff=holdoff,
        )

    def failed(
        self, settings: LimitSettings = DEFAULT_SETTINGS
    ) -> ConcurrencyLimit:
        """Returns the limit after the upstream refused or failed a request.

        Failures of requests that were in flight together lower it once.
        """
        if self.holdoff > 0:
            return dataclasses.replace(self, holdoff=self.holdoff - 1)
        limit = _clamp(self.limit * settings.failure_backoff, settings)
        return dataclasses.replace(self, limit=limit, holdoff=int(self.limit))

    def _advance_probe(
        self, latency_ms: float, settings: LimitSettings
    ) -> ConcurrencyLimit:
        if self.until_probe is None:
            return self._continue_probe(latency_ms, settings)
        if self.until_probe > 0:
            return dataclasses.replace(self, until_probe=self.until_probe - 1)
        return dataclasses.replace(
            self,
            until_probe=None,
            probe_left=int(settings.probe_length * self.limit),
            probe_ms=latency_ms,
            probe_factor=settings.probe_factor,
        )

    def _continue_probe(
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
            probe_factor=1.0,
        )


def concurrency_limit(
    capacity: int, settings: LimitSettings = DEFAULT_SETTINGS
) -> ConcurrencyLimit:
    """Returns the initial limit of a warm upstream of the given capacity."""
    return ConcurrencyLimit(limit=_clamp(float(capacity), settings))


def _clamp(limit: float, settings: LimitSettings) -> float:
    return min(max(limit, settings.min_limit), settings.max_limit)
