"""Serves requests: plans cascades, dispatches, retries, resumes and bills."""

from trefoilpitch.serving._bills import BillSink
from trefoilpitch.serving._calls import CallHandler
from trefoilpitch.serving._chat import (
    ChatHandler,
    ChatResponse,
    DeliveredResponse,
    OutcomeListener,
)
from trefoilpitch.serving._directory import (
    Slot,
    TrackedUpstream,
    UpstreamDirectory,
)
from trefoilpitch.serving._dispatcher import (
    Dispatched,
    Dispatcher,
    DispatchRequest,
)
from trefoilpitch.serving._gate import AdmissionGate, NodeStatus
from trefoilpitch.serving._keyed import KeyedRequests
from trefoilpitch.serving._planning import CascadePlanner
from trefoilpitch.serving._prefixes import PrefixCaches
from trefoilpitch.serving._protocols import (
    ClientFactory,
    ColdStartGate,
    ConcurrencyGate,
)
from trefoilpitch.serving._queue import RealTimeWaiter, SlotQueue, Waiter
from trefoilpitch.serving._resumption import ResumeHandler
from trefoilpitch.serving._types import (
    CallRequest,
    CallResponse,
    ChatEvent,
    ChatRequest,
    Completed,
    ConfigurationSource,
    Delta,
    ResponseInfo,
    Truncated,
)
from trefoilpitch.serving._version_monitor import (
    RolloutAdvice,
    RolloutHarm,
    VersionMonitor,
)

__all__ = [
    "ResponseInfo",
    "BillSink",
    "Truncated",
    "CallResponse",
    "CallHandler",
    "CallRequest",
    "CascadePlanner",
    "ChatResponse",
    "ChatEvent",
    "ChatHandler",
    "ChatRequest",
    "ClientFactory",
    "ColdStartGate",
    "Completed",
    "ConcurrencyGate",
    "RealTimeWaiter",
    "ConfigurationSource",
    "DeliveredResponse",
    "Delta",
    "Dispatcher",
    "DispatchRequest",
    "TrackedUpstream",
    "KeyedRequests",
    "NodeStatus",
    "OutcomeListener",
    "Waiter",
    "SlotQueue",
    "PrefixCaches",
    "Dispatched",
    "ResumeHandler",
    "RolloutAdvice",
    "RolloutHarm",
    "Slot",
    "UpstreamDirectory",
    "VersionMonitor",
    "AdmissionGate",
]
