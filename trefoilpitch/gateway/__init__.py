"""The HTTP request path and the daemon that runs it on one event loop."""

from trefoilpitch.gateway._exceptions import (
    BadRequestError,
    CallerDisconnectedError,
    ExchangeError,
    GatewayError,
)
from trefoilpitch.gateway._health import LoadReport
from trefoilpitch.gateway._http_client import (
    Headers,
    HttpConnection,
    ResponseHead,
    connect,
)
from trefoilpitch.gateway._http_server import (
    Handler,
    HttpRequest,
    HttpServer,
    Responder,
    ServerState,
)
from trefoilpitch.gateway._log import JsonLineHandler, log_event
from trefoilpitch.gateway._messages import (
    CallerRequest,
    PrefixPart,
    RequestCodec,
    UpstreamAttempt,
    UpstreamResponse,
)
from trefoilpitch.gateway._node import AuxiliaryHandlers, Node
from trefoilpitch.gateway._node_settings import ListenAddress, NodeSettings

__all__ = [
    "Node",
    "NodeSettings",
    "ListenAddress",
    "AuxiliaryHandlers",
    "RequestCodec",
    "CallerRequest",
    "PrefixPart",
    "UpstreamAttempt",
    "UpstreamResponse",
    "LoadReport",
    "Handler",
    "HttpRequest",
    "Responder",
    "HttpServer",
    "ServerState",
    "HttpConnection",
    "ResponseHead",
    "Headers",
    "connect",
    "JsonLineHandler",
    "log_event",
    "GatewayError",
    "ExchangeError",
    "BadRequestError",
    "CallerDisconnectedError",
]
