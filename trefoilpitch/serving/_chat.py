"""Serves chat completion requests."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Protocol, TypeVar

from returns.result import Failure, Result, Success

from trefoilpitch.bundle import Task, VersionRef
from trefoilpitch.cascade import CascadePlan, Verdict
from trefoilpitch.cascade import Finish as StepFinish
from trefoilpitch.clock import Clock
from trefoilpitch.identity import ResumePoint, Session
from trefoilpitch.ledger import Bill, BillLine
from trefoilpitch.retries import Execution
from trefoilpitch.routing import RoutingTable, choose_versions
from trefoilpitch.serving._bills import BillSink, model_line
from trefoilpitch.serving._directory import Slot
from trefoilpitch.serving._dispatcher import (
    Dispatched,
    Dispatcher,
    DispatchRequest,
)
from trefoilpitch.serving._planning import CascadePlanner
from trefoilpitch.serving._prefixes import PrefixCaches
from trefoilpitch.serving._problems import (
    CALLER_GONE,
    caller_gone_problem,
    failure_problem,
    routing_problem,
)
from trefoilpitch.serving._runs import (
    CompletedRun,
    StreamingRun,
    run_to_completion,
    start_streaming,
)
from trefoilpitch.serving._types import (
    ChatEvent,
    ChatRequest,
    Completed,
    ConfigurationSource,
    ResponseInfo,
    Truncated,
    to_chat_event,
)
from trefoilpitch.upstreams import (
    Cancellation,
    CancelledError,
    Chunk,
    CompletionRequest,
    Finish,
    UpstreamError,
)
from trefoilpitch.web import Outcome, Problem

T = TypeVar("T")


def step_request_id(request_id: str, step: int) -> str:
    """Returns the request identifier that upstreams receive for a step.

    All attempts at a step share it.
    """
    return f"{request_id}:{step}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeliveredResponse:
    """A complete response that was delivered, as a sample to be rated."""

    request: ChatRequest
    plan: CascadePlan
    # Index of the plan's step whose response was delivered.
    step: int
    # The confidence that the first step's version reported, if any.
    first_signal: float | None
    # Text of the response.
    text: str


class OutcomeListener(Protocol):
    """Receives the outcomes of requests by model version."""

    def weight_factors(self, table: RoutingTable) -> Mapping[VersionRef, float]:
        """Returns factors, from 0 to 1, on the traffic weights of versions."""

    def record_result(
        self, table: RoutingTable, version: VersionRef, *, failed: bool
    ) -> None:
        """Records that a version completed a response or failed to."""

    def sample(self, delivered: DeliveredResponse) -> None:
        """Offers a complete response as a sample to be rated."""


class ChatResponse:
    """A response that is being delivered to the caller.

    Iterate over it once, and close it also after complete iteration.

    Args:
        info: The metadata that is known before the first chunk.
        events: Yields the chunks and then the end of the response.
        finish: Called once, with whether the response was complete.
    """

    def __init__(
        self,
        info: ResponseInfo,
        events: Iterator[ChatEvent],
        finish: Callable[[bool], None],
    ) -> None:
        self._info = info
        self._events = events
        self._finish = finish
        self._is_open = True

    @property
    def info(self) -> ResponseInfo:
        """The metadata that is known before the first chunk."""
        return self._info

    def __iter__(self) -> Iterator[ChatEvent]:
        for event in self._events:
            if isinstance(event, Completed):
                self._close_once(is_whole=True)
            yield event

    def close(self) -> None:
        """Ends the delivery; a response without its end counts as truncated."""
        self._close_once(is_whole=False)

    def _close_once(self, *, is_whole: bool) -> None:
        if self._is_open:
            self._is_open = False
            self._finish(is_whole)


class ChatHandler:
    """Plans, runs and bills chat completion requests.

    Args:
        configuration: The source of the newest known configuration.
        dispatcher: Sends the plan's steps to upstreams.
        planner: Plans cascades.
        bills: Receives the bills.
        clock: Used for deadlines and the times on bills.
        outcomes: Receives the outcomes of requests.
        prefixes: Tracks which engines have a conversation's prefix cached.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationSource,
        dispatcher: Dispatcher,
        planner: CascadePlanner,
        bills: BillSink,
        clock: Clock,
        outcomes: OutcomeListener,
        prefixes: PrefixCaches,
    ) -> None:
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._planner = planner
        self._bills = bills
        self._clock = clock
        self._outcomes = outcomes
        self._prefixes = prefixes

    def respond(
        self, request: ChatRequest, cancellation: Cancellation
    ) -> Result[ChatResponse, Problem]:
        """Runs a request until the first chunk of its response is available.

        Args:
            request: The request.
            cancellation: Cancels the request, also while it waits for a slot
                and after its response has begun.

        Returns:
            The response, which the caller must close, or why there is none.
        """
        table = self._configuration.table()
        task = table.tasks.get(request.task)
        if task is None:
            return Failure(_unknown_task(request))
        chosen = choose_versions(
            table,
            request.workspace.name,
            request.task,
            key=request.session.seed,
            pins=request.session.pins,
            weight_factors=self._weight_factors(table),
        )
        if not isinstance(chosen, Success):
            return Failure(
                routing_problem(chosen.failure(), request.request_id)
            )
        versions = chosen.unwrap()
        plan = self._planner.plan(table, request.workspace.name, task, versions)
        session = _with_pins(request.session, versions)
        run = _ChatRun(
            self, request, task, plan, session, cancellation=cancellation
        )
        return run.begin()

    def _weight_factors(
        self, table: RoutingTable
    ) -> Mapping[VersionRef, float]:
        """Returns the minimum of the factors by outcomes and by loaded engines.

        A version gets no more traffic than its breaker admits, nor than the
        engines that have loaded it can serve.
        """
        factors = dict(self._outcomes.weight_factors(table))
        for version, loaded in self._dispatcher.readiness_factors(
            table
        ).items():
            factors[version] = min(factors.get(version, 1.0), loaded)
        return factors


