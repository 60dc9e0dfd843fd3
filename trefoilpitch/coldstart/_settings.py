"""Intervals and limits of the cold start protocol."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdStartSettings:
    """Intervals and limits; must be equal on every daemon of a deployment."""

    # How long a credit may be used, counted from when it was requested.
    validity_ms: int = 2_000
    # Added to each wait for an interval that another clock measures.
    margin_ms: int = 500
    # Longest time until a change of the fleet shows in every member's view.
    view_lag_ms: int = 5_000
    # Oldest view that a gatekeeper may act on.
    view_age_limit_ms: int = 2_000
    # Longest time that work runs on an upstream after the last message of its
    # holder, or the last report of the upstream, that showed it running.
    max_work_ms: int = 120_000
    # Without a report for this long, an upstream's incarnation is unknown. The
    # sum with ``report_lag_ms`` must be less than the fastest restart takes, so
    # that a restarted upstream isn't taken for its previous incarnation.
    report_age_limit_ms: int = 3_000
    # How much older than the request the state in a report may be.
    report_lag_ms: int = 2_000
    # An upstream without any work for this long is cold again.
    idle_limit_ms: int = 600_000
    # A latency this many times the baseline is a sign of a cold start.
    latency_factor: float = 4.0
    # This many such latencies in a row mark the upstream cold again.
    latency_samples: int = 3
    # Weight of a new latency in the moving average that is the baseline.
    baseline_weight: float = 0.05
    # Delay before a refused request for credits is retried.
    retry_ms: int = 250
    # Interval at which holders report the credits that they still hold to the
    # gatekeeper.
    holding_interval_ms: int = 500
    # Maximum number of credits in one request.
    max_credits: int = 64
    # Minimum number of members of a failure domain for the gatekeepers of its
    # upstreams to be chosen from it alone.
    min_scope: int = 5

    @property
    def takeover_ms(self) -> int:
        """Time after which credits of an earlier gatekeeper can't be used."""
        return self.view_lag_ms + self.validity_ms + self.margin_ms

    @property
    def handover_ms(self) -> int:
        """Maximum age of each of the two steps of a handover.

        The steps are from the end of the old tenure to the request, and from
        the request to the handover. Their sum is too short for a third member
        to have become the gatekeeper in between.
        """
        return self.validity_ms // 2

    @property
    def release_ms(self) -> int:
        """Time from a grant until its work can't be running any more."""
        return self.validity_ms + self.margin_ms + self.max_work_ms
