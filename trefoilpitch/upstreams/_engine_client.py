"""The client of one model engine."""

from __future__ import annotations

import urllib.parse
from types import TracebackType
from typing import Protocol, Self

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.bundle import VersionRef
from trefoilpitch.clock import Clock
from trefoilpitch.upstreams._answer_events import AnswerDecoder
from trefoilpitch.upstreams._answer_stream import AnswerStream, HttpAnswerStream
from trefoilpitch.upstreams._connections import (
    ConnectionPool,
    Exchange,
    HttpRequest,
)
from trefoilpitch.upstreams._deadlines import DeadlineWatch
from trefoilpitch.upstreams._exceptions import (
    AnswerGoneError,
    ErrorReplyError,
    IncompleteReplyError,
    MismatchedReplyError,
    UpstreamError,
)
from trefoilpitch.upstreams._nodes import (
    CacheEvents,
    CompletionRequest,
    LoadReport,
    Timeouts,
)
from trefoilpitch.upstreams._replies import (
    REQUEST_ID_HEADER,
    classify_error,
    read_whole,
)
from trefoilpitch.upstreams._reports import (
    decode_cache_events,
    decode_load_report,
)

VERSION_HEADER = "Model-Version"
PRIORITY_HEADER = "Priority"
AFFINITY_HEADER = "Session-Affinity"
_COMPLETIONS_PATH = "/v1/chat/completions"
_LOAD_PATH = "/v1/load"
_CACHE_EVENTS_PATH = "/v1/cache-events"
_MAX_ERROR_BYTES = 64 << 10
_MAX_REPORT_BYTES = 1 << 20
_OK = 200
_NOT_FOUND = 404


class EngineClient(Protocol):
    """Talks to one model engine; safe to use from many threads."""

    def __enter__(self) -> Self: ...

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None: ...

    def start(
        self, request: CompletionRequest
    ) -> Result[AnswerStream, UpstreamError]:
        """Starts an answer.

        Returns:
            The stream, which the caller must close, or why there is none.
        """

    def resume(
        self,
        request_id: str,
        version: VersionRef,
        *,
        after_index: int,
        deadline_ms: int,
    ) -> Result[AnswerStream, UpstreamError]:
        """Attaches again to an answer that the engine holds.

        Args:
            request_id: The request whose answer it is.
            version: The version that answers.
            after_index: The last chunk received; -1 if none was.
            deadline_ms: Monotonic time by which the answer must be whole.

        Returns:
            The stream of the remaining chunks, or ``AnswerGoneError`` if the
            engine does not hold the answer. No failure starts a new run.
        """

    def load_report(
        self, *, deadline_ms: int
    ) -> Result[LoadReport, UpstreamError]:
        """Fetches the engine's last load report."""

    def cache_events(
        self, *, after: int, deadline_ms: int
    ) -> Result[CacheEvents, UpstreamError]:
        """Fetches the cache events after a position."""


class _HttpEngineClient:
    """Speaks the OpenAI chat completions protocol."""

    def __init__(self, pool: ConnectionPool, control: ConnectionPool) -> None:
        self._pool = pool
        self._control = control

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._pool.close()
        self._control.close()

    def start(
        self, request: CompletionRequest
    ) -> Result[AnswerStream, UpstreamError]:
        """Starts an answer."""
        wire = HttpRequest(
            method="POST",
            path=_COMPLETIONS_PATH,
            headers=_request_headers(request),
            body=_encode(request),
            deadline_ms=request.deadline_ms,
        )
        version = str(request.version)
        return self._open(wire, request.request_id, version, next_index=0)

    def resume(
        self,
        request_id: str,
        version: VersionRef,
        *,
        after_index: int,
        deadline_ms: int,
    ) -> Result[AnswerStream, UpstreamError]:
        """Attaches again to an answer that the engine holds."""
        quoted = urllib.parse.quote(request_id, safe="")
        headers = {
            REQUEST_ID_HEADER: request_id,
            "Accept": "text/event-stream",
        }
        if after_index >= 0:
            headers["Last-Event-ID"] = str(after_index)
        wire = HttpRequest(
            method="GET",
            path=f"{_COMPLETIONS_PATH}/{quoted}",
            headers=headers,
            body=None,
            deadline_ms=deadline_ms,
        )
        opened = self._open(
            wire, request_id, str(version), next_index=after_index + 1
        )
        return opened.alt(_as_resume_error)

    def load_report(
        self, *, deadline_ms: int
    ) -> Result[LoadReport, UpstreamError]:
        """Fetches the engine's last load report."""
        upstream = self._control.upstream
        body = self._get(_LOAD_PATH, deadline_ms)
        return body.bind(lambda data: decode_load_report(upstream, data))

    def cache_events(
        self, *, after: int, deadline_ms: int
    ) -> Result[CacheEvents, UpstreamError]:
        """Fetches the cache events after a position."""
        upstream = self._control.upstream
        body = self._get(f"{_CACHE_EVENTS_PATH}?after={after}", deadline_ms)
        return body.bind(
            lambda data: decode_cache_events(upstream, after, data)
        )

    def _open(
        self, wire: HttpRequest, request_id: str, version: str, next_index: int
    ) -> Result[AnswerStream, UpstreamError]:
        sent = self._pool.send(wire)
        if isinstance(sent, Failure):
            return Failure(sent.failure())
        exchange = sent.unwrap()
        upstream = self._pool.upstream
        failure = _check_reply(exchange, upstream, request_id, version)
        if failure is not None:
            exchange.close()
            return Failure(failure)
        decoder = AnswerDecoder(
            upstream=upstream,
            request_id=request_id,
            version=version,
            next_index=next_index,
        )
        return Success(HttpAnswerStream(exchange, decoder, upstream))

    def _get(self, path: str, deadline_ms: int) -> Result[bytes, UpstreamError]:
        wire = HttpRequest(
            method="GET",
            path=path,
            headers={},
            body=None,
            deadline_ms=deadline_ms,
        )
        sent = self._control.send(wire)
        if isinstance(sent, Failure):
            return Failure(sent.failure())
        exchange = sent.unwrap()
        try:
            return _read_ok(exchange, self._control.upstream)
        finally:
            exchange.close()