class _ChatRun:
    """The execution of one request, step by step of its cascade plan.

    All steps but the last run to completion before their response is accepted
    or rejected; the last step's response is streamed.
    """

    def __init__(
        self,
        handler: ChatHandler,
        request: ChatRequest,
        task: Task,
        plan: CascadePlan,
        session: Session,
        *,
        cancellation: Cancellation,
    ) -> None:
        self._handler = handler
        self._request = request
        self._task = task
        self._plan = plan
        self._session = session
        self._cancellation = cancellation
        self._deadline_ms = handler._clock.now_ms() + task.deadline_ms
        self._spent_lines: list[BillLine] = []
        self._first_signal: float | None = None
        # The upstream of the last attempt, and the chunks received from it.
        self._attempted_upstream = ""
        self._received_chunks: list[Chunk] = []

    def begin(self) -> Result[ChatResponse, Problem]:
        last = len(self._plan.steps) - 1
        for step in range(last):
            completed = self._run_to_completion(step)
            if not isinstance(completed, Success):
                return Failure(self._fail_step(step, completed.failure()))
            self._record_outcome(step, failed=False)
            dispatched = completed.unwrap()
            if self._is_accepted(step, dispatched):
                return Success(self._deliver_completed(step, dispatched))
            self._add_spent_line(step, dispatched)
        streaming = self._run_streaming(last)
        if not isinstance(streaming, Success):
            return Failure(self._fail_step(last, streaming.failure()))
        return Success(self._deliver_streaming(last, streaming.unwrap().value))

    def _run_to_completion(
        self, step: int
    ) -> Result[Dispatched[CompletedRun], Problem]:
        completion_request = self._completion_request(step)
        result = self._handler._dispatcher.run(
            self._dispatch_request(step),
            lambda slot: run_to_completion(
                slot,
                completion_request,
                self._cancellation,
                self._begin_attempt(slot),
            ),
        )
        self._record_prefix(result)
        if isinstance(result, Success):
            result.unwrap().slot.close()
        return result

    def _run_streaming(
        self, step: int
    ) -> Result[Dispatched[StreamingRun], Problem]:
        completion_request = self._completion_request(step)

        def start(slot: Slot) -> Result[StreamingRun, UpstreamError]:
            self._begin_attempt(slot)
            return start_streaming(slot, completion_request, self._cancellation)

        result = self._handler._dispatcher.run(
            self._dispatch_request(step), start
        )
        self._record_prefix(result)
        return result

    def _begin_attempt(self, slot: Slot) -> list[Chunk]:
        self._attempted_upstream = slot.upstream.name
        self._received_chunks = []
        return self._received_chunks

    def _record_prefix(self, result: Result[Dispatched[T], Problem]) -> None:
        if isinstance(result, Success):
            engine = result.unwrap().slot.upstream.name
            self._handler._prefixes.record_sent(engine, self._request.messages)

    def _is_accepted(
        self, step: int, dispatched: Dispatched[CompletedRun]
    ) -> bool:
        finish = dispatched.value.finish
        if step == 0:
            self._first_signal = finish.confidence
        line = self._bill_line(step, dispatched.slot.upstream.name, finish)
        judged = StepFinish(signal=finish.confidence, cost_nano=line.cost_nano)
        verdict = self._handler._planner.judge(self._plan, step, judged)
        return verdict is Verdict.ACCEPT

    def _add_spent_line(
        self, step: int, dispatched: Dispatched[CompletedRun]
    ) -> None:
        upstream = dispatched.slot.upstream.name
        line = self._bill_line(step, upstream, dispatched.value.finish)
        self._spent_lines.append(line)

    def _deliver_completed(
        self, step: int, dispatched: Dispatched[CompletedRun]
    ) -> ChatResponse:
        upstream = dispatched.slot.upstream.name
        completed = dispatched.value
        items: Iterator[Chunk | Finish] = iter(
            (*completed.chunks, completed.finish)
        )
        delivery = _Delivery(self, step, upstream, lambda: None, False)
        return self._chat_response(step, delivery, items)

    def _deliver_streaming(self, step: int, run: StreamingRun) -> ChatResponse:
        delivery = _Delivery(self, step, run.upstream, run.close, True)
        return self._chat_response(step, delivery, run.items())

    def _chat_response(
        self,
        step: int,
        delivery: _Delivery,
        items: Iterator[Chunk | Finish],
    ) -> ChatResponse:
        info = ResponseInfo(
            request_id=self._request.request_id,
            task=self._task.name,
            version=self._version(step),
            session=self._session,
            resume_point=self._resume_point(step, delivery.upstream),
        )
        return ChatResponse(info, delivery.events(items), delivery.finish)

    def _resume_point(self, step: int, upstream: str) -> ResumePoint:
        return ResumePoint(
            workspace=self._request.workspace.name,
            request_id=self._request.request_id,
            upstream=upstream,
            version=self._version(step),
            task=self._task.name,
            step=step,
            spent=tuple(self._spent_lines),
        )

    def _record_outcome(self, step: int, *, failed: bool) -> None:
        self._handler._outcomes.record_result(
            self._table(), self._version(step), failed=failed
        )

    def _fail_step(self, step: int, problem: Problem) -> Problem:
        """Bills or records a failed step and returns the problem to report.

        A request whose earlier steps ran is not reported as not run.
        """
        if problem.code == CALLER_GONE:
            self._bill_abandoned(step, problem)
        elif problem.outcome is not Outcome.NOT_RUN:
            self._record_outcome(step, failed=True)
        if not self._spent_lines or problem.outcome is not Outcome.NOT_RUN:
            return problem
        return dataclasses.replace(problem, outcome=Outcome.FAILED)

    def _bill_abandoned(self, step: int, problem: Problem) -> None:
        """Bills what has run of a request whose caller disconnected."""
        lines = list(self._spent_lines)
        if problem.outcome is not Outcome.NOT_RUN:
            tokens = sum(chunk.tokens for chunk in self._received_chunks)
            truncated = _truncated_finish(tokens)
            lines.append(
                self._bill_line(step, self._attempted_upstream, truncated)
            )
        if lines:
            self.bill(lines, is_whole=False)

    def bill(self, lines: Iterable[BillLine], *, is_whole: bool) -> None:
        """Records the request's bill."""
        self._handler._bills.record(
            Bill(
                request_id=self._request.request_id,
                workspace=self._request.workspace.name,
                subject=self._task.name,
                ended_ms=self._handler._clock.wall_ms(),
                lines=tuple(lines),
                is_whole=is_whole,
            )
        )

    def _dispatch_request(self, step: int) -> DispatchRequest:
        return DispatchRequest(
            request_id=self._request.request_id,
            workspace=self._request.workspace.name,
            target=self._version(step),
            task=self._task.name,
            idempotent=True,
            priority=self._task.priority,
            weight=self._request.workspace.weight,
            deadline_ms=self._deadline_ms,
            cancellation=self._cancellation,
            cache_holders=self._handler._prefixes.holders(
                self._request.messages
            ),
        )

    def _completion_request(self, step: int) -> CompletionRequest:
        limit = self._task.max_output_tokens
        requested = self._request.max_output_tokens
        return CompletionRequest(
            request_id=step_request_id(self._request.request_id, step),
            version=self._version(step),
            messages=self._request.messages,
            max_output_tokens=min(limit, requested or limit),
            deadline_ms=self._deadline_ms,
            priority=self._task.priority,
            affinity=self._session.seed,
        )

    def _version(self, step: int) -> VersionRef:
        return self._plan.steps[step].version

    def _bill_line(self, step: int, upstream: str, finish: Finish) -> BillLine:
        return model_line(
            self._table(),
            self._version(step),
            upstream,
            finish.prompt_tokens,
            finish.output_tokens,
        )

    def _table(self) -> RoutingTable:
        return self._handler._configuration.table()


