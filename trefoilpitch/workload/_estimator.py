"""Estimates the cost of requests from those that have finished.

Load pattern: requests that look alike to a count differ tenfold in their work,
by their kind, their model, and the length of prompt and response.
"""

from __future__ import annotations

import dataclasses
from collections import OrderedDict

from trefoilpitch.workload._averages import DecayingMean
from trefoilpitch.workload._concurrency import ConcurrencyEffect
from trefoilpitch.workload._types import (
    MeasuredWork,
    RequestSize,
    WorkEstimate,
    WorkKind,
)

# First guess of the cost, until requests of a kind have finished: what any
# request takes, the pace at which prompts are read, and the time per token.
_BASE_MS = 20.0
_PROMPT_TOKENS_PER_MS = 70.0
_TOKEN_MS = 2.8
_BODY_BYTES_PER_MS = 100_000.0
_PRIOR_SPREAD = 0.5
# Finished requests of a size class from which on its own mean is trusted as
# much as that of its kind.
_CLASS_WEIGHT = 3.0
# Finished requests of a service below which its estimates are first guesses.
_MIN_FINISHED = 8
# Kinds and size classes that are remembered, those used last.
_MAX_CLASSES = 1_024
# Ratios to the first guess outside of these are faults, not costs.
_MIN_RATIO = 0.01
_MAX_RATIO = 100.0


@dataclasses.dataclass(slots=True)
class _Ratios:
    """Measured times relative to the first guess."""

    first: DecayingMean = dataclasses.field(default_factory=DecayingMean)
    total: DecayingMean = dataclasses.field(default_factory=DecayingMean)


class WorkEstimator:
    """Learns the cost of requests by kind and size."""

    def __init__(self) -> None:
        # By kind, and by kind and size class.
        self._ratios: OrderedDict[object, _Ratios] = OrderedDict()
        # Cost of all requests by service; a configuration has a few.
        self._services: dict[str, DecayingMean] = {}
        self._effects: dict[str, ConcurrencyEffect] = {}

    def estimate(self, kind: WorkKind, size: RequestSize) -> WorkEstimate:
        """Returns the expected cost of a request."""
        first_ms, total_ms = _first_guess(kind, size)
        known = self._ratios.get(kind)
        first = total = 1.0
        first_spread = total_spread = _PRIOR_SPREAD
        if known is not None:
            first, first_spread = known.first.mean, known.first.spread
            total, total_spread = known.total.mean, known.total.spread
            own = self._ratios.get((kind, _size_class(size)))
            if own is not None:
                share = own.total.count / (own.total.count + _CLASS_WEIGHT)
                first += share * (own.first.mean - first)
                first_spread += share * (own.first.spread - first_spread)
                total += share * (own.total.mean - total)
                total_spread += share * (own.total.spread - total_spread)
        expected_first_ms = first * first_ms
        return WorkEstimate(
            first_ms=expected_first_ms,
            first_spread_ms=first_spread * first_ms,
            total_ms=max(expected_first_ms, total * total_ms),
            total_spread_ms=total_spread * total_ms,
        )

    def record(
        self,
        kind: WorkKind,
        size: RequestSize,
        measured: MeasuredWork,
        now_ms: int,
    ) -> None:
        """Learns from a finished request.

        Args:
            kind: Its kind.
            size: Its size, with the length that its response had.
            measured: How long it took.
            now_ms: The monotonic time.
        """
        effect = self._effects.setdefault(kind.service, ConcurrencyEffect())
        alone_ms = self.estimate(kind, size).total_ms * measured.duration
        effect.record(measured.utilization, measured.total_ms / alone_ms)
        correction = 1.0 / self._time_factor(kind.service, measured)
        first_ms, total_ms = _first_guess(kind, size)
        first = _clamp(measured.first_ms * correction / first_ms)
        total = _clamp(measured.total_ms * correction / total_ms)
        for key in (kind, (kind, _size_class(size))):
            known = self._ratios.setdefault(key, _Ratios())
            self._ratios.move_to_end(key)
            known.first.record(first, now_ms)
            known.total.record(total, now_ms)
        while len(self._ratios) > _MAX_CLASSES:
            self._ratios.popitem(last=False)
        costs = self._services.setdefault(kind.service, DecayingMean())
        costs.record(total * total_ms, now_ms)

    def mean_ms(self, service: str) -> float | None:
        """Returns the mean cost of a service's requests.

        Returns:
            None if too few have finished for an estimate.
        """
        costs = self._services.get(service)
        if costs is None or costs.count < _MIN_FINISHED:
            return None
        return max(1.0, costs.mean)

    def slowdown(self, service: str) -> float | None:
        """Returns by how much longer requests take on a full upstream.

        Returns:
            The time added at full utilization, relative to the one alone;
            None if too few requests have finished to tell.
        """
        effect = self._effects.get(service)
        return effect.slowdown if effect and effect.known else None

    def expected_ms(
        self, kind: WorkKind, size: RequestSize, measured: MeasuredWork
    ) -> float:
        """Returns the expected time under the conditions of a measured one."""
        alone_ms = self.estimate(kind, size).total_ms
        return alone_ms * self._time_factor(kind.service, measured)

    def _time_factor(self, service: str, measured: MeasuredWork) -> float:
        """Returns a time under some conditions relative to the usual one."""
        effect = self._effects.get(service)
        slowdown = 0.0 if effect is None else effect.slowdown
        factor = 1.0 + slowdown * min(1.0, measured.utilization)
        # Requests beyond the slots wait for one of them.
        factor *= max(1.0, measured.utilization)
        return factor * max(0.1, measured.duration)


def _first_guess(kind: WorkKind, size: RequestSize) -> tuple[float, float]:
    """Returns the times to the first event and to the end."""
    first_ms = _BASE_MS + size.body_bytes / _BODY_BYTES_PER_MS
    if kind.model is None:
        return first_ms, first_ms
    first_ms += size.unread_tokens / _PROMPT_TOKENS_PER_MS
    return first_ms, first_ms + _TOKEN_MS * max(1, size.output_tokens)


def _size_class(size: RequestSize) -> tuple[int, int, int]:
    # Powers of two; of four for the body, whose bytes cost little.
    return (
        size.unread_tokens.bit_length(),
        max(0, size.output_tokens).bit_length(),
        size.body_bytes.bit_length() // 2,
    )


def _clamp(ratio: float) -> float:
    return min(_MAX_RATIO, max(_MIN_RATIO, ratio))
