"""Clients of model engines and plain services."""

from trefoilpitch.upstreams._cancellation import Cancellation
from trefoilpitch.upstreams._deadlines import DeadlineMonitor
from trefoilpitch.upstreams._engine_client import (
    EngineClient,
    open_engine_client,
)
from trefoilpitch.upstreams._exceptions import (
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
    ResponseGoneError,
    ResumeError,
    StaleFencingError,
    UpstreamError,
)
from trefoilpitch.upstreams._fakes import (
    FakeEngineClient,
    FakeServiceClient,
)
from trefoilpitch.upstreams._prefixes import prompt_prefix_hash
from trefoilpitch.upstreams._response_stream import ResponseStream, collect
from trefoilpitch.upstreams._service_client import (
    ServiceClient,
    open_service_client,
)
from trefoilpitch.upstreams._stats import ClientStats, FailureCount
from trefoilpitch.upstreams._strict_connection import StrictConnection
from trefoilpitch.upstreams._types import (
    CacheEvent,
    CacheEvents,
    Chunk,
    CompletionRequest,
    Finish,
    LoadReport,
    Message,
    Order,
    OrderKind,
    OrderResponse,
    ServiceRequest,
    ServiceResponse,
    Timeouts,
)

__all__ = [
    # Clients.
    "ResponseStream",
    "Cancellation",
    "DeadlineMonitor",
    "EngineClient",
    "FakeEngineClient",
    "FakeServiceClient",
    "ServiceClient",
    "StrictConnection",
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
    "OrderResponse",
    "ServiceResponse",
    "ServiceRequest",
    "Timeouts",
    # Errors.
    "ResponseGoneError",
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
