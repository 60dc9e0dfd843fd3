"""Intervals and limits of the cold start protocol."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdStartSettings:
    """Intervals and limits; equal on every daemon of a deployment."""

    # How long a credit may be used, counted from its request.
    validity_ms: int = 2_000
    # Added wherever another clock's interval is waited out.
    margin_ms: int = 500
    # Time within which a change of the fleet reaches every member's view.
    view_lag_ms: int = 5_000
    # Oldest view that a gatekeeper may act on.
    view_age_limit_ms: int = 2_000
    # Longest time that work runs on an upstream after its holder, or a report
    # of the upstream, was last heard to say that it runs.
    max_work_ms: int = 120_000
    # Without a report for this long, an upstream's incarnation is unknown.
    # Together with ``report_lag_ms`` less than the fastest restart takes.
    report_age_limit_ms: int = 3_000
    # How much older than its request the state in a report may be.
    report_lag_ms: int = 2_000
    # An upstream without any work for this long is cold again.
    idle_limit_ms: int = 600_000
    # A latency this many times the baseline is a sign of a cold start.
    latency_factor: float = 4.0
    # As many such latencies in a row make the upstream cold again.
    latency_samples: int = 3
    # Share of a new latency in the baseline.
    baseline_weight: float = 0.05
    # Pause before a refused request for credits is repeated.
    retry_ms: int = 250
    # How often holders tell the gatekeeper what they still hold.
    holding_interval_ms: int = 500
    # Most credits in one request.
    max_credits: int = 64
    # Members a failure domain needs to provide its upstreams' gatekeepers.
    min_scope: int = 5

    @property
    def takeover_ms(self) -> int:
        """Time until credits of an earlier gatekeeper can't be used."""
        return self.view_lag_ms + self.validity_ms + self.margin_ms

    @property
    def handover_ms(self) -> int:
        """How old each half of a handover may be.

        Both together stay below the time in which nobody else can have become
        the gatekeeper.
        """
        return self.validity_ms // 2

    @property
    def release_ms(self) -> int:
        """Time from a grant until its work can't be running any more."""
        return self.validity_ms + self.margin_ms + self.max_work_ms