class _Delivery:
    """Converts a run's items to events; bills and reports the response."""

    def __init__(
        self,
        run: _ChatRun,
        step: int,
        upstream: str,
        release: Callable[[], None],
        is_streaming: bool,
    ) -> None:
        self._is_streaming = is_streaming
        self._run = run
        self._step = step
        self._upstream = upstream
        self._release = release
        self._text: list[str] = []
        self._tokens = 0
        self._finish: Finish | None = None

    @property
    def upstream(self) -> str:
        """Name of the engine that generated the response."""
        return self._upstream

    def events(self, items: Iterator[Chunk | Finish]) -> Iterator[ChatEvent]:
        try:
            for item in items:
                yield self._event(item)
        except CancelledError:
            request_id = self._run._request.request_id
            yield Truncated(
                problem=caller_gone_problem(request_id, Outcome.FAILED)
            )
        except UpstreamError as error:
            request_id = self._run._request.request_id
            problem = failure_problem(error, Execution.RAN, request_id)
            self._run._record_outcome(self._step, failed=True)
            yield Truncated(problem=problem)

    def finish(self, is_whole: bool) -> None:
        self._release()
        run = self._run
        if not is_whole and not self._text:
            return
        finish = self._finish or _truncated_finish(self._tokens)
        line = run._bill_line(self._step, self._upstream, finish)
        run.bill((*run._spent_lines, line), is_whole=is_whole)
        if is_whole:
            self._report_delivered()

    def _event(self, item: Chunk | Finish) -> ChatEvent:
        if isinstance(item, Chunk):
            self._text.append(item.text)
            self._tokens += item.tokens
        else:
            self._finish = item
        return to_chat_event(item)

    def _report_delivered(self) -> None:
        run = self._run
        signal = run._first_signal
        if self._step == 0 and self._finish is not None:
            signal = self._finish.confidence
        if self._is_streaming:
            run._record_outcome(self._step, failed=False)
        run._handler._outcomes.sample(
            DeliveredResponse(
                request=run._request,
                plan=run._plan,
                step=self._step,
                first_signal=signal,
                text="".join(self._text),
            )
        )


def _truncated_finish(output_tokens: int) -> Finish:
    return Finish(
        finish_reason="cut",
        prompt_tokens=0,
        output_tokens=output_tokens,
        confidence=None,
    )


def _with_pins(session: Session, versions: tuple[VersionRef, ...]) -> Session:
    pinned = {pin.model for pin in session.pins}
    added = tuple(one for one in versions if one.model not in pinned)
    return dataclasses.replace(session, pins=session.pins + added)


def _unknown_task(request: ChatRequest) -> Problem:
    return Problem(
        status=404,
        code="unknown-task",
        title=f"there is no task {request.task}",
        detail="Send the name of one of your workspace's tasks as model.",
        outcome=Outcome.NOT_RUN,
        request_id=request.request_id,
    )
