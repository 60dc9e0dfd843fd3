"""Requests, responses and their mapping to WSGI."""

from __future__ import annotations

import dataclasses
import http
import urllib.parse
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from trefoilpitch.web._disconnect import DisconnectSignal
from trefoilpitch.web._problems import (
    PROBLEM_TYPE,
    Problem,
    encode_problem,
)

JSON_TYPE = "application/json"
# WSGI environ key of the connection's disconnect signal.
DISCONNECT_KEY = "trefoilpitch.departure"
_BEARER = "bearer "


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Header:
    """One header field of a response."""

    name: str
    # A single line.
    value: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request whose body has been read."""

    # The HTTP method in upper case.
    method: str
    # The percent-decoded path, starting with a slash.
    path: str
    # Query parameters; the last value wins if one is repeated.
    query: Mapping[str, str]
    # Header values by lower-case name.
    headers: Mapping[str, str]
    # The complete body.
    body: bytes
    # Triggered when the caller disconnects.
    disconnect: DisconnectSignal = dataclasses.field(
        default_factory=DisconnectSignal, compare=False, repr=False
    )

    def header(self, name: str) -> str:
        """Returns a header's value, or the empty string if it is absent."""
        return self.headers.get(name.lower(), "")

    @property
    def bearer_token(self) -> str:
        """The token of the ``Authorization`` header, or the empty string."""
        value = self.header("authorization")
        if not value.lower().startswith(_BEARER):
            return ""
        return value[len(_BEARER) :].strip()


class Body(Protocol):
    """A streamed body, closed when it is sent or the caller disconnects."""

    def __iter__(self) -> Body:
        """Returns itself."""

    def __next__(self) -> bytes:
        """Returns the next chunk."""

    def close(self) -> None:
        """Releases the body's resources."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A response to a request."""

    status: int = 200
    # The media type of the body.
    content_type: str = JSON_TYPE
    # The complete body, or chunks that are sent as they are produced.
    body: bytes | Body = b""
    # Header fields besides the content type and length.
    headers: tuple[Header, ...] = ()


Handler = Callable[[Request], Response]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
WsgiApp = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


def problem_response(problem: Problem, *headers: Header) -> Response:
    """Returns a response with a problem document as its body."""
    fields = list(headers)
    if problem.retry_after_s is not None:
        seconds = str(problem.retry_after_s)
        fields.append(Header(name="Retry-After", value=seconds))
    if problem.request_id:
        fields.append(Header(name="Request-Id", value=problem.request_id))
    return Response(
        status=problem.status,
        content_type=PROBLEM_TYPE,
        body=encode_problem(problem),
        headers=tuple(fields),
    )


def create_wsgi_app(handler: Handler) -> WsgiApp:
    """Returns a WSGI application that calls a handler for each request."""

    def application(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        response = handler(_read_request(environ))
        fields = [("Content-Type", response.content_type)]
        fields += [(field.name, field.value) for field in response.headers]
        body = response.body
        if isinstance(body, bytes):
            fields.append(("Content-Length", str(len(body))))
        start_response(status_line(response.status), fields)
        return [body] if isinstance(body, bytes) else body

    return application


def _read_request(environ: dict[str, Any]) -> Request:
    query = urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))
    # WSGI passes the path's bytes as Latin-1, whatever their encoding is.
    raw_path = environ.get("PATH_INFO", "/").encode("latin-1")
    return Request(
        method=environ["REQUEST_METHOD"].upper(),
        path=raw_path.decode("utf-8", errors="replace"),
        query=dict(query),
        headers=_read_headers(environ),
        body=environ["wsgi.input"].read(),
        disconnect=environ.get(DISCONNECT_KEY) or DisconnectSignal(),
    )


def _read_headers(environ: dict[str, Any]) -> dict[str, str]:
    headers = {
        name[5:].replace("_", "-").lower(): str(value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    headers["content-type"] = environ.get("CONTENT_TYPE", "")
    return headers


def status_line(status: int) -> str:
    """Returns a status code with its standard reason phrase."""
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"{status} {phrase}"
