"""Serves requests for an answer by a model."""

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


def attempt_id(request_id: str, step: int) -> str:
    """Returns the identifier that an upstream gets for one attempt."""
    return f"{request_id}:{step}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeliveredResponse:
    """A whole answer that reached its caller, for those who learn from it."""

    # The request.
    request: ChatRequest
    # The plan that it ran by.
    plan: CascadePlan
    # Index of the step whose answer was delivered.
    step: int
    # The first step's confidence signal.
    first_signal: float | None
    # The text.
    text: str


class OutcomeListener(Protocol):
    """Learns from what becomes of requests."""

    def weight_factors(self, table: RoutingTable) -> Mapping[VersionRef, float]:
        """Returns the share of its weight that each new version gets."""

    def record_result(
        self, table: RoutingTable, version: VersionRef, *, failed: bool
    ) -> None:
        """Takes in that a version gave an answer or failed to."""

    def sample(self, delivered: DeliveredResponse) -> None:
        """Takes in a whole answer."""


class ChatResponse:
    """An answer on its way to the caller.

    Iterate over it once; close it whether or not it came to its end.

    Args:
        info: What is known before the first part.
        events: Yields the parts and the end.
        finish: Called once with whether the answer was whole.
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
        """What is known of the answer before its first part."""
        return self._info

    def __iter__(self) -> Iterator[ChatEvent]:
        for event in self._events:
            if isinstance(event, Completed):
                self._end(is_whole=True)
            yield event

    def close(self) -> None:
        """Ends the answer, whole or not."""
        self._end(is_whole=False)

    def _end(self, *, is_whole: bool) -> None:
        if self._is_open:
            self._is_open = False
            self._finish(is_whole)


class ChatHandler:
    """Plans, runs and bills requests for an answer by a model.

    Args:
        configuration: The newest configuration.
        dispatcher: Finds upstreams.
        planner: Plans cascades.
        bills: Takes the bills.
        clock: Measures deadlines.
        outcomes: Learns from what becomes of requests.
        prefixes: Tells which engines hold a conversation's prefix.
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

    def answer(
        self, request: ChatRequest, cancellation: Cancellation
    ) -> Result[ChatResponse, Problem]:
        """Runs a request until its first part is there.

        Args:
            request: What is asked.
            cancellation: Ends the request, also while it waits for a place
                and after its answer has begun.

        Returns:
            The answer, which the caller closes, or the final refusal.
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
        """Takes the narrower of what breakers and engines allow."""
        factors = dict(self._outcomes.weight_factors(table))
        for version, loaded in self._dispatcher.loaded_factors(table).items():
            factors[version] = min(factors.get(version, 1.0), loaded)
        return factors


class _ChatRun:
    """One request on its way through the steps of its plan."""

    def __init__(
        self,
        flow: ChatHandler,
        request: ChatRequest,
        task: Task,
        plan: CascadePlan,
        session: Session,
        *,
        cancellation: Cancellation,
    ) -> None:
        self._flow = flow
        self._request = request
        self._task = task
        self._plan = plan
        self._session = session
        self._cancellation = cancellation
        self._deadline_ms = flow._clock.now_ms() + task.deadline_ms
        self._spent: list[BillLine] = []
        self._first_signal: float | None = None
        # The try that was started last, and what came of it so far.
        self._tried = ""
        self._received: list[Chunk] = []

    def begin(self) -> Result[ChatResponse, Problem]:
        last = len(self._plan.steps) - 1
        for step in range(last):
            whole = self._run_whole(step)
            if not isinstance(whole, Success):
                return Failure(self._spoiled(step, whole.failure()))
            self._note_outcome(step, failed=False)
            placed = whole.unwrap()
            if self._is_accepted(step, placed):
                return Success(self._deliver_whole(step, placed))
            self._spend(step, placed)
        live = self._run_live(last)
        if not isinstance(live, Success):
            return Failure(self._spoiled(last, live.failure()))
        return Success(self._deliver_live(last, live.unwrap().value))

    def _run_whole(
        self, step: int
    ) -> Result[Dispatched[CompletedRun], Problem]:
        completion = self._completion(step)
        result = self._flow._dispatcher.run(
            self._errand(step),
            lambda slot: run_to_completion(
                slot, completion, self._cancellation, self._begin_try(slot)
            ),
        )
        self._note_prefix(result)
        if isinstance(result, Success):
            result.unwrap().slot.close()
        return result

    def _run_live(self, step: int) -> Result[Dispatched[StreamingRun], Problem]:
        completion = self._completion(step)

        def start(slot: Slot) -> Result[StreamingRun, UpstreamError]:
            self._begin_try(slot)
            return start_streaming(slot, completion, self._cancellation)

        result = self._flow._dispatcher.run(self._errand(step), start)
        self._note_prefix(result)
        return result

    def _begin_try(self, slot: Slot) -> list[Chunk]:
        self._tried = slot.upstream.name
        self._received = []
        return self._received

    def _note_prefix(self, result: Result[Dispatched[T], Problem]) -> None:
        if isinstance(result, Success):
            engine = result.unwrap().slot.upstream.name
            self._flow._prefixes.sent(engine, self._request.messages)

    def _is_accepted(self, step: int, placed: Dispatched[CompletedRun]) -> bool:
        finish = placed.value.finish
        if step == 0:
            self._first_signal = finish.confidence
        line = self._line(step, placed.slot.upstream.name, finish)
        judged = StepFinish(signal=finish.confidence, cost_nano=line.cost_nano)
        verdict = self._flow._planner.judge(self._plan, step, judged)
        return verdict is Verdict.ACCEPT

    def _spend(self, step: int, placed: Dispatched[CompletedRun]) -> None:
        upstream = placed.slot.upstream.name
        line = self._line(step, upstream, placed.value.finish)
        self._spent.append(line)

    def _deliver_whole(
        self, step: int, placed: Dispatched[CompletedRun]
    ) -> ChatResponse:
        upstream = placed.slot.upstream.name
        whole = placed.value
        items: Iterator[Chunk | Finish] = iter((*whole.chunks, whole.finish))
        delivery = _Delivery(self, step, upstream, lambda: None, False)
        return self._chat_answer(step, delivery, items)

    def _deliver_live(self, step: int, run: StreamingRun) -> ChatResponse:
        delivery = _Delivery(self, step, run.upstream, run.close, True)
        return self._chat_answer(step, delivery, run.items())

    def _chat_answer(
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
            spent=tuple(self._spent),
        )

    def _note_outcome(self, step: int, *, failed: bool) -> None:
        self._flow._outcomes.record_result(
            self._table(), self._version(step), failed=failed
        )

    def _spoiled(self, step: int, problem: Problem) -> Problem:
        """Corrects a refusal when an earlier step of the plan ran."""
        if problem.code == CALLER_GONE:
            self._bill_left(step, problem)
        elif problem.outcome is not Outcome.NOT_RUN:
            self._note_outcome(step, failed=True)
        if not self._spent or problem.outcome is not Outcome.NOT_RUN:
            return problem
        return dataclasses.replace(problem, outcome=Outcome.FAILED)

    def _bill_left(self, step: int, problem: Problem) -> None:
        """Bills what ran of a request whose caller has left."""
        lines = list(self._spent)
        if problem.outcome is not Outcome.NOT_RUN:
            tokens = sum(chunk.tokens for chunk in self._received)
            cut = _cut_finish(tokens)
            lines.append(self._line(step, self._tried, cut))
        if lines:
            self.bill(lines, is_whole=False)

    def bill(self, lines: Iterable[BillLine], *, is_whole: bool) -> None:
        """Hands in the request's bill."""
        self._flow._bills.record(
            Bill(
                request_id=self._request.request_id,
                workspace=self._request.workspace.name,
                subject=self._task.name,
                ended_ms=self._flow._clock.wall_ms(),
                lines=tuple(lines),
                is_whole=is_whole,
            )
        )

    def _errand(self, step: int) -> DispatchRequest:
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
            cache_holders=self._flow._prefixes.holders(self._request.messages),
        )

    def _completion(self, step: int) -> CompletionRequest:
        limit = self._task.max_output_tokens
        wanted = self._request.max_output_tokens
        return CompletionRequest(
            request_id=attempt_id(self._request.request_id, step),
            version=self._version(step),
            messages=self._request.messages,
            max_output_tokens=min(limit, wanted or limit),
            deadline_ms=self._deadline_ms,
            priority=self._task.priority,
            affinity=self._session.seed,
        )

    def _version(self, step: int) -> VersionRef:
        return self._plan.steps[step].version

    def _line(self, step: int, upstream: str, finish: Finish) -> BillLine:
        return model_line(
            self._table(),
            self._version(step),
            upstream,
            finish.prompt_tokens,
            finish.output_tokens,
        )

    def _table(self) -> RoutingTable:
        return self._flow._configuration.table()


