"""One daemon's evidence that an upstream is warm, or cold again."""

from __future__ import annotations

import dataclasses

from trefoilpitch.coldstart._messages import UNKNOWN_INCARNATION
from trefoilpitch.coldstart._settings import ColdStartSettings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Warmth:
    """What one daemon observed of an upstream."""

    # The incarnation that the latest report named.
    incarnation: str = UNKNOWN_INCARNATION
    # When that report was asked for; ``None`` before the first.
    report_ms: int | None = None
    # The incarnation that the gatekeeper declared warm, while that holds.
    warm_incarnation: str = UNKNOWN_INCARNATION
    # When the upstream was last found cold; later requests may learn that it
    # is warm.
    cold_ms: int | None = None
    # When the upstream was last known to run any work.
    busy_ms: int | None = None
    # Moving average of latencies while warm, in milliseconds.
    baseline_ms: float | None = None
    # Latencies far off the baseline, in a row.
    slow_in_row: int = 0


def current_incarnation(
    warmth: Warmth, now_ms: int, settings: ColdStartSettings
) -> str:
    """Returns the upstream's incarnation, empty if no recent report tells."""
    if warmth.report_ms is None:
        return UNKNOWN_INCARNATION
    if now_ms - warmth.report_ms > settings.report_age_limit_ms:
        return UNKNOWN_INCARNATION
    return warmth.incarnation


def is_warm_here(
    warmth: Warmth, now_ms: int, settings: ColdStartSettings
) -> bool:
    """Tells whether the upstream may be used without credits now."""
    incarnation = current_incarnation(warmth, now_ms, settings)
    if incarnation == UNKNOWN_INCARNATION:
        return False
    if warmth.warm_incarnation != incarnation:
        return False
    return not _is_idle(warmth, now_ms, settings)


def declare_warm(
    warmth: Warmth,
    incarnation: str,
    asked_ms: int,
    now_ms: int,
    settings: ColdStartSettings,
) -> Warmth:
    """Takes the gatekeeper's word, unless a cold sign came after asking."""
    if current_incarnation(warmth, now_ms, settings) != incarnation:
        return warmth
    if warmth.cold_ms is not None and asked_ms <= warmth.cold_ms:
        return warmth
    return dataclasses.replace(
        warmth, warm_incarnation=incarnation, busy_ms=now_ms
    )


def find_cold(warmth: Warmth, now_ms: int) -> Warmth:
    """Notes a sign of a cold start; the baseline stays."""
    return dataclasses.replace(
        warmth,
        warm_incarnation=UNKNOWN_INCARNATION,
        cold_ms=now_ms,
        slow_in_row=0,
    )


def note_report(
    warmth: Warmth,
    *,
    incarnation: str,
    running: int,
    as_of_ms: int,
    settings: ColdStartSettings,
) -> Warmth:
    """Takes in a report; a gap or another incarnation is a cold sign."""
    if warmth.report_ms is not None and as_of_ms < warmth.report_ms:
        return warmth
    is_same = current_incarnation(warmth, as_of_ms, settings) == incarnation
    is_idle = _is_idle(warmth, as_of_ms, settings)
    if not is_same or (warmth.warm_incarnation and is_idle):
        warmth = find_cold(warmth, as_of_ms)
    return dataclasses.replace(
        warmth,
        incarnation=incarnation,
        report_ms=as_of_ms,
        busy_ms=as_of_ms if running else warmth.busy_ms,
    )


def note_latency(
    warmth: Warmth, latency_ms: int, now_ms: int, settings: ColdStartSettings
) -> Warmth:
    """Takes in a latency; several far off the baseline are a cold sign."""
    warmth = dataclasses.replace(warmth, busy_ms=now_ms)
    baseline_ms = warmth.baseline_ms
    if baseline_ms is None:
        return dataclasses.replace(warmth, baseline_ms=float(latency_ms))
    if latency_ms > settings.latency_factor * baseline_ms:
        slow_in_row = warmth.slow_in_row + 1
        if slow_in_row >= settings.latency_samples:
            return find_cold(warmth, now_ms)
        return dataclasses.replace(warmth, slow_in_row=slow_in_row)
    weight = settings.baseline_weight
    return dataclasses.replace(
        warmth,
        baseline_ms=(1 - weight) * baseline_ms + weight * latency_ms,
        slow_in_row=0,
    )


def _is_idle(warmth: Warmth, now_ms: int, settings: ColdStartSettings) -> bool:
    if warmth.busy_ms is None:
        return True
    return now_ms - warmth.busy_ms > settings.idle_limit_ms
