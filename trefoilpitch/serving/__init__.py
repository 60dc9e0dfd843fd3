"""Serves requests: cascades, places, retries, bills."""

from trefoilpitch.serving._bills import BillSink
from trefoilpitch.serving._calls import CallFlow
from trefoilpitch.serving._chat import (
    ChatAnswer,
    ChatFlow,
    Delivered,
    OutcomeListener,
)
from trefoilpitch.serving._directory import (
    FollowedUpstream,
    Slot,
    UpstreamDirectory,
)
from trefoilpitch.serving._dispatcher import Dispatcher, Errand, Placed
from trefoilpitch.serving._gate import NodeStatus, WorkGate
from trefoilpitch.serving._keyed import KeyedRequests
from trefoilpitch.serving._learning import (
    RolloutAdvice,
    RolloutHarm,
    VersionLearner,
)
from trefoilpitch.serving._nodes import (
    AnswerInfo,
    Broken,
    CallAnswer,
    CallRequest,
    ChatEvent,
    ChatRequest,
    Completed,
    ConfigurationSource,
    Delta,
)
from trefoilpitch.serving._planning import CascadePlanner
from trefoilpitch.serving._prefixes import PrefixCaches
from trefoilpitch.serving._protocols import (
    ClientFactory,
    ColdStartGate,
    ConcurrencyGate,
)
from trefoilpitch.serving._queue import ConditionParking, Parking, PlaceQueue
from trefoilpitch.serving._resumption import ResumeFlow

__all__ = [
    "AnswerInfo",
    "BillSink",
    "Broken",
    "CallAnswer",
    "CallFlow",
    "CallRequest",
    "CascadePlanner",
    "ChatAnswer",
    "ChatEvent",
    "ChatFlow",
    "ChatRequest",
    "ClientFactory",
    "ColdStartGate",
    "Completed",
    "ConcurrencyGate",
    "ConditionParking",
    "ConfigurationSource",
    "Delivered",
    "Delta",
    "Dispatcher",
    "Errand",
    "FollowedUpstream",
    "KeyedRequests",
    "NodeStatus",
    "OutcomeListener",
    "Parking",
    "PlaceQueue",
    "PrefixCaches",
    "Placed",
    "ResumeFlow",
    "RolloutAdvice",
    "RolloutHarm",
    "Slot",
    "UpstreamDirectory",
    "VersionLearner",
    "WorkGate",
]