class _Delivery:
    """The delivered answer's parts, bill and report to those who learn."""

    def __init__(
        self,
        run: _ChatRun,
        step: int,
        upstream: str,
        release: Callable[[], None],
        is_live: bool,
    ) -> None:
        self._is_live = is_live
        self._run = run
        self._step = step
        self._upstream = upstream
        self._release = release
        self._text: list[str] = []
        self._tokens = 0
        self._finish: Finish | None = None

    @property
    def upstream(self) -> str:
        """The engine that the answer comes from."""
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
            self._run._note_outcome(self._step, failed=True)
            yield Truncated(problem=problem)

    def finish(self, is_whole: bool) -> None:
        self._release()
        run = self._run
        if not is_whole and not self._text:
            return
        finish = self._finish or _cut_finish(self._tokens)
        line = run._line(self._step, self._upstream, finish)
        run.bill((*run._spent, line), is_whole=is_whole)
        if is_whole:
            self._report()

    def _event(self, item: Chunk | Finish) -> ChatEvent:
        if isinstance(item, Chunk):
            self._text.append(item.text)
            self._tokens += item.tokens
        else:
            self._finish = item
        return to_chat_event(item)

    def _report(self) -> None:
        run = self._run
        signal = run._first_signal
        if self._step == 0 and self._finish is not None:
            signal = self._finish.confidence
        if self._is_live:
            run._note_outcome(self._step, failed=False)
        run._flow._outcomes.sample(
            DeliveredResponse(
                request=run._request,
                plan=run._plan,
                step=self._step,
                first_signal=signal,
                text="".join(self._text),
            )
        )


def _cut_finish(output_tokens: int) -> Finish:
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
