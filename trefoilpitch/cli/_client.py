"""HTTP clients of the daemons, with failover between addresses."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from typing import Protocol

import msgspec
import urllib3
from returns.result import Failure, Result, Success

_CONNECT_TIMEOUT_MS = 2_000
_MS_PER_S = 1_000
_OK = 200
_SERVER_ERROR = 500
_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProblemResponse:
    """A problem document received from a daemon."""

    # The HTTP status.
    status: int
    # Name of the kind of problem; empty if the response has no document.
    code: str = ""
    # What happened, as one line of text.
    title: str = ""
    # What the operator can do about it.
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestError:
    """A request that got no successful response from any address."""

    # What happened at each attempted address, in order.
    attempts: tuple[str, ...]
    # The problem of the last response; None if there was no response.
    problem: ProblemResponse | None = None
    # Whether some daemon may have executed the posted request.
    may_have_run: bool = False


class DaemonClient(Protocol):
    """Sends requests to the first daemon that responds."""

    def get(self, path: str) -> Result[bytes, RequestError]:
        """Returns the body of a successful response."""

    def post(self, path: str, body: bytes) -> Result[bytes, RequestError]:
        """Posts a body; the request must be idempotent."""


class Transport(Protocol):
    """Sends one request to one address."""

    def __call__(
        self, method: str, url: str, body: bytes | None
    ) -> Result[bytes, RequestError]:
        """Returns the body of a successful response."""


class FailoverClient:
    """Tries each address in turn until one gives a final response.

    A change carries its change id, so retrying it at a second address after
    the response of the first was lost does not apply it twice.

    Args:
        urls: Base URLs, in order of preference.
        transport: Sends each request.
    """

    def __init__(self, urls: Sequence[str], transport: Transport) -> None:
        self._urls = urls
        self._transport = transport

    def get(self, path: str) -> Result[bytes, RequestError]:
        """Returns the body of a successful response."""
        return self._send("GET", path, None)

    def post(self, path: str, body: bytes) -> Result[bytes, RequestError]:
        """Posts a body; the request must be idempotent."""
        return self._send("POST", path, body)

    def _send(
        self, method: str, path: str, body: bytes | None
    ) -> Result[bytes, RequestError]:
        error = RequestError(attempts=())
        for url in self._urls:
            sent = self._transport(method, url + path, body)
            if isinstance(sent, Success):
                return sent
            error = _merge_errors(error, sent.failure())
            if _is_final_error(sent.failure()):
                break
        return Failure(error)


class HttpTransport:
    """Sends requests by HTTP.

    Args:
        token: The bearer token; empty for none.
        timeout_ms: Read timeout, and upper limit of the connect timeout.
    """

    def __init__(self, token: str, timeout_ms: int) -> None:
        self._headers = {"Content-Type": "application/json"}
        if token:
            self._headers["Authorization"] = f"Bearer {token}"
        connect_ms = min(_CONNECT_TIMEOUT_MS, timeout_ms)
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=connect_ms / _MS_PER_S, read=timeout_ms / _MS_PER_S
            ),
        )

    def __call__(
        self, method: str, url: str, body: bytes | None
    ) -> Result[bytes, RequestError]:
        """Returns the body of a successful response."""
        try:
            response = self._pool.request(
                method, url, body=body, headers=self._headers, redirect=False
            )
        except urllib3.exceptions.HTTPError as error:
            attempt = f"{url}: {_describe_error(error)}"
            may_have_run = body is not None and not _is_unsent(error)
            return Failure(
                RequestError(attempts=(attempt,), may_have_run=may_have_run)
            )
        if response.status == _OK:
            return Success(response.data)
        return Failure(
            decode_error(url, response.status, response.data, body is not None)
        )


def http_daemon_client(
    urls: Sequence[str], token: str, timeout_ms: int
) -> DaemonClient:
    """Creates a client of the daemons at the given base URLs."""
    return FailoverClient(urls, HttpTransport(token, timeout_ms))


def decode_error(
    url: str, status: int, document: bytes, is_post: bool
) -> RequestError:
    """Decodes an unsuccessful response.

    Args:
        url: The URL of the request.
        status: The HTTP status of the response.
        document: The body of the response.
        is_post: Whether the request was a POST with a body.
    """
    problem = _read_problem(status, document)
    return RequestError(
        attempts=(f"{url}: {problem.status} {problem.title}",),
        problem=problem,
        may_have_run=is_post and _leaves_outcome_open(problem),
    )


def _merge_errors(earlier: RequestError, latest: RequestError) -> RequestError:
    return RequestError(
        attempts=(*earlier.attempts, *latest.attempts),
        problem=latest.problem or earlier.problem,
        may_have_run=earlier.may_have_run or latest.may_have_run,
    )


def _is_final_error(error: RequestError) -> bool:
    """Returns whether another address would respond in the same way."""
    if error.problem is None:
        return False
    return error.problem.status < _SERVER_ERROR


def _leaves_outcome_open(problem: ProblemResponse) -> bool:
    """Returns whether a change may have been executed despite a problem.

    A 503 with a problem code comes from a daemon that has changed nothing. A
    503 without one comes from a proxy in between, which may have forwarded
    the change. Any other 5xx response leaves the outcome open.
    """
    if problem.status < _SERVER_ERROR:
        return False
    return problem.status != _UNAVAILABLE or not problem.code


def _is_unsent(error: urllib3.exceptions.HTTPError) -> bool:
    return isinstance(
        error,
        urllib3.exceptions.NewConnectionError
        | urllib3.exceptions.ConnectTimeoutError,
    )


def _describe_error(error: urllib3.exceptions.HTTPError) -> str:
    for kind, words in _ERROR_DESCRIPTIONS.items():
        if isinstance(error, kind):
            return words
    return f"broken connection ({type(error).__name__})"


# Ordered from specific to general, since the first match counts: urllib3
# derives NameResolutionError from NewConnectionError, and that from
# ConnectTimeoutError.
_ERROR_DESCRIPTIONS: dict[type[urllib3.exceptions.HTTPError], str] = {
    urllib3.exceptions.NameResolutionError: "host name not resolved",
    urllib3.exceptions.NewConnectionError: "connection failed",
    urllib3.exceptions.ConnectTimeoutError: "connect timeout",
    urllib3.exceptions.ReadTimeoutError: "read timeout",
}


def _read_problem(status: int, body: bytes) -> ProblemResponse:
    try:
        problem = msgspec.json.decode(body, type=ProblemResponse)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return ProblemResponse(
            status=status, title="not a trefoilpitch response"
        )
    return dataclasses.replace(problem, status=status)
