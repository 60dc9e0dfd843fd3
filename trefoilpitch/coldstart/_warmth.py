"""One daemon's observations of whether an upstream is warm or cold."""

from __future__ import annotations

import dataclasses

from trefoilpitch.coldstart._messages import UNKNOWN_INCARNATION
from trefoilpitch.coldstart._settings import ColdStartSettings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Warmth:
    """What one daemon has observed of an upstream."""

    # The upstream's incarnation in the latest report.
    incarnation: str = UNKNOWN_INCARNATION
    # When that report was requested; ``None`` before the first.
    report_ms: int | None = None
    # The incarnation that is warm according to the gatekeeper; empty after a
    # sign of a cold start.
    warm_incarnation: str = UNKNOWN_INCARNATION
    # When the upstream was last marked cold. Only a reply to a later request
    # may mark it warm again.
    cold_ms: int | None = None
    # When the upstream was last known to be running work.
    busy_ms: int | None = None
    # Moving average of latencies while warm, in milliseconds.
    baseline_ms: float | None = None
    # Number of latencies in a row that exceeded ``latency_factor`` times the
    # baseline.
    consecutive_slow: int = 0


def current_incarnation(
    warmth: Warmth, now_ms: int, settings: ColdStartSettings
) -> str:
    """Returns the upstream's incarnation; empty without a recent report."""
    if warmth.report_ms is None:
        return UNKNOWN_INCARNATION
    if now_ms - warmth.report_ms > settings.report_age_limit_ms:
        return UNKNOWN_INCARNATION
    return warmth.incarnation


def is_known_warm(
    warmth: Warmth, now_ms: int, settings: ColdStartSettings
) -> bool:
    """Tells whether the upstream may be used without credits now."""
    incarnation = current_incarnation(warmth, now_ms, settings)
    if incarnation == UNKNOWN_INCARNATION:
        return False
    if warmth.warm_incarnation != incarnation:
        return False
    return not _is_idle(warmth, now_ms, settings)


def mark_warm(
    warmth: Warmth,
    incarnation: str,
    requested_ms: int,
    now_ms: int,
    settings: ColdStartSettings,
) -> Warmth:
    """Applies a ``WarmNotice``, unless a cold sign followed its request."""
    if current_incarnation(warmth, now_ms, settings) != incarnation:
        return warmth
    if warmth.cold_ms is not None and requested_ms <= warmth.cold_ms:
        return warmth
    return dataclasses.replace(
        warmth, warm_incarnation=incarnation, busy_ms=now_ms
    )


def mark_cold(warmth: Warmth, now_ms: int) -> Warmth:
    """Records a sign of a cold start; the latency baseline is kept."""
    return dataclasses.replace(
        warmth,
        warm_incarnation=UNKNOWN_INCARNATION,
        cold_ms=now_ms,
        consecutive_slow=0,
    )


def record_report(
    warmth: Warmth,
    *,
    incarnation: str,
    running: int,
    as_of_ms: int,
    settings: ColdStartSettings,
) -> Warmth:
    """Applies a load report.

    A gap between reports, another incarnation, or a warm upstream without
    work for ``idle_limit_ms`` is a sign of a cold start.
    """
    if warmth.report_ms is not None and as_of_ms < warmth.report_ms:
        return warmth
    is_same = current_incarnation(warmth, as_of_ms, settings) == incarnation
    is_idle = _is_idle(warmth, as_of_ms, settings)
    if not is_same or (warmth.warm_incarnation and is_idle):
        warmth = mark_cold(warmth, as_of_ms)
    return dataclasses.replace(
        warmth,
        incarnation=incarnation,
        report_ms=as_of_ms,
        busy_ms=as_of_ms if running else warmth.busy_ms,
    )


def record_latency(
    warmth: Warmth, latency_ms: int, now_ms: int, settings: ColdStartSettings
) -> Warmth:
    """Applies a latency.

    Several in a row far above the baseline are a sign of a cold start.
    """
    warmth = dataclasses.replace(warmth, busy_ms=now_ms)
    baseline_ms = warmth.baseline_ms
    if baseline_ms is None:
        return dataclasses.replace(warmth, baseline_ms=float(latency_ms))
    if latency_ms > settings.latency_factor * baseline_ms:
        consecutive_slow = warmth.consecutive_slow + 1
        if consecutive_slow >= settings.latency_samples:
            return mark_cold(warmth, now_ms)
        return dataclasses.replace(warmth, consecutive_slow=consecutive_slow)
    weight = settings.baseline_weight
    return dataclasses.replace(
        warmth,
        baseline_ms=(1 - weight) * baseline_ms + weight * latency_ms,
        consecutive_slow=0,
    )


def _is_idle(warmth: Warmth, now_ms: int, settings: ColdStartSettings) -> bool:
    if warmth.busy_ms is None:
        return True
    return now_ms - warmth.busy_ms > settings.idle_limit_ms
