"""One request on its way: tries, answer, and the log of both."""

from __future__ import annotations

import asyncio

from trefoilpitch.fleet import OperationKind, Route, UpstreamEntry
from trefoilpitch.gateway._admission import Admitted
from trefoilpitch.gateway._dispatcher import NoUpstream
from trefoilpitch.gateway._events import EventSplitter, EventTooLargeError
from trefoilpitch.gateway._exceptions import ExchangeError
from trefoilpitch.gateway._flow_services import FlowServices
from trefoilpitch.gateway._http_client import HttpConnection, connect
from trefoilpitch.gateway._http_server import Responder
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._messages import (
    CallerRequest,
    UpstreamAnswer,
    UpstreamCall,
)
from trefoilpitch.gateway._model_tiers import AnswerSize, BegunAnswer
from trefoilpitch.gateway._refusals import RETRY_SOON_MS
from trefoilpitch.gateway._tries import (
    Tries,
    answer_timeout_ms,
    connect_timeout_ms,
    gap_timeout_ms,
    may_try_again,
)
from trefoilpitch.metrics import Label
from trefoilpitch.retries import Execution, FailureKind, WindowedRetryBudget

# Largest plain answer that is kept to be checked as a whole.
_MAX_PLAIN_BYTES = 8 * 1024 * 1024
# A request may wait for a place for this share of its objective.
_WAIT_SHARE = 0.125
_WAIT_STEP_MS = 20
_MS_PER_S = 1_000
# A try needs this much time to make sense.
_MIN_TRY_MS = 10
_OK = 200
_REDIRECTION = 300
_SERVER_ERROR = 500
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


class _Replaced(Exception):  # noqa: N818 - not an error
    """Another model's answer is wanted; nothing has been sent on."""

    def __init__(self, tier: int) -> None:
        super().__init__()
        self.tier = tier


