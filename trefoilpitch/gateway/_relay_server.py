"""Relays requests of other daemons to upstreams that they cannot reach."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import FleetView, UpstreamEntry
from trefoilpitch.gateway._crash_evidence import AttemptProgress
from trefoilpitch.gateway._cut_attempts import CutAttempts
from trefoilpitch.gateway._dispatcher import Dispatcher
from trefoilpitch.gateway._exceptions import BadRequestError, ExchangeError
from trefoilpitch.gateway._http_client import HttpConnection, ResponseHead
from trefoilpitch.gateway._http_server import HttpRequest, Responder
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._messages import CallerRequest, RequestCodec
from trefoilpitch.gateway._relay_messages import (
    PROBE_TARGET,
    RelayOrder,
    decode_order,
    failure_headers,
    forwarded_headers,
    probe_headers,
    without_relay_headers,
)
from trefoilpitch.gateway._request_traits import traits_with_fingerprint
from trefoilpitch.gateway._upstream_links import Reachability, UpstreamLinks
from trefoilpitch.metrics import Label, Metrics
from trefoilpitch.retries import FailureKind

# Relayed requests at the same time; the origin refuses what finds no room.
MAX_RELAYED = 128
# The origin still has time to ask another daemon after that.
_CONNECT_TIMEOUT_MS = 150.0
_OK = 200
_BAD_GATEWAY = 502
_CONTENT_LENGTH = b"content-length"


class RelayServer:
    """Sends requests of peers to upstreams and forwards the responses.

    An origin that closes its connection ends the request at the upstream. Of an
    upstream that ends under a request this daemon may be the only one that can
    tell, so that it collects the evidence itself.

    Args:
        view: Local copy of the shared fleet state.
        dispatcher: Knows which upstreams may get requests.
        links: Connects to upstreams.
        codec: Decodes what upstreams announce in responses.
        cut_attempts: Examines upstreams whose responses are cut off.
        clock: Provides monotonic time.
        metrics: Counts the relayed requests.
        accepts: Returns whether this daemon takes requests.
    """

    def __init__(
        self,
        view: FleetView,
        dispatcher: Dispatcher,
        links: UpstreamLinks,
        codec: RequestCodec,
        cut_attempts: CutAttempts,
        *,
        clock: Clock,
        metrics: Metrics,
        accepts: Callable[[], bool],
    ) -> None:
        self._view = view
        self._dispatcher = dispatcher
        self._links = links
        self._codec = codec
        self._cut_attempts = cut_attempts
        self._clock = clock
        self._metrics = metrics
        self._accepts = accepts
        self._active = 0

    @property
    def active(self) -> int:
        """Number of relayed requests in progress."""
        return self._active

    @property
    def room(self) -> int:
        """Number of further requests that peers may send now."""
        lost = self._links.lost
        isolated = self._links.all_doubted or (
            bool(lost) and len(lost) >= len(self._view.upstreams)
        )
        if isolated or not self._accepts():
            return 0
        return max(0, MAX_RELAYED - self._active)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handles a peer's request; see `trefoilpitch.gateway.Handler`."""
        try:
            order = decode_order(request)
            if request.target == PROBE_TARGET:
                await self._answer_probe(order, responder)
                return
            relayed = self._codec.decode_request(request)
        except BadRequestError as error:
            log_event("malformed_relay_order", reason=error.detail)
            await responder.respond(error.status, [], b"")
            return
        self._active += 1
        outcome = "cancelled"
        try:
            outcome = await self._relay(relayed, order, responder)
        finally:
            self._active -= 1
            self._metrics.count("relayed", Label(name="outcome", value=outcome))
            log_event(
                "relayed",
                id=relayed.request_id,
                origin=order.origin,
                upstream=order.upstream_id,
                elapsed_ms=self._clock.now_ms() - request.arrived_ms,
                outcome=outcome,
            )

    async def _answer_probe(
        self, order: RelayOrder, responder: Responder
    ) -> None:
        result = Reachability.UNKNOWN
        cached = self._view.upstreams.get(order.upstream_id)
        if (
            cached is not None
            and cached.entry.started_wall_ms == order.started_wall_ms
        ):
            result = await self._links.probe(cached.entry)
        await responder.respond(_OK, probe_headers(result), b"")

    async def _relay(
        self, request: CallerRequest, order: RelayOrder, responder: Responder
    ) -> str:
        try:
            entry = self._accepted(order)
            with (
                await self._connect(entry, order) as connection,
                self._watched(entry, request, order) as progress,
            ):
                connection.send(
                    request.http.method,
                    request.http.target,
                    without_relay_headers(request.http.headers),
                    request.http.body,
                )
                head = await connection.receive_head(
                    self._left_ms(request, order)
                )
                progress.responding = True
                await self._forward(
                    request,
                    order,
                    connection,
                    head,
                    responder,
                    progress=progress,
                )
        except ExchangeError as error:
            if responder.started:
                responder.abort()
            else:
                await responder.respond(
                    _BAD_GATEWAY, failure_headers(error), b""
                )
            return error.kind.value
        return "forwarded"

    @contextlib.contextmanager
    def _watched(
        self, entry: UpstreamEntry, request: CallerRequest, order: RelayOrder
    ) -> Iterator[AttemptProgress]:
        """Examines the upstream of a relayed request that is cut off."""
        progress = AttemptProgress()
        if order.fingerprint is None:
            yield progress
            return
        traits = traits_with_fingerprint(request, order.fingerprint)
        try:
            yield progress
        except ExchangeError as error:
            self._cut_attempts.record_failure(
                entry, traits, error.kind, progress
            )
            raise
        except BaseException:
            # The origin has closed its connection.
            self._cut_attempts.record_abandoned(entry, traits, progress)
            raise

    def _accepted(self, order: RelayOrder) -> UpstreamEntry:
        """Returns the upstream of an order that this daemon carries out.

        Raises:
            ExchangeError: If it does not.
        """
        if not self._accepts() or self._active > MAX_RELAYED:
            raise ExchangeError(FailureKind.NOT_SENT, "no room")
        # Not asked again after connecting: a daemon that begins to leave
        # finishes what it has accepted.
        return self._permitted(order)

    async def _connect(
        self, entry: UpstreamEntry, order: RelayOrder
    ) -> HttpConnection:
        if self._links.is_lost(entry.upstream_id):
            raise ExchangeError(
                FailureKind.CONNECT_REFUSED, "the link is lost here as well"
            )
        try:
            connection = await self._links.connect(entry, _CONNECT_TIMEOUT_MS)
        except ExchangeError as error:
            if error.kind is FailureKind.CONNECT_REFUSED:
                self._cut_attempts.record_refused(entry)
            raise
        try:
            self._permitted(order)
        except ExchangeError:
            connection.close()
            raise
        return connection

    def _permitted(self, order: RelayOrder) -> UpstreamEntry:
        """Returns the upstream of an order.

        Raises:
            ExchangeError: If it must not get the request from this daemon.
        """
        cached = self._view.upstreams.get(order.upstream_id)
        if cached is None:
            raise ExchangeError(FailureKind.NOT_SENT, "unknown upstream")
        entry = cached.entry
        if entry.started_wall_ms != order.started_wall_ms:
            raise ExchangeError(FailureKind.NOT_SENT, "another start")
        if not self._dispatcher.may_send(entry):
            raise ExchangeError(FailureKind.NOT_SENT, "out of service")
        return entry

    def _left_ms(self, request: CallerRequest, order: RelayOrder) -> int:
        elapsed_ms = self._clock.now_ms() - request.http.arrived_ms
        return max(1, order.timeout_ms - elapsed_ms)

    async def _forward(
        self,
        request: CallerRequest,
        order: RelayOrder,
        connection: HttpConnection,
        head: ResponseHead,
        responder: Responder,
        *,
        progress: AttemptProgress,
    ) -> None:
        response = self._codec.decode_response(request, head)
        cached = self._view.upstreams.get(order.upstream_id)
        if cached is not None and response.matches:
            self._dispatcher.record_announcements(cached.entry, response)
        headers = [
            *forwarded_headers(
                self._codec.encode_response(response),
                delimited=head.is_delimited,
            )
        ]
        length = head.header(_CONTENT_LENGTH)
        if length is not None:
            headers.append((_CONTENT_LENGTH, length.encode("latin-1")))
        await responder.start(head.status, headers)
        while True:
            part = await connection.receive_data(self._left_ms(request, order))
            if part is None:
                break
            if progress.first_event_ms is None:
                progress.first_event_ms = self._clock.now_ms()
            await responder.write(part)
        responder.finish()
