"""The request path on one event loop, and the daemon that owns it."""

from trefoilpitch.gateway._exceptions import (
    BadRequestError,
    CallerGoneError,
    ExchangeError,
    GatewayError,
)
from trefoilpitch.gateway._health import LoadReport
from trefoilpitch.gateway._http_client import (
    AnswerHead,
    Headers,
    HttpConnection,
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
    UpstreamAnswer,
    UpstreamCall,
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
    "UpstreamCall",
    "UpstreamAnswer",
    "LoadReport",
    "Handler",
    "HttpRequest",
    "Responder",
    "HttpServer",
    "ServerState",
    "HttpConnection",
    "AnswerHead",
    "Headers",
    "connect",
    "JsonLineHandler",
    "log_event",
    "GatewayError",
    "ExchangeError",
    "BadRequestError",
    "CallerGoneError",
]