def open_engine_client(
    *,
    upstream: str,
    address: str,
    clock: Clock,
    watch: DeadlineWatch,
    max_connections: int = 64,
    timeouts: Timeouts | None = None,
) -> EngineClient:
    """Makes a client of one engine; connects on first use.

    Args:
        upstream: The upstream's name.
        address: IP number and port.
        clock: Measures deadlines.
        watch: Expires exchanges; shared by many clients.
        max_connections: Most answers under way at once.
        timeouts: How long each phase of a request may take.

    Returns:
        The client, a context manager that closes idle connections.
    """

    def pool(connections: int) -> ConnectionPool:
        return ConnectionPool(
            upstream=upstream,
            address=address,
            max_connections=connections,
            timeouts=timeouts or Timeouts(),
            clock=clock,
            watch=watch,
        )

    return _HttpEngineClient(pool(max_connections), pool(2))


def _request_headers(request: CompletionRequest) -> dict[str, str]:
    headers = {
        REQUEST_ID_HEADER: request.request_id,
        PRIORITY_HEADER: request.priority.value,
        "Content-Type": "application/json",
        "Accept": "text/event-stream",
    }
    if request.affinity:
        headers[AFFINITY_HEADER] = request.affinity
    return headers


def _encode(request: CompletionRequest) -> bytes:
    messages = [
        {"role": message.role, "content": message.content}
        for message in request.messages
    ]
    return msgspec.json.encode(
        {
            "model": str(request.version),
            "messages": messages,
            "max_tokens": request.max_output_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
    )


def _check_reply(
    exchange: Exchange, upstream: str, request_id: str, version: str
) -> UpstreamError | None:
    if exchange.status != _OK:
        return classify_error(exchange, upstream, request_id, _MAX_ERROR_BYTES)
    answered_id = exchange.headers.get(REQUEST_ID_HEADER)
    if answered_id != request_id:
        detail = f"the answer to request {answered_id!r} arrived"
        return MismatchedReplyError(upstream, detail)
    answered_version = exchange.headers.get(VERSION_HEADER, version)
    if answered_version != version:
        detail = f"version {answered_version!r} answered"
        return MismatchedReplyError(upstream, detail)
    media_type = exchange.headers.get("Content-Type", "")
    if not media_type.startswith("text/event-stream"):
        detail = f"the reply is {media_type!r} in place of a stream"
        return IncompleteReplyError(upstream, detail)
    return None


def _as_resume_error(error: UpstreamError) -> UpstreamError:
    if isinstance(error, ErrorReplyError) and error.status == _NOT_FOUND:
        detail = "the engine does not hold the answer"
        return AnswerGoneError(error.upstream, detail)
    return error


def _read_ok(exchange: Exchange, upstream: str) -> Result[bytes, UpstreamError]:
    if exchange.status != _OK:
        status = exchange.status
        return Failure(
            ErrorReplyError(upstream, f"status {status}", status=status)
        )
    return read_whole(exchange, upstream, _MAX_REPORT_BYTES)
