"""Settings of the cascade policy."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CascadeSettings:
    """How cautious and how curious the policy is."""

    # Largest share of requests that may depart from the best known plan.
    exploration_share: float = 0.25
    # Share that goes on exploring when much is known.
    min_exploration_share: float = 0.01
    # Ratings of a cheap version that halve its exploration.
    halving_ratings: float = 200.0
    # Ratings of the dearest version before cheaper ones deliver anything.
    min_ratings: int = 20
    # Changes of the counts after which a plan is computed afresh.
    refresh_changes: int = 32
    # Share of what is known that remains after a drop in quality.
    forgetting_factor: float = 0.02


DEFAULT_SETTINGS = CascadeSettings()
