"""HTTP towards daemons, over several addresses of the same fleet."""

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
class ProblemReply:
    """A refusal or a failure as a daemon describes it."""

    # The HTTP status.
    status: int
    # Short name of the kind of problem.
    code: str = ""
    # What happened.
    title: str = ""
    # What can be done about it.
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestError:
    """A request that got no useful reply from any address."""

    # What happened at each address that was tried, in order.
    attempts: tuple[str, ...]
    # The problem that the last reply described; None without a reply.
    problem: ProblemReply | None = None
    # Whether some address may have acted on the body that was posted.
    may_have_run: bool = False


class DaemonClient(Protocol):
    """Sends requests to whichever daemon answers."""

    def get(self, path: str) -> Result[bytes, RequestError]:
        """Returns the body of a successful reply."""

    def post(self, path: str, body: bytes) -> Result[bytes, RequestError]:
        """Sends a body that may be sent twice without harm."""


class Exchange(Protocol):
    """Sends one request to one address."""

    def __call__(
        self, method: str, url: str, body: bytes | None
    ) -> Result[bytes, RequestError]:
        """Returns the body of a successful reply."""


class FailoverClient:
    """Tries each address in turn until one gives a final reply.

    A change carries its change id, so that sending it to a second address
    after the reply of the first was lost changes nothing twice.

    Args:
        urls: The addresses, in the order in which to try them.
        exchange: Sends each request.
    """

    def __init__(self, urls: Sequence[str], exchange: Exchange) -> None:
        self._urls = urls
        self._exchange = exchange

    def get(self, path: str) -> Result[bytes, RequestError]:
        """Returns the body of a successful reply."""
        return self._send("GET", path, None)

    def post(self, path: str, body: bytes) -> Result[bytes, RequestError]:
        """Sends a body that may be sent twice without harm."""
        return self._send("POST", path, body)

    def _send(
        self, method: str, path: str, body: bytes | None
    ) -> Result[bytes, RequestError]:
        error = RequestError(attempts=())
        for url in self._urls:
            sent = self._exchange(method, url + path, body)
            if isinstance(sent, Success):
                return sent
            error = _combine(error, sent.failure())
            if _is_final(sent.failure()):
                break
        return Failure(error)


class HttpExchange:
    """Sends requests by HTTP.

    Args:
        token: The bearer token; empty for none.
        timeout_ms: Time for one request.
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
        """Returns the body of a successful reply."""
        try:
            reply = self._pool.request(
                method, url, body=body, headers=self._headers, redirect=False
            )
        except urllib3.exceptions.HTTPError as error:
            attempt = f"{url}: {_describe(error)}"
            may_have_run = body is not None and not _is_unsent(error)
            return Failure(
                RequestError(attempts=(attempt,), may_have_run=may_have_run)
            )
        if reply.status == _OK:
            return Success(reply.data)
        return Failure(
            read_refusal(url, reply.status, reply.data, body is not None)
        )


def http_daemon_client(
    urls: Sequence[str], token: str, timeout_ms: int
) -> DaemonClient:
    """Creates a client of the daemons at some addresses."""
    return FailoverClient(urls, HttpExchange(token, timeout_ms))


def read_refusal(
    url: str, status: int, document: bytes, is_post: bool
) -> RequestError:
    """Returns what a reply other than a success says.

    Args:
        url: Where the request was sent.
        status: The HTTP status of the reply.
        document: The body of the reply.
        is_post: Whether the request had a body.
    """
    problem = _read_problem(status, document)
    return RequestError(
        attempts=(f"{url}: {problem.status} {problem.title}",),
        problem=problem,
        may_have_run=is_post and _is_doubtful(problem),
    )


def _combine(earlier: RequestError, latest: RequestError) -> RequestError:
    return RequestError(
        attempts=(*earlier.attempts, *latest.attempts),
        problem=latest.problem or earlier.problem,
        may_have_run=earlier.may_have_run or latest.may_have_run,
    )


def _is_final(error: RequestError) -> bool:
    """Returns whether another address would say the same."""
    if error.problem is None:
        return False
    return error.problem.status < _SERVER_ERROR


def _is_doubtful(problem: ProblemReply) -> bool:
    """Returns whether a reply leaves open what became of a change.

    A daemon that says it is unavailable has changed nothing; something
    between here and there that says so may have passed the change on.
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


def _describe(error: urllib3.exceptions.HTTPError) -> str:
    for kind, words in _WORDS.items():
        if isinstance(error, kind):
            return words
    return f"broken connection ({type(error).__name__})"


# The first that fits counts: a refused connection is a kind of timeout too.
_WORDS: dict[type[urllib3.exceptions.HTTPError], str] = {
    urllib3.exceptions.NameResolutionError: "the name is not known",
    urllib3.exceptions.NewConnectionError: "nothing listens there",
    urllib3.exceptions.ConnectTimeoutError: "no connection in time",
    urllib3.exceptions.ReadTimeoutError: "no reply in time",
}


def _read_problem(status: int, body: bytes) -> ProblemReply:
    try:
        problem = msgspec.json.decode(body, type=ProblemReply)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return ProblemReply(status=status, title="not a trefoilpitch reply")
    return dataclasses.replace(problem, status=status)
