"""HTTP server for callers and operators, built on waitress."""

from trefoilpitch.web._disconnect import DisconnectSignal
from trefoilpitch.web._in_flight import InFlight, count_in_flight
from trefoilpitch.web._problems import (
    PROBLEM_TYPE,
    Outcome,
    Problem,
    encode_problem,
)
from trefoilpitch.web._server import HttpServer, ServerLimits, open_server
from trefoilpitch.web._wsgi import (
    JSON_TYPE,
    Body,
    Handler,
    Header,
    Request,
    Response,
    WsgiApp,
    create_wsgi_app,
    problem_response,
)

__all__ = [
    "JSON_TYPE",
    "PROBLEM_TYPE",
    "Body",
    "DisconnectSignal",
    "Handler",
    "Header",
    "HttpServer",
    "InFlight",
    "Outcome",
    "Problem",
    "Request",
    "Response",
    "ServerLimits",
    "WsgiApp",
    "count_in_flight",
    "create_wsgi_app",
    "encode_problem",
    "open_server",
    "problem_response",
]
