"""Expected cost of requests, and the work that upstreams have left."""

from trefoilpitch.workload._averages import DecayingMaximum, DecayingMean
from trefoilpitch.workload._estimator import WorkEstimator
from trefoilpitch.workload._remaining import RemainingWork, WorkTicket
from trefoilpitch.workload._speed import SpeedAverage
from trefoilpitch.workload._types import (
    MeasuredWork,
    RequestSize,
    WorkEstimate,
    WorkKind,
)

__all__ = [
    "RequestSize",
    "WorkKind",
    "WorkEstimate",
    "MeasuredWork",
    "WorkEstimator",
    "RemainingWork",
    "WorkTicket",
    "SpeedAverage",
    "DecayingMean",
    "DecayingMaximum",
]
