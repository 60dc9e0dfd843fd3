"""Orders to engines to load and unload versions, one holder at a time."""

from trefoilpitch.orders._desired import EngineTarget, desired_targets
from trefoilpitch.orders._events import (
    Action,
    CallFailed,
    ConfigurationChanged,
    Event,
    OrderAccepted,
    ReadStatus,
    SendOrder,
    StatusRead,
    TermBegan,
    TermEnded,
    Tick,
)
from trefoilpitch.orders._exceptions import (
    OrderError,
    OrderNotSentError,
    OrderOutcomeUnknownError,
    OrderRejectedError,
    StaleFencingError,
)
from trefoilpitch.orders._fake import MemoryEngines, memory_engines
from trefoilpitch.orders._machine import step
from trefoilpitch.orders._runner import Reconciler, reconciler
from trefoilpitch.orders._state import ReconcilerState, initial_state
from trefoilpitch.orders._types import (
    EngineControl,
    EngineOrder,
    EngineStatus,
    OrderCounters,
    OrderTerms,
)

__all__ = [
    "Action",
    "CallFailed",
    "ConfigurationChanged",
    "EngineControl",
    "EngineOrder",
    "EngineStatus",
    "EngineTarget",
    "Event",
    "MemoryEngines",
    "OrderAccepted",
    "OrderCounters",
    "OrderError",
    "OrderNotSentError",
    "OrderOutcomeUnknownError",
    "OrderRejectedError",
    "OrderTerms",
    "ReadStatus",
    "Reconciler",
    "ReconcilerState",
    "SendOrder",
    "StaleFencingError",
    "StatusRead",
    "TermBegan",
    "TermEnded",
    "Tick",
    "desired_targets",
    "initial_state",
    "memory_engines",
    "reconciler",
    "step",
]
