"""Plans model cascades: least expected cost that meets a quality target."""

from trefoilpitch.cascade._counts import CountsSnapshot, KeyCounts
from trefoilpitch.cascade._nodes import (
    Candidate,
    CascadePlan,
    CascadeStep,
    Finish,
    Rating,
    ResponseKey,
    ResponseLabel,
    Target,
    Verdict,
)
from trefoilpitch.cascade._policy import CascadePolicy
from trefoilpitch.cascade._settings import CascadeSettings

__all__ = [
    "Candidate",
    "CascadePlan",
    "CascadePolicy",
    "CascadeSettings",
    "CascadeStep",
    "CountsSnapshot",
    "Finish",
    "KeyCounts",
    "Rating",
    "ResponseKey",
    "ResponseLabel",
    "Target",
    "Verdict",
]
