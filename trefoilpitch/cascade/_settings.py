"""Settings of the cascade policy."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CascadeSettings:
    """How the policy weighs exploration, evidence and cost of computation."""

    # Largest share of requests that may deviate from the best known plan in
    # order to explore.
    exploration_share: float = 0.25
    # Share of requests that explores even when many ratings are known.
    min_exploration_share: float = 0.01
    # Ratings of the cheapest version at which its exploration has halved.
    halving_ratings: float = 200.0
    # Ratings of the most expensive version that are required before cheaper
    # versions may deliver responses.
    min_ratings: int = 20
    # Changes of a task's counts after which its cached plan is recomputed.
    refresh_changes: int = 32
    # Multiplier of the counts of a version after a drop in its quality.
    drift_retention: float = 0.02


DEFAULT_SETTINGS = CascadeSettings()
