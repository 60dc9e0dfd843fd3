"""Runs one request: attempts, retries, escalation and the response."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import Collection, Iterator
from typing import TypeVar

from trefoilpitch.fleet import (
    Member,
    OperationKind,
    Route,
    UpstreamEntry,
)
from trefoilpitch.gateway._admission import Admitted
from trefoilpitch.gateway._attempt_credit import AttemptCredit
from trefoilpitch.gateway._attempts import (
    Attempts,
    connect_timeout_ms,
    response_timeout_ms,
    stop_reason,
)
from trefoilpitch.gateway._dispatcher import NoUpstream
from trefoilpitch.gateway._exceptions import ExchangeError
from trefoilpitch.gateway._handover import (
    HANDOVER_MS,
    HandOver,
    SentAttempt,
)
from trefoilpitch.gateway._http_client import (
    HttpConnection,
    ResponseHead,
    connect,
)
from trefoilpitch.gateway._http_server import Responder
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._messages import (
    CallerRequest,
    UpstreamAttempt,
    UpstreamResponse,
)
from trefoilpitch.gateway._refusals import final_status
from trefoilpitch.gateway._relay_messages import (
    decode_relayed_head,
    relay_headers,
)
from trefoilpitch.gateway._request_deadline import RequestDeadline
from trefoilpitch.gateway._request_dependencies import RequestDependencies
from trefoilpitch.gateway._request_traits import request_traits, trait_name
from trefoilpitch.gateway._request_work import RequestWork
from trefoilpitch.gateway._response_speed import ResponseSpeed
from trefoilpitch.gateway._rollouts import ResponseQuality
from trefoilpitch.gateway._stream_forwarding import StreamForwarder
from trefoilpitch.gateway._tier_choice import TierChoice
from trefoilpitch.gateway._upstream_search import UpstreamSearch
from trefoilpitch.gateway._work_tracking import RequestCost
from trefoilpitch.metrics import Label
from trefoilpitch.retries import Execution, FailureKind, classify_failure

# Maximum size of a plain response; it is buffered until it is complete.
_MAX_PLAIN_BYTES = 8 * 1024 * 1024
# Minimum remaining time for an attempt beside a stalled one, which is kept for
# a while.
_MIN_OFFER_MS = 2 * HANDOVER_MS
_MS_PER_S = 1_000
_IN_QUARANTINE = "in quarantine"
_OK = 200
_REDIRECTION = 300
_SERVER_ERROR = 500
_BAD_GATEWAY = 502


_T = TypeVar("_T")

# Failures that show that the upstream is gone or cannot be reached.
_UNREACHABLE = frozenset(
    {
        FailureKind.CONNECT_REFUSED,
        FailureKind.CONNECT_TIMEOUT,
        FailureKind.MISDIRECTED,
    }
)

# Failures of the link, which other daemons may not share.
_LINK_FAILURES = frozenset(
    {FailureKind.CONNECT_REFUSED, FailureKind.CONNECT_TIMEOUT}
)


class _Escalated(Exception):  # noqa: N818 - not an error
    """An upstream has accepted the request for a larger model.

    Only raised before any part of the response has been sent to the caller.
    """


class RequestRun:
    """Runs one admitted request to completion.

    Args:
        deps: Collaborators that all requests of the daemon share.
        request: The request.
        admitted: Its route and workspace.
        responder: Sends the response.
    """

    def __init__(
        self,
        deps: RequestDependencies,
        request: CallerRequest,
        admitted: Admitted,
        responder: Responder,
    ) -> None:
        self._deps = deps
        self._request = request
        self._admitted = admitted
        self._responder = responder
        self._traits = request_traits(request, admitted.workspace)
        self._attempts = Attempts()
        self._attempt_log: list[str] = []
        self._attempted_ids: list[str] = []
        # Upstreams that may have run the request.
        self._run_ids: set[str] = set()
        # Whether a stalled upstream went on after another was asked.
        self._withdrawn = False
        # Names of peers that could not relay it.
        self._failed_relays: set[str] = set()
        self._service = deps.dispatcher.pick_service(admitted.route)
        self._budget = deps.budget(self._service)
        # These parts do not refer to this object: a cycle would keep the body
        # in memory until the garbage collector runs.
        self._credit = AttemptCredit(self._budget)
        self._deadline = RequestDeadline(request, admitted.route, responder)
        self._tiers = TierChoice(deps, request, admitted.route)
        self._work = RequestWork(
            deps.dispatcher.work,
            deps.dispatcher.load,
            functools.partial(
                _identify_cost,
                deps,
                request,
                admitted,
                self._service,
                self._tiers,
            ),
            deps.clock,
            admitted.route.target_gap_ms,
        )
        self._search = UpstreamSearch(
            deps,
            request,
            admitted,
            self._service,
            self._tiers,
            attempted=self._attempted_ids,
            credit=self._credit,
        )
        self._hand_over = HandOver(deps, request.request_id, self)
        self._stream = StreamForwarder(
            deps,
            admitted.route,
            responder,
            self._hand_over,
            self._deadline,
        )
        self._task: asyncio.Task[None] | None = None
        # Whether its attempts were cancelled because the daemon exits.
        self._stopped = False
        self._last_error_response: tuple[UpstreamResponse, bytes] | None = None

    @property
    def _route(self) -> Route:
        return self._admitted.route

    async def serve(self) -> None:
        """Runs attempts until a response is sent, and logs the outcome."""
        self._budget.record_first_attempt()
        self._task = asyncio.current_task()
        outcome = "cancelled"
        try:
            outcome = await self._run_attempts()
        except asyncio.CancelledError:
            if not self._is_stopped():
                raise
            outcome = await self._send_stopped()
        finally:
            self._task = None
            self._hand_over.close()
            self._credit.release()
            self._log_completion(outcome)

    def stop(self) -> None:
        """Ends the request with a final response, unless one has begun."""
        if self._task is None or self._stopped or self._responder.started:
            return
        self._stopped = True
        self._task.cancel()

    def _is_stopped(self) -> bool:
        """Whether `stop` alone has cancelled the attempts."""
        if not self._stopped or self._task is None:
            return False
        return self._task.uncancel() == 0

    async def _send_stopped(self) -> str:
        self._attempt_log.append("the daemon exits")
        if self._run_ids:
            self._count_withdrawn()
        return await self._send_failure()

    async def _run_attempts(self) -> str:
        while True:
            successor = self._hand_over.successor
            refused_ms = self._deps.quarantine.refused_for_ms(self._traits)
            if successor is not None:
                entry = successor.entry
            elif refused_ms is not None:
                self._attempt_log.append(_IN_QUARANTINE)
                return await self._send_failure(refused_ms)
            else:
                found = await self._search.find(
                    self._attempts,
                    self._deadline.at_ms,
                    started=self._responder.started,
                )
                if isinstance(found, NoUpstream):
                    self._attempt_log.append(found.reason)
                    return await self._send_failure(found.available_in_ms)
                entry = found
            failure = await self._run_attempt(entry)
            if failure is None:
                return "delivered"
            if self._hand_over.successor is not None:
                continue
            reason = stop_reason(
                self._route,
                self._attempts,
                affordable=self._credit.affords(),
                started=self._responder.started,
            )
            if reason is not None:
                self._attempt_log.append(f"not retried: {reason.value}")
                return await self._send_failure()

    def release_credit(self) -> None:
        """Takes back the retry credit of an attempt that was not sent."""
        self._credit.release()

    def _remaining_ms(self, now_ms: int) -> int:
        return self._deadline.remaining_ms(now_ms)

    async def _run_attempt(self, entry: UpstreamEntry) -> FailureKind | None:
        """Runs one attempt.

        Returns:
            How it failed; None if the response was delivered completely. An
            escalation returns `RESPONSE_TRUNCATED` but is not recorded as a
            failure.
        """
        try:
            with self.counted(entry):
                await self._exchange(entry)
        except _Escalated:
            self._attempts = self._attempts.with_replaced_response()
            self._attempted_ids.clear()
            return FailureKind.RESPONSE_TRUNCATED
        except ExchangeError as error:
            self.record_failure(entry, error)
            return error.kind
        return None

    @contextlib.contextmanager
    def counted(self, entry: UpstreamEntry) -> Iterator[None]:
        """Counts an attempt as in flight at its upstream."""
        health = self._deps.dispatcher.health(entry.upstream_id)
        self._attempted_ids.append(entry.upstream_id)
        health.in_flight += 1
        started_ms = self._deps.clock.now_ms()
        try:
            with self._work.counted(entry):
                yield
            duration_ms = self._deps.clock.now_ms() - started_ms
            self._deps.waiter.record_completion(entry.service, duration_ms)
        finally:
            health.in_flight -= 1
            self._deps.waiter.offer_places(entry.service)

    async def begin(self, entry: UpstreamEntry) -> SentAttempt:
        """Connects to an upstream or a relay and sends it the request."""
        deps = self._deps
        relay = deps.relays.choose(
            entry,
            forced=FailureKind.CONNECT_TIMEOUT in self._attempts.failures,
            excluded=self._failed_relays,
        )
        connection = await self._connect(entry, relay)
        try:
            if not deps.dispatcher.may_send(entry):
                raise ExchangeError(
                    FailureKind.NOT_SENT,
                    "upstream taken out of service while connecting",
                )
            if not deps.quarantine.start_attempt(self._traits):
                raise ExchangeError(FailureKind.NOT_SENT, _IN_QUARANTINE)
            started_ms = deps.clock.now_ms()
            self._send(connection, entry, relay, started_ms)
        except BaseException:
            connection.close()
            raise
        attempt = SentAttempt(
            entry=entry,
            connection=connection,
            started_ms=started_ms,
            relay=relay,
            charged=self._credit.record_sent(),
        )
        self._run_ids.add(entry.upstream_id)
        return attempt

    async def _connect(
        self, entry: UpstreamEntry, relay: Member | None
    ) -> HttpConnection:
        """Connects to an upstream, or to the peer that relays the request."""
        deps = self._deps
        remaining_ms = self._remaining_ms(deps.clock.now_ms())
        if relay is None:
            timeout_ms = connect_timeout_ms(
                remaining_ms, relayable=deps.relays.is_available(entry)
            )
            return await deps.links.connect(entry, timeout_ms)
        timeout_ms = connect_timeout_ms(remaining_ms, relayable=True)
        try:
            return await connect(relay.peer_host, relay.peer_port, timeout_ms)
        except ExchangeError as error:
            deps.relays.avoid(relay, None)
            self._failed_relays.add(relay.name)
            raise ExchangeError(
                FailureKind.NOT_SENT, f"relay {relay.name}: {error}"
            ) from error

    @contextlib.contextmanager
    def watched(self, attempt: SentAttempt) -> Iterator[None]:
        """Examines the upstream of an attempt whose response is cut off."""
        try:
            yield
        except ExchangeError as error:
            self._deps.cut_attempts.record_failure(
                attempt.entry, self._traits, error.kind, attempt.progress
            )
            raise
        except BaseException:
            # The response is replaced, or the caller has left.
            self._record_abandoned(attempt)
            raise

    @contextlib.contextmanager
    def _relayed(self, attempt: SentAttempt) -> Iterator[None]:
        """Counts an attempt as in flight at its relay, if it has one."""
        if attempt.relay is None:
            yield
            return
        self._deps.relays.record_started(attempt.relay)
        try:
            yield
        finally:
            self._deps.relays.record_ended(attempt.relay)

    def _record_abandoned(self, attempt: SentAttempt) -> None:
        self._deps.cut_attempts.record_abandoned(
            attempt.entry, self._traits, attempt.progress
        )

    async def _exchange(self, entry: UpstreamEntry) -> None:
        attempt = self._hand_over.take_successor()
        if attempt is None:
            attempt = await self.begin(entry)
        with (
            attempt.connection as connection,
            self._relayed(attempt),
            self.watched(attempt),
            self._judged(attempt) as speed,
        ):
            response = attempt.response
            if response is None:
                response = await self._await_response(attempt)
            streamed = self._route.kind is OperationKind.STREAM
            if response.head.status != _OK or not streamed:
                await self._receive_plain(connection, attempt, response, speed)
            else:
                await self._maybe_escalate(attempt, response, speed)
                await self._stream.forward(
                    attempt,
                    response,
                    speed,
                    functools.partial(
                        self._record_success, attempt, response, speed
                    ),
                    functools.partial(self._work.events_arrived, entry),
                )
        self._work.completed(entry, response.head.status)
        self._deps.cut_attempts.record_complete(
            entry, self._traits, response.head
        )

    @contextlib.contextmanager
    def _judged(self, attempt: SentAttempt) -> Iterator[ResponseSpeed]:
        """Records the speed of a response as evidence on its version."""
        speed = ResponseSpeed(
            self._deps.expected_latencies,
            latency_key=self._tiers.latency_key,
            pace_key=self._tiers.pace_key,
            started_ms=attempt.started_ms,
            record=functools.partial(
                self._deps.dispatcher.record_evidence,
                attempt.entry,
                route=self._route.name,
            ),
            record_pace=functools.partial(
                self._deps.dispatcher.record_pace,
                attempt.entry,
                attempt.started_ms,
            ),
            load=functools.partial(
                self._deps.dispatcher.load, attempt.entry.upstream_id
            ),
        )
        timer: asyncio.TimerHandle | None = None
        if speed.due_ms is not None:
            wait_ms = speed.due_ms - self._deps.clock.now_ms()
            timer = asyncio.get_running_loop().call_later(
                max(0.0, wait_ms) / _MS_PER_S, speed.check_wait
            )
        try:
            yield speed
        except _Escalated:
            speed.completed()
            raise
        finally:
            if timer is not None:
                timer.cancel()
            speed.ended()
        speed.completed()

    async def _await_response(self, attempt: SentAttempt) -> UpstreamResponse:
        """Waits for the head of a response; a slow one may be superseded.

        Raises:
            ExchangeError: If another upstream has taken over, the deadline is
                reached, or the upstream did not respond properly.
        """
        remaining_ms = self._remaining_ms(self._deps.clock.now_ms())
        timeout_ms = response_timeout_ms(
            self._route,
            self._attempts,
            remaining_ms,
            self._expected_latency_ms(),
            affordable=self._credit.affords_retry(),
        )
        try:
            return await self.receive_response(attempt, timeout_ms)
        except ExchangeError as error:
            stalled = error.kind is FailureKind.RESPONSE_TIMEOUT
            if not stalled or timeout_ms >= remaining_ms:
                raise
        return await self._hand_over.keep(
            attempt,
            self.receive_response(attempt, remaining_ms - timeout_ms),
            timeout_ms,
        )

    async def receive_response(
        self, attempt: SentAttempt, timeout_ms: float
    ) -> UpstreamResponse:
        remaining_ms = self._remaining_ms(self._deps.clock.now_ms())
        head = await attempt.connection.receive_head(
            max(1, min(timeout_ms, remaining_ms))
        )
        if attempt.relay is not None:
            head = self._decode_relayed(attempt, attempt.relay, head)
        attempt.progress.responding = True
        response = self._deps.codec.decode_response(self._request, head)
        self._check_response(attempt.entry, response)
        return response

    def _decode_relayed(
        self, attempt: SentAttempt, relay: Member, head: ResponseHead
    ) -> ResponseHead:
        """Returns the head of the upstream's response.

        Raises:
            ExchangeError: If the relay reports a failure instead.
        """
        relays = self._deps.relays
        try:
            relayed = decode_relayed_head(head)
        except ExchangeError as error:
            detail = f"relay {relay.name}: {error}"
            failure = ExchangeError(error.kind, detail)
            if classify_failure(error.kind) is not Execution.NOT_RUN:
                raise failure from error
            refused = error.kind is FailureKind.NOT_SENT
            relays.avoid(relay, attempt.entry, refused=refused)
            self._failed_relays.add(relay.name)
            self._credit.record_not_sent(charged=attempt.charged)
            raise failure from error
        relays.record_response(attempt.entry)
        return relayed

    def _expected_latency_ms(self) -> float:
        return self._deps.expected_latencies.expected_ms(
            self._tiers.latency_key, default_ms=0.0
        )

    def _send(
        self,
        connection: HttpConnection,
        entry: UpstreamEntry,
        relay: Member | None,
        now_ms: int,
    ) -> None:
        remaining_ms = self._remaining_ms(now_ms)
        if self._route.kind is OperationKind.STREAM:
            remaining_ms = self._deadline.caller_ms - now_ms
        attempt = UpstreamAttempt(
            upstream=entry,
            remaining_ms=max(1, remaining_ms),
            workspace=self._admitted.workspace,
            model=self._tiers.model,
            priority=self._admitted.priority,
            last_event_id=self._stream.last_event_id,
        )
        headers = self._deps.codec.encode_attempt(self._request, attempt)
        if relay is not None:
            headers = relay_headers(
                headers,
                entry,
                origin=self._deps.own_name,
                timeout_ms=attempt.remaining_ms,
                fingerprint=self._traits.fingerprint,
            )
        connection.send(
            self._request.http.method,
            self._request.http.target,
            headers,
            self._request.http.body,
        )

    def _check_response(
        self, entry: UpstreamEntry, response: UpstreamResponse
    ) -> None:
        dispatcher = self._deps.dispatcher
        if not response.matches:
            raise ExchangeError(
                FailureKind.MALFORMED_RESPONSE,
                "response belongs to another request",
            )
        dispatcher.record_announcements(entry, response)
        if response.load is not None:
            dispatcher.record_load(entry, response.load)
        if response.wrong_instance:
            raise ExchangeError(
                FailureKind.MISDIRECTED, f"status {response.head.status}"
            )
        if response.not_run:
            dispatcher.record_rejection(entry)
            raise ExchangeError(
                FailureKind.REFUSED_NOT_RUN, f"status {response.head.status}"
            )
        succeeded = _OK <= response.head.status < _REDIRECTION
        if succeeded and not (response.sealed and response.unencoded):
            raise ExchangeError(
                FailureKind.MALFORMED_RESPONSE,
                "response without a seal, or with a content encoding",
            )
        if self._responder.started and response.head.status != _OK:
            raise ExchangeError(
                FailureKind.SERVER_ERROR,
                f"status {response.head.status} on resuming a stream",
            )

    async def _maybe_escalate(
        self,
        attempt: SentAttempt,
        response: UpstreamResponse,
        speed: ResponseSpeed,
    ) -> None:
        """Escalates to a larger model if that is worthwhile.

        The response is kept until an upstream has accepted the request for
        the larger model, and is forwarded if none does.

        Raises:
            _Escalated: If an upstream has accepted it.
        """
        if self._responder.started or not self._route.repeatable:
            return
        if self._attempts.replaced:
            self._tiers.record_escalated(response.confidence)
            return
        if self._attempts.runs + 1 >= self._route.max_attempts:
            return
        if not self._credit.affords_retry():
            return
        entry = attempt.entry
        tier = self._tiers.escalation(entry.service, response.confidence)
        if tier is None:
            return
        now_ms = self._deps.clock.now_ms()
        attempt.first_part_ms = now_ms
        speed.first_part_arrived(now_ms)
        summary = (
            f"{entry.upstream_id} {self._tiers.model}"
            f" {now_ms - attempt.started_ms} ms"
            f" of {self._expected_latency_ms():.0f}"
            f" load {response.load and response.load.running}"
        )
        self._tiers.escalate(tier, response.confidence)
        found = self._find_other()
        decision = f"kept: {found}"
        if isinstance(found, UpstreamEntry):
            decision = await self._hand_over.offer(found)
        if self._hand_over.successor is not None:
            self._attempt_log.append(
                f"{summary} replaced, confidence {response.confidence}"
            )
            raise _Escalated
        self._tiers.undo_escalation()
        self._attempt_log.append(f"{summary} escalation {decision}")

    async def _receive_plain(
        self,
        connection: HttpConnection,
        attempt: SentAttempt,
        response: UpstreamResponse,
        speed: ResponseSpeed,
    ) -> None:
        now_ms = self._deps.clock.now_ms()
        body = await connection.receive_body(
            self._remaining_ms(now_ms), _MAX_PLAIN_BYTES, self._responder.hold
        )
        failed = response.head.status >= _SERVER_ERROR
        if failed:
            if response.sealed and response.unencoded:
                self._last_error_response = (response, body)
            raise ExchangeError(
                FailureKind.SERVER_ERROR, f"status {response.head.status}"
            )
        self._record_success(attempt, response, speed)
        await self._deliver(response, body)

    async def _deliver(self, response: UpstreamResponse, body: bytes) -> None:
        headers = self._deps.codec.encode_response(response)
        await self._responder.respond(response.head.status, headers, body)

    def find_successor(self) -> UpstreamEntry | str:
        """Returns another upstream, or why there is none."""
        return self._find_other(unusable=self._run_ids)

    def _find_other(
        self, unusable: Collection[str] = ()
    ) -> UpstreamEntry | str:
        # Once an offer was in vain, an attempt is left for a real failure.
        spare = 1 if self._withdrawn else 0
        if self._attempts.runs + 1 + spare >= self._route.max_attempts:
            return "attempts used up"
        if self._remaining_ms(self._deps.clock.now_ms()) < _MIN_OFFER_MS:
            return "deadline is near"
        found = self._search.choose(unusable=unusable)
        return found.reason if isinstance(found, NoUpstream) else found

    def _record_success(
        self,
        attempt: SentAttempt,
        response: UpstreamResponse,
        speed: ResponseSpeed,
    ) -> None:
        deps = self._deps
        entry = attempt.entry
        now_ms = attempt.first_part_ms
        if now_ms is None:
            now_ms = deps.clock.now_ms()
        latency_ms = now_ms - attempt.started_ms
        expected_ms = self._expected_latency_ms()
        # The comparison comes before the expected latency is updated.
        speed.first_part_arrived(now_ms)
        latency_ratio = deps.expected_latencies.record(
            self._tiers.latency_key, latency_ms
        )
        health = deps.dispatcher.health(entry.upstream_id)
        health.record_success(latency_ratio, now_ms)
        self._work.responded(entry, attempt.started_ms)
        load = deps.dispatcher.load(entry.upstream_id)
        via = f" via {attempt.relay.name}" if attempt.relay else ""
        self._attempt_log.append(
            f"{entry.upstream_id}{via} {self._tiers.model or '-'}"
            f" {latency_ms} ms of {expected_ms:.0f} load {load}"
            f" confidence {response.confidence}"
        )
        deps.metrics.observe_ms("upstream_first_answer", latency_ms)

    def record_failure(
        self, entry: UpstreamEntry, error: ExchangeError
    ) -> None:
        deps = self._deps
        now_ms = deps.clock.now_ms()
        # A request without a response may itself be what ends its upstreams.
        leaving = self._responder.started and deps.dispatcher.is_leaving(entry)
        self._attempts = self._attempts.with_failure(
            error.kind, leaving=leaving
        )
        self._attempt_log.append(f"{entry.upstream_id} {error.kind.value}")
        health = deps.dispatcher.health(entry.upstream_id)
        if error.kind is FailureKind.CONNECT_REFUSED:
            deps.cut_attempts.record_refused(entry)
        if classify_failure(error.kind) is Execution.NOT_RUN:
            self._run_ids.discard(entry.upstream_id)
        if error.kind is FailureKind.SERVER_ERROR:
            deps.dispatcher.record_evidence(
                entry, ResponseQuality.FAILED, self._route.name
            )
        if not self._is_spared(entry, error.kind):
            health.record_failure(
                now_ms,
                unreachable=error.kind in _UNREACHABLE,
            )
        deps.metrics.count(
            "failed_tries", Label(name="kind", value=error.kind.value)
        )
        log_event(
            "attempt_failed",
            id=self._request.request_id,
            upstream=entry.upstream_id,
            domain=entry.failure_domain,
            kind=error.kind.value,
            detail=error.detail,
            event_id=self._stream.last_event_id,
            failures_in_row=health.consecutive_failures,
            ejected_ms=max(0, health.ejected_until_ms - now_ms),
        )

    def _is_spared(self, entry: UpstreamEntry, kind: FailureKind) -> bool:
        """Returns whether a failure says nothing about the upstream."""
        if kind in (FailureKind.REFUSED_NOT_RUN, FailureKind.NOT_SENT):
            return True
        relays = self._deps.relays
        return kind in _LINK_FAILURES and relays.is_available(entry)

    def record_stall(self, entry: UpstreamEntry) -> None:
        """Records that an upstream is silent for too long."""
        health = self._deps.dispatcher.health(entry.upstream_id)
        health.record_failure(self._deps.clock.now_ms(), unreachable=False)

    def record_withdrawn(self, attempt: SentAttempt) -> None:
        """Records an attempt that was abandoned and may have run."""
        self._record_abandoned(attempt)
        self._count_withdrawn()

    def _count_withdrawn(self) -> None:
        self._attempts = self._attempts.with_replaced_response()
        self._withdrawn = True

    async def fail(self) -> None:
        """Ends a request after an internal error.

        The response does not state whether the request has run.
        """
        if self._responder.started:
            self._responder.abort()
            return
        headers = self._deps.codec.encode_refusal(
            self._request.request_id, None
        )
        await self._responder.respond(_BAD_GATEWAY, headers, b"")

    async def _send_failure(self, available_in_ms: int | None = None) -> str:
        """Ends a request whose attempts are exhausted; returns the outcome.

        Args:
            available_in_ms: Time until an upstream may be available; None if
                unknown.
        """
        if self._responder.started:
            self._responder.abort()
            return "broken_off"
        if self._last_error_response is not None:
            await self._deliver(*self._last_error_response)
            return "failure_delivered"
        status, retry_after_ms = final_status(
            self._attempts.execution,
            self._remaining_ms(self._deps.clock.now_ms()),
            available_in_ms,
        )
        headers = self._deps.codec.encode_refusal(
            self._request.request_id, retry_after_ms
        )
        await self._responder.respond(status, headers, b"")
        return f"gave_up_{status}"

    def _log_completion(self, outcome: str) -> None:
        deps = self._deps
        elapsed_ms = deps.clock.now_ms() - self._request.http.arrived_ms
        deps.metrics.count("requests", Label(name="outcome", value=outcome))
        deps.metrics.observe_ms("request", elapsed_ms)
        log_event(
            "request",
            id=self._request.request_id,
            route=self._route.name,
            service=self._service,
            workspace=self._admitted.workspace,
            configuration=self._admitted.configuration_version,
            session=self._request.session,
            fingerprint=trait_name(self._traits.fingerprint),
            model=self._tiers.model,
            execution=self._attempts.execution.value,
            trail=self._attempt_log,
            last_event_id=self._stream.last_event_id,
            elapsed_ms=elapsed_ms,
            deadline_ms=self._deadline.caller_ms
            - self._request.http.arrived_ms,
            outcome=outcome,
        )


def _identify_cost(
    deps: RequestDependencies,
    request: CallerRequest,
    admitted: Admitted,
    service: str,
    tiers: TierChoice,
) -> RequestCost:
    """Returns what the cost of a request on its present model depends on."""
    return deps.dispatcher.work.identify(
        request, service, admitted.route.name, tiers.model
    )
