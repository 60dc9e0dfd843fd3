"""Statistical tests and circuit breakers for model roll-outs."""

from trefoilpitch.rollout._advice import (
    Advice,
    AdviceReason,
    AdviceSettings,
    HarmMonitor,
    Move,
    advise,
    next_state,
    settings_for_nodes,
)
from trefoilpitch.rollout._breaker import (
    Breaker,
    BreakerPhase,
    BreakerSettings,
)
from trefoilpitch.rollout._evidence import (
    Trials,
    VersionEvidence,
    evidence_of_harm,
    evidence_of_safety,
    tolerated_rate,
)

__all__ = [
    "Advice",
    "AdviceReason",
    "AdviceSettings",
    "Breaker",
    "BreakerPhase",
    "BreakerSettings",
    "HarmMonitor",
    "Move",
    "Trials",
    "VersionEvidence",
    "advise",
    "evidence_of_harm",
    "evidence_of_safety",
    "next_state",
    "settings_for_nodes",
    "tolerated_rate",
]
