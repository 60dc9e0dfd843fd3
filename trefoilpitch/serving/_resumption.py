"""Resumes the delivery of responses that another node began to deliver."""

from __future__ import annotations

from collections.abc import Iterator

from returns.result import Failure, Result, Success

from trefoilpitch.bundle import Task, Upstream
from trefoilpitch.clock import Clock
from trefoilpitch.identity import ResumePoint, Session
from trefoilpitch.ledger import Bill
from trefoilpitch.retries import Execution
from trefoilpitch.serving._bills import BillSink, model_line
from trefoilpitch.serving._chat import ChatResponse, step_request_id
from trefoilpitch.serving._problems import failure_problem
from trefoilpitch.serving._protocols import ClientFactory
from trefoilpitch.serving._types import (
    ChatEvent,
    ConfigurationSource,
    ResponseInfo,
    Truncated,
    to_chat_event,
)
from trefoilpitch.upstreams import (
    Cancellation,
    Chunk,
    EngineClient,
    Finish,
    ResponseStream,
    UpstreamError,
)
from trefoilpitch.web import Outcome, Problem


class ResumeHandler:
    """Delivers the rest of a response that an engine has stored.

    The request is not run again: if the engine no longer has the response, it
    fails. The bill has the identifier of the original request, so that it
    counts once however many nodes deliver chunks of the response.

    Args:
        configuration: The source of the newest known configuration.
        clients: Creates clients of engines.
        bills: Receives the bills.
        clock: Used for deadlines and the times on bills.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationSource,
        clients: ClientFactory,
        bills: BillSink,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._clients = clients
        self._bills = bills
        self._clock = clock

    def resume(
        self, point: ResumePoint, after_index: int, cancellation: Cancellation
    ) -> Result[ChatResponse, Problem]:
        """Returns the chunks after the last one that the caller received.

        Args:
            point: Identifies the response and the engine that has it stored.
            after_index: Index of the last chunk that the caller received; -1
                if it received none.
            cancellation: Cancels the delivery of the rest.
        """
        table = self._configuration.table()
        upstream = table.upstreams.get(point.upstream)
        task = table.tasks.get(point.task)
        if upstream is None or task is None:
            return Failure(_gone(point, "its engine or task was removed"))
        return self._open(point, after_index, upstream, task, cancellation)

    def _open(
        self,
        point: ResumePoint,
        after_index: int,
        upstream: Upstream,
        task: Task,
        cancellation: Cancellation,
    ) -> Result[ChatResponse, Problem]:
        client = self._clients.engine(upstream)
        resumed = client.resume(
            step_request_id(point.request_id, point.step),
            point.version,
            after_index=after_index,
            deadline_ms=self._clock.now_ms() + task.deadline_ms,
            cancellation=cancellation,
        )
        if not isinstance(resumed, Success):
            client.__exit__(None, None, None)
            return Failure(_gone(point, str(resumed.failure())))
        delivery = _Delivery(self, point, client, resumed.unwrap())
        info = ResponseInfo(
            request_id=point.request_id,
            task=point.task,
            version=point.version,
            session=Session(
                workspace=point.workspace,
                seed=point.request_id,
                pins=(point.version,),
            ),
            resume_point=point,
        )
        return Success(ChatResponse(info, delivery.events(), delivery.finish))


class _Delivery:
    def __init__(
        self,
        handler: ResumeHandler,
        point: ResumePoint,
        client: EngineClient,
        stream: ResponseStream,
    ) -> None:
        self._handler = handler
        self._point = point
        self._client = client
        self._stream = stream
        self._finish: Finish | None = None

    def events(self) -> Iterator[ChatEvent]:
        try:
            for item in self._stream:
                yield self._event(item)
        except UpstreamError as error:
            request_id = self._point.request_id
            problem = failure_problem(error, Execution.RAN, request_id)
            yield Truncated(problem=problem)

    def finish(self, is_whole: bool) -> None:
        self._stream.__exit__(None, None, None)
        self._client.__exit__(None, None, None)
        if is_whole and self._finish is not None:
            self._bill(self._finish)

    def _event(self, item: Chunk | Finish) -> ChatEvent:
        if isinstance(item, Finish):
            self._finish = item
        return to_chat_event(item)

    def _bill(self, finish: Finish) -> None:
        point = self._point
        line = model_line(
            self._handler._configuration.table(),
            point.version,
            point.upstream,
            finish.prompt_tokens,
            finish.output_tokens,
        )
        self._handler._bills.record(
            Bill(
                request_id=point.request_id,
                workspace=point.workspace,
                subject=point.task,
                ended_ms=self._handler._clock.wall_ms(),
                lines=(*point.spent, line),
            )
        )


def _gone(point: ResumePoint, detail: str) -> Problem:
    return Problem(
        status=410,
        code="answer-gone",
        title="the rest of the answer is no longer held",
        detail=detail,
        outcome=Outcome.FAILED,
        request_id=point.request_id,
    )
