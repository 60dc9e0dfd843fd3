"""Clients of model engines and plain services."""

from trefoilpitch.upstreams._answer_stream import AnswerStream, collect
from trefoilpitch.upstreams._cancellation import Cancellation
from trefoilpitch.upstreams._deadlines import DeadlineWatch
from trefoilpitch.upstreams._engine_client import (
    EngineClient,
    open_engine_client,
)
from trefoilpitch.upstreams._exceptions import (
    AnswerGoneError,
    CancelledError,
    ConnectError,
    DeadlineExceededError,
    ErrorReplyError,
    IncompleteReplyError,
    InvalidRequestError,
    MismatchedReplyError,
    OverloadedError,
    PoolExhaustedError,
    RefusedError,
    ReplyTooLargeError,
    ResumeError,
    StaleFencingError,
    UpstreamError,
)
from trefoilpitch.upstreams._fakes import (
    FakeEngineClient,
    FakeServiceClient,
)
from trefoilpitch.upstreams._nodes import (
    CacheEvent,
    CacheEvents,
    Chunk,
    CompletionRequest,
    Finish,
    LoadReport,
    Message,
    Order,
    OrderKind,
    OrderReply,
    ServiceReply,
    ServiceRequest,
    Timeouts,
)
from trefoilpitch.upstreams._prefixes import prompt_prefix_hash
from trefoilpitch.upstreams._service_client import (
    ServiceClient,
    open_service_client,
)
from trefoilpitch.upstreams._stats import ClientStats, FailureCount

__all__ = [
    # Clients.
    "AnswerStream",
    "Cancellation",
    "DeadlineWatch",
    "EngineClient",
    "FakeEngineClient",
    "FakeServiceClient",
    "ServiceClient",
    "collect",
    "open_engine_client",
    "open_service_client",
    "prompt_prefix_hash",
    # Nodes.
    "CacheEvent",
    "CacheEvents",
    "Chunk",
    "ClientStats",
    "CompletionRequest",
    "FailureCount",
    "Finish",
    "LoadReport",
    "Message",
    "Order",
    "OrderKind",
    "OrderReply",
    "ServiceReply",
    "ServiceRequest",
    "Timeouts",
    # Errors.
    "AnswerGoneError",
    "CancelledError",
    "ConnectError",
    "DeadlineExceededError",
    "ErrorReplyError",
    "IncompleteReplyError",
    "InvalidRequestError",
    "MismatchedReplyError",
    "OverloadedError",
    "PoolExhaustedError",
    "RefusedError",
    "ReplyTooLargeError",
    "ResumeError",
    "StaleFencingError",
    "UpstreamError",
]