class RequestRun:
    """One request on its way.

    Args:
        services: What the requests of the daemon share.
        request: The request.
        admitted: Its route and workspace.
        responder: Sends the answer.
    """

    def __init__(
        self,
        services: FlowServices,
        request: CallerRequest,
        admitted: Admitted,
        responder: Responder,
    ) -> None:
        self._services = services
        self._request = request
        self._admitted = admitted
        self._responder = responder
        self._tries = Tries()
        self._sends = 0
        self._trail: list[str] = []
        self._tried: list[str] = []
        self._tier: int | None = None
        self._first_confidence: int | None = None
        self._last_event_id: int | None = None
        self._last_answer: tuple[UpstreamAnswer, bytes] | None = None
        arrived_ms = request.http.arrived_ms
        timeout_ms = admitted.route.timeout_ms
        self._caller_deadline_ms = arrived_ms + (
            timeout_ms if request.wait_ms is None else request.wait_ms
        )
        self._answer_by_ms = min(
            self._caller_deadline_ms, arrived_ms + timeout_ms
        )
        if admitted.route.model_tiers:
            self._tier = services.models.first_tier()

    @property
    def _route(self) -> Route:
        return self._admitted.route

    @property
    def _model(self) -> str | None:
        if self._tier is None:
            return None
        return self._route.model_tiers[self._tier]

    @property
    def _work(self) -> str:
        """Names what takes equally long: model and size, or the route."""
        model = self._model or self._request.model
        if model is None:
            return self._route.name
        return _work(model, self._request)

    async def serve(self) -> None:
        """Tries until the request is answered."""
        service = self._services.dispatcher.pick_service(self._route)
        budget = self._services.budget(service)
        budget.record_first_attempt()
        outcome = "cancelled"
        try:
            outcome = await self._try_upstreams(service, budget)
        finally:
            self._log_end(service, outcome)

    async def _try_upstreams(
        self, service: str, budget: WindowedRetryBudget
    ) -> str:
        while True:
            entry = await self._find_upstream(service)
            if isinstance(entry, NoUpstream):
                self._trail.append(entry.reason)
                return await self._give_up()
            failure = await self._try_at(entry, budget)
            if failure is None:
                return "delivered"
            affordable = self._sends == 0 or budget.affords()
            if not may_try_again(
                self._route, self._tries, affordable=affordable
            ):
                return await self._give_up()

    async def _find_upstream(self, service: str) -> UpstreamEntry | NoUpstream:
        services = self._services
        wait_until_ms = services.clock.now_ms() + int(
            _WAIT_SHARE * self._route.target_latency_ms
        )
        while True:
            now_ms = services.clock.now_ms()
            if self._remaining_ms(now_ms) < _MIN_TRY_MS:
                return NoUpstream(reason="no time left", may_pass=False)
            found = services.dispatcher.choose(
                self._request,
                service,
                model=self._model,
                excluded=self._tried,
            )
            if not isinstance(found, NoUpstream):
                return found
            if not found.may_pass or now_ms >= wait_until_ms:
                return found
            await asyncio.sleep(_WAIT_STEP_MS / _MS_PER_S)

    def _remaining_ms(self, now_ms: int) -> int:
        if self._responder.started:
            return self._caller_deadline_ms - now_ms
        return self._answer_by_ms - now_ms

    async def _try_at(
        self, entry: UpstreamEntry, budget: WindowedRetryBudget
    ) -> FailureKind | None:
        """Runs one try; returns how it failed, None if all is delivered."""
        health = self._services.dispatcher.health(entry.upstream_id)
        now_ms = self._services.clock.now_ms()
        self._tried.append(entry.upstream_id)
        health.in_flight += 1
        try:
            with await self._open(entry, now_ms) as connection:
                self._pay(budget)
                await self._exchange(connection, entry, budget)
        except _Replaced as replaced:
            self._tries = self._tries.replace_answer()
            self._tier = replaced.tier
            self._tried.clear()
            return FailureKind.RESPONSE_TRUNCATED
        except ExchangeError as error:
            self._note_failure(entry, error)
            return error.kind
        finally:
            health.in_flight -= 1
        return None

    async def _open(self, entry: UpstreamEntry, now_ms: int) -> HttpConnection:
        return await connect(
            entry.host,
            entry.port,
            connect_timeout_ms(self._remaining_ms(now_ms)),
        )

    def _pay(self, budget: WindowedRetryBudget) -> None:
        # Other requests may have used the budget while this one connected.
        if self._sends > 0 and not budget.spend():
            raise ExchangeError(FailureKind.NOT_SENT, "retry budget spent")
        self._sends += 1

    async def _exchange(
        self,
        connection: HttpConnection,
        entry: UpstreamEntry,
        budget: WindowedRetryBudget,
    ) -> None:
        started_ms = self._services.clock.now_ms()
        self._send(connection, entry, started_ms)
        timeout_ms = answer_timeout_ms(
            self._route,
            self._tries,
            self._remaining_ms(started_ms),
            self._services.pace.usual_ms(self._work, default_ms=0.0),
            affordable=budget.affords(),
        )
        head = await connection.receive_head(timeout_ms)
        answer = self._services.codec.decode_answer(self._request, head)
        self._check(entry, answer)
        if head.status != _OK or self._route.kind is not OperationKind.STREAM:
            await self._take_plain(connection, entry, answer, started_ms)
        else:
            self._consider_tier(entry, answer, started_ms, budget)
            await self._take_stream(
                connection, entry, answer, started_ms, budget
            )

    def _send(
        self, connection: HttpConnection, entry: UpstreamEntry, now_ms: int
    ) -> None:
        remaining_ms = self._remaining_ms(now_ms)
        if self._route.kind is OperationKind.STREAM:
            remaining_ms = self._caller_deadline_ms - now_ms
        call = UpstreamCall(
            upstream=entry,
            remaining_ms=max(1, remaining_ms),
            workspace=self._admitted.workspace,
            model=self._model,
            priority=self._admitted.priority,
            last_event_id=self._last_event_id,
        )
        connection.send(
            self._request.http.method,
            self._request.http.target,
            self._services.codec.encode_call(self._request, call),
            self._request.http.body,
        )

    def _check(self, entry: UpstreamEntry, answer: UpstreamAnswer) -> None:
        now_ms = self._services.clock.now_ms()
        health = self._services.dispatcher.health(entry.upstream_id)
        if not answer.matches:
            raise ExchangeError(
                FailureKind.MALFORMED_RESPONSE, "an answer to another request"
            )
        if answer.load is not None:
            health.record_report(answer.load, now_ms)
        if answer.not_run or answer.wrong_instance:
            raise ExchangeError(
                FailureKind.REFUSED_NOT_RUN, f"status {answer.head.status}"
            )
        succeeded = _OK <= answer.head.status < _REDIRECTION
        if succeeded and not (answer.sealed and answer.plain):
            raise ExchangeError(
                FailureKind.MALFORMED_RESPONSE, "not the upstream's own answer"
            )
        if self._responder.started and answer.head.status != _OK:
            raise ExchangeError(
                FailureKind.SERVER_ERROR,
                f"status {answer.head.status} for the rest of a stream",
            )

    def _consider_tier(
        self,
        entry: UpstreamEntry,
        answer: UpstreamAnswer,
        started_ms: int,
        budget: WindowedRetryBudget,
    ) -> None:
        if self._tier is None or self._responder.started:
            return
        models = self._services.models
        largest = len(self._route.model_tiers) - 1
        if self._tier == largest and self._tries.replaced:
            first = self._first_confidence
            if first is not None and answer.confidence is not None:
                models.record_largest(first, answer.confidence)
            return
        if self._tries.runs + 1 >= self._route.max_attempts:
            return
        if not budget.affords():
            return
        tier = models.next_tier(
            BegunAnswer(
                tier=self._tier,
                confidence=answer.confidence,
                time_left=self._in_time_at(largest),
                pressure=self._services.dispatcher.pressure(entry.service),
            ),
            self._size,
            self._tier_costs(entry.service),
        )
        if tier is not None:
            elapsed_ms = self._services.clock.now_ms() - started_ms
            self._trail.append(
                f"{entry.upstream_id} {self._model} {elapsed_ms} ms"
                f" load {answer.load and answer.load.running}"
                f" unsure {answer.confidence}"
            )
            self._first_confidence = answer.confidence
            raise _Replaced(tier)

    def _in_time_at(self, tier: int) -> bool:
        request = self._request
        usual_ms = self._services.pace.usual_ms(
            _work(self._route.model_tiers[tier], request), default_ms=0.0
        )
        due_ms = request.http.arrived_ms + self._route.target_latency_ms
        return self._services.clock.now_ms() + usual_ms <= due_ms

    def _tier_costs(self, service: str) -> list[float]:
        configuration = self._services.view.configuration
        known = configuration.services.get(service) if configuration else None
        costs = dict(known.model_costs) if known else {}
        return [costs.get(model, 0.0) for model in self._route.model_tiers]

    @property
    def _size(self) -> AnswerSize:
        request = self._request
        expected = request.expected_output_tokens or request.max_output_tokens
        return AnswerSize(
            prompt_tokens=request.prompt_tokens, output_tokens=expected
        )

    async def _take_plain(
        self,
        connection: HttpConnection,
        entry: UpstreamEntry,
        answer: UpstreamAnswer,
        started_ms: int,
    ) -> None:
        now_ms = self._services.clock.now_ms()
        body = await connection.receive_body(
            self._remaining_ms(now_ms), _MAX_PLAIN_BYTES
        )
        failed = answer.head.status >= _SERVER_ERROR
        if failed:
            self._services.dispatcher.record_evidence(entry, bad=True)
            if answer.sealed and answer.plain:
                self._last_answer = (answer, body)
            raise ExchangeError(
                FailureKind.SERVER_ERROR, f"status {answer.head.status}"
            )
        self._note_success(entry, answer, started_ms)
        await self._deliver(answer, body)

    async def _deliver(self, answer: UpstreamAnswer, body: bytes) -> None:
        headers = self._services.codec.encode_answer(answer)
        await self._responder.answer(answer.head.status, headers, body)

    async def _take_stream(
        self,
        connection: HttpConnection,
        entry: UpstreamEntry,
        answer: UpstreamAnswer,
        started_ms: int,
        budget: WindowedRetryBudget,
    ) -> None:
        splitter = EventSplitter()
        first = True
        while True:
            data = await connection.receive_data(self._gap_ms(budget))
            if data is None:
                break
            try:
                events = splitter.feed(data)
            except EventTooLargeError as error:
                raise ExchangeError(
                    FailureKind.MALFORMED_RESPONSE, "an event is too large"
                ) from error
            if events and first:
                first = False
                self._note_success(entry, answer, started_ms)
            for event in events:
                await self._forward(answer, event.data, event.event_id)
        if splitter.pending or first:
            raise ExchangeError(
                FailureKind.RESPONSE_TRUNCATED, "ends inside an event"
            )
        self._responder.finish()

    async def _forward(
        self, answer: UpstreamAnswer, data: bytes, event_id: int | None
    ) -> None:
        last = self._last_event_id
        if event_id is not None and last is not None and event_id != last + 1:
            raise ExchangeError(
                FailureKind.MALFORMED_RESPONSE,
                f"event {event_id} after {last}",
            )
        if not self._responder.started:
            headers = self._services.codec.encode_answer(answer)
            await self._responder.start(answer.head.status, headers)
        await self._responder.write(data)
        if event_id is not None:
            self._last_event_id = event_id

    def _gap_ms(self, budget: WindowedRetryBudget) -> float:
        can_resume = (
            self._route.repeatable
            and self._tries.runs + 1 < self._route.max_attempts
            and budget.affords()
        )
        return gap_timeout_ms(self._route, can_resume=can_resume)

    def _note_success(
        self, entry: UpstreamEntry, answer: UpstreamAnswer, started_ms: int
    ) -> None:
        services = self._services
        now_ms = services.clock.now_ms()
        latency_ms = now_ms - started_ms
        slow = services.pace.is_slow(self._work, latency_ms)
        pace = services.pace.ratio(self._work, latency_ms)
        health = services.dispatcher.health(entry.upstream_id)
        health.record_success(pace, now_ms)
        load = services.dispatcher.load(entry.upstream_id)
        self._trail.append(
            f"{entry.upstream_id} {self._model or '-'} {latency_ms} ms"
            f" load {load} confidence {answer.confidence}"
        )
        services.dispatcher.record_evidence(entry, bad=slow)
        services.metrics.observe_ms("upstream_first_answer", latency_ms)

    def _note_failure(self, entry: UpstreamEntry, error: ExchangeError) -> None:
        services = self._services
        now_ms = services.clock.now_ms()
        self._tries = self._tries.failed(error.kind)
        self._trail.append(f"{entry.upstream_id} {error.kind.value}")
        health = services.dispatcher.health(entry.upstream_id)
        if error.kind not in (
            FailureKind.REFUSED_NOT_RUN,
            FailureKind.NOT_SENT,
        ):
            health.record_failure(
                now_ms,
                unreachable=error.kind
                in (FailureKind.CONNECT_REFUSED, FailureKind.CONNECT_TIMEOUT),
            )
        services.metrics.count(
            "failed_tries", Label(name="kind", value=error.kind.value)
        )
        log_event(
            "try_failed",
            id=self._request.request_id,
            upstream=entry.upstream_id,
            domain=entry.failure_domain,
            kind=error.kind.value,
            detail=error.detail,
            event_id=self._last_event_id,
            failures_in_row=health.failures_in_row,
        )

    async def fail(self) -> None:
        """Ends a request whose handling broke off; promises nothing."""
        if self._responder.started:
            self._responder.abort()
            return
        headers = self._services.codec.encode_refusal(
            self._request.request_id, None
        )
        await self._responder.answer(_BAD_GATEWAY, headers, b"")

    async def _give_up(self) -> str:
        """Sends the final answer of a request that no try has answered."""
        if self._responder.started:
            self._responder.abort()
            return "broken_off"
        if self._last_answer is not None:
            await self._deliver(*self._last_answer)
            return "failure_delivered"
        status, retry_after_ms = self._final_status()
        headers = self._services.codec.encode_refusal(
            self._request.request_id, retry_after_ms
        )
        await self._responder.answer(status, headers, b"")
        return f"gave_up_{status}"

    def _final_status(self) -> tuple[int, int | None]:
        if self._tries.execution is Execution.NOT_RUN:
            return _UNAVAILABLE, RETRY_SOON_MS
        if self._remaining_ms(self._services.clock.now_ms()) < _MIN_TRY_MS:
            return _GATEWAY_TIMEOUT, None
        return _BAD_GATEWAY, None

    def _log_end(self, service: str, outcome: str) -> None:
        services = self._services
        elapsed_ms = services.clock.now_ms() - self._request.http.arrived_ms
        services.metrics.count("requests", Label(name="outcome", value=outcome))
        services.metrics.observe_ms("request", elapsed_ms)
        log_event(
            "request",
            id=self._request.request_id,
            route=self._route.name,
            service=service,
            workspace=self._admitted.workspace,
            configuration=self._admitted.configuration_version,
            session=self._request.session,
            model=self._model,
            execution=self._tries.execution.value,
            trail=self._trail,
            last_event_id=self._last_event_id,
            elapsed_ms=elapsed_ms,
            deadline_ms=self._caller_deadline_ms
            - self._request.http.arrived_ms,
            outcome=outcome,
        )


def _work(model: str, request: CallerRequest) -> str:
    # Classes of size double from one to the next.
    return f"{model}/{request.prompt_tokens.bit_length()}"
