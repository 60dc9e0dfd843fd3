"""Sends engines the orders to load and unload model versions.

Each group of engines is controlled by the holder of one lease at a time.
"""

from trefoilpitch.orders._candidates import candidate_scopes
from trefoilpitch.orders._client_control import (
    EngineClientControl,
    engine_client_control,
)
from trefoilpitch.orders._desired import EngineTarget, desired_targets
from trefoilpitch.orders._events import (
    Action,
    CallFailed,
    ConfigurationChanged,
    Event,
    LeaseAcquired,
    LeaseLost,
    OrderAccepted,
    ReadStatus,
    SendOrder,
    StatusRead,
    Tick,
)
from trefoilpitch.orders._exceptions import (
    OrderError,
    OrderNotSentError,
    OrderOutcomeUnknownError,
    OrderRejectedError,
    StaleFencingError,
    VersionsUnknownError,
)
from trefoilpitch.orders._fake import MemoryEngines, memory_engines
from trefoilpitch.orders._machine import step
from trefoilpitch.orders._runner import Reconciler, reconciler
from trefoilpitch.orders._scope import EngineScope, engine_scopes
from trefoilpitch.orders._service import (
    OrderService,
    ScopeState,
    order_service,
)
from trefoilpitch.orders._state import (
    EngineView,
    ReconcilerState,
    initial_state,
)
from trefoilpitch.orders._types import (
    EngineControl,
    EngineOrder,
    EngineStatus,
    OrderCounters,
    ReconcilerSettings,
)

__all__ = [
    "Action",
    "CallFailed",
    "ConfigurationChanged",
    "EngineClientControl",
    "EngineControl",
    "EngineOrder",
    "EngineScope",
    "EngineStatus",
    "EngineTarget",
    "EngineView",
    "Event",
    "MemoryEngines",
    "OrderAccepted",
    "OrderCounters",
    "OrderError",
    "OrderNotSentError",
    "OrderOutcomeUnknownError",
    "OrderRejectedError",
    "OrderService",
    "ReadStatus",
    "Reconciler",
    "ReconcilerSettings",
    "ReconcilerState",
    "ScopeState",
    "SendOrder",
    "StaleFencingError",
    "StatusRead",
    "LeaseAcquired",
    "LeaseLost",
    "Tick",
    "VersionsUnknownError",
    "candidate_scopes",
    "desired_targets",
    "engine_client_control",
    "engine_scopes",
    "initial_state",
    "memory_engines",
    "order_service",
    "reconciler",
    "step",
]
