"""Client of engines with an OpenAI-compatible HTTP API."""

from __future__ import annotations

import urllib.parse
from types import TracebackType
from typing import Self

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.bundle import VersionRef
from trefoilpitch.upstreams._cancellation import Cancellation
from trefoilpitch.upstreams._connection_pool import ConnectionPool
from trefoilpitch.upstreams._exceptions import (
    ErrorReplyError,
    IncompleteReplyError,
    MismatchedReplyError,
    ResponseGoneError,
    ResumeError,
    UpstreamError,
)
from trefoilpitch.upstreams._exchange import Exchange
from trefoilpitch.upstreams._http_request import HttpRequest
from trefoilpitch.upstreams._orders import (
    decode_order_response,
    encode_order,
    to_order_error,
)
from trefoilpitch.upstreams._reports import (
    LoadReportClient,
    fetch_cache_events,
)
from trefoilpitch.upstreams._response_events import ResponseDecoder
from trefoilpitch.upstreams._response_stream import (
    HttpResponseStream,
    ResponseStream,
)
from trefoilpitch.upstreams._responses import (
    INCARNATION_HEADER,
    REQUEST_ID_HEADER,
    classify_error,
    send_and_read,
)
from trefoilpitch.upstreams._stats import ClientStats
from trefoilpitch.upstreams._types import (
    CacheEvents,
    CompletionRequest,
    LoadReport,
    Order,
    OrderResponse,
)

_VERSION_HEADER = "Model-Version"
_PRIORITY_HEADER = "Priority"
_AFFINITY_HEADER = "Session-Affinity"
_COMPLETIONS_PATH = "/v1/chat/completions"
_ORDERS_PATH = "/v1/orders"
_MAX_ERROR_BYTES = 64 << 10
_OK = 200
_NOT_FOUND = 404


class HttpEngineClient:
    """Implements ``EngineClient`` over the OpenAI chat completions API.

    Args:
        pool: Connections for completions.
        control: Connections for cache events and orders, which thus never
            wait for completions.
        reports: Fetches load reports.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        control: ConnectionPool,
        reports: LoadReportClient,
    ) -> None:
        self._pool = pool
        self._control = control
        self._reports = reports

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
        self._reports.close()

    @property
    def stats(self) -> ClientStats:
        """Counts of completions; load reports and orders are not counted."""
        return self._pool.stats

    def start(
        self,
        request: CompletionRequest,
        cancellation: Cancellation | None = None,
    ) -> Result[ResponseStream, UpstreamError]:
        """Starts a completion."""
        http_request = HttpRequest(
            method="POST",
            path=_COMPLETIONS_PATH,
            headers=_request_headers(request),
            body=_encode(request),
            deadline_ms=request.deadline_ms,
        )
        return self._open(
            http_request,
            request.request_id,
            str(request.version),
            next_index=0,
            cancellation=cancellation,
        )

    def resume(
        self,
        request_id: str,
        version: VersionRef,
        *,
        after_index: int,
        deadline_ms: int,
        cancellation: Cancellation | None = None,
    ) -> Result[ResponseStream, UpstreamError]:
        """Resumes a response that the engine still holds."""
        quoted = urllib.parse.quote(request_id, safe="")
        headers = {
            REQUEST_ID_HEADER: request_id,
            "Accept": "text/event-stream",
        }
        if after_index >= 0:
            headers["Last-Event-ID"] = str(after_index)
        http_request = HttpRequest(
            method="GET",
            path=f"{_COMPLETIONS_PATH}/{quoted}",
            headers=headers,
            body=None,
            deadline_ms=deadline_ms,
        )
        opened = self._open(
            http_request,
            request_id,
            str(version),
            next_index=after_index + 1,
            cancellation=cancellation,
        )
        return opened.alt(_to_resume_error)

    def send_order(
        self, order: Order, *, deadline_ms: int
    ) -> Result[OrderResponse, UpstreamError]:
        """Sends an order to the engine."""
        response = send_and_read(
            self._control,
            HttpRequest(
                method="POST",
                path=_ORDERS_PATH,
                headers={
                    REQUEST_ID_HEADER: order.request_id,
                    "Content-Type": "application/json",
                },
                body=encode_order(order),
                deadline_ms=deadline_ms,
            ),
            order.request_id,
            _MAX_ERROR_BYTES,
        )
        upstream = self._control.upstream
        return response.alt(to_order_error).bind(
            lambda complete: decode_order_response(upstream, complete.body)
        )

    def load_report(
        self, *, deadline_ms: int
    ) -> Result[LoadReport, UpstreamError]:
        """Fetches the engine's current load report."""
        return self._reports.fetch(deadline_ms)

    def cache_events(
        self, *, after: int, deadline_ms: int
    ) -> Result[CacheEvents, UpstreamError]:
        """Fetches the cache events after a position in the event log."""
        return fetch_cache_events(self._control, after, deadline_ms)

    def _open(
        self,
        http_request: HttpRequest,
        request_id: str,
        version: str,
        *,
        next_index: int,
        cancellation: Cancellation | None = None,
    ) -> Result[ResponseStream, UpstreamError]:
        sent = self._pool.send(http_request, cancellation)
        if isinstance(sent, Failure):
            return Failure(sent.failure())
        exchange = sent.unwrap()
        upstream = self._pool.upstream
        failure = _check_response(exchange, upstream, request_id, version)
        if failure is not None:
            exchange.close()
            self._pool.outcomes.record_failure(failure)
            return Failure(failure)
        decoder = ResponseDecoder(
            upstream=upstream,
            request_id=request_id,
            version=version,
            next_index=next_index,
        )
        outcomes = self._pool.outcomes
        return Success(
            HttpResponseStream(exchange, decoder, upstream, outcomes)
        )


def _request_headers(request: CompletionRequest) -> dict[str, str]:
    headers = {
        REQUEST_ID_HEADER: request.request_id,
        _PRIORITY_HEADER: request.priority.value,
        "Content-Type": "application/json",
        "Accept": "text/event-stream",
    }
    if request.affinity:
        headers[_AFFINITY_HEADER] = request.affinity
    if request.upstream_incarnation:
        headers[INCARNATION_HEADER] = request.upstream_incarnation
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


def _check_response(
    exchange: Exchange, upstream: str, request_id: str, version: str
) -> UpstreamError | None:
    if exchange.status != _OK:
        return classify_error(exchange, upstream, request_id, _MAX_ERROR_BYTES)
    echoed_id = exchange.headers.get(REQUEST_ID_HEADER)
    if echoed_id != request_id:
        detail = f"received the response to request {echoed_id!r}"
        return MismatchedReplyError(upstream, detail)
    echoed_version = exchange.headers.get(_VERSION_HEADER, version)
    if echoed_version != version:
        detail = f"received a response of version {echoed_version!r}"
        return MismatchedReplyError(upstream, detail)
    media_type = exchange.headers.get("Content-Type", "")
    if not media_type.startswith("text/event-stream"):
        detail = f"received content type {media_type!r} instead of a stream"
        return IncompleteReplyError(upstream, detail)
    return None


def _to_resume_error(error: UpstreamError) -> UpstreamError:
    if isinstance(error, ErrorReplyError) and error.status == _NOT_FOUND:
        return ResponseGoneError(error)
    return ResumeError(error)
