"""Serves calls to plain services."""

from __future__ import annotations

import dataclasses

from returns.result import Failure, Result, Success

from trefoilpitch.bundle import Operation
from trefoilpitch.clock import Clock
from trefoilpitch.ledger import Bill
from trefoilpitch.routing import ServiceRef
from trefoilpitch.serving._bills import BillSink, service_line
from trefoilpitch.serving._directory import Slot
from trefoilpitch.serving._dispatcher import (
    Dispatched,
    Dispatcher,
    DispatchRequest,
)
from trefoilpitch.serving._problems import CALLER_GONE
from trefoilpitch.serving._types import (
    CallRequest,
    CallResponse,
    ConfigurationSource,
)
from trefoilpitch.upstreams import (
    Cancellation,
    ErrorReplyError,
    ServiceRequest,
    ServiceResponse,
    UpstreamError,
)
from trefoilpitch.web import Outcome, Problem

_SERVER_ERROR = 500
_DEFAULT_TYPE = "application/octet-stream"


class CallHandler:
    """Runs and bills calls to plain services.

    Args:
        configuration: The source of the newest known configuration.
        dispatcher: Sends the calls to upstreams.
        bills: Receives the bills.
        clock: Used for deadlines and the times on bills.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationSource,
        dispatcher: Dispatcher,
        bills: BillSink,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._bills = bills
        self._clock = clock

    def operation(self, request: CallRequest) -> Result[Operation, Problem]:
        """Returns the operation that a request calls, or why it is refused."""
        table = self._configuration.table()
        reference = ServiceRef(request.service, request.operation)
        operation = table.operations.get(reference)
        if operation is None:
            title = f"there is no operation {reference}"
            return Failure(_refusal(404, "unknown-operation", title, request))
        if not table.allows(request.workspace.name, reference):
            title = f"the workspace may not use {reference}"
            return Failure(_refusal(403, "not-allowed", title, request))
        if request.method != operation.method:
            title = f"{reference} takes {operation.method}"
            return Failure(_refusal(405, "wrong-method", title, request))
        return Success(operation)

    def call(
        self,
        request: CallRequest,
        operation: Operation,
        cancellation: Cancellation,
    ) -> Result[CallResponse, Problem]:
        """Runs a call until it has completed or failed.

        A non-idempotent call is retried only if the previous attempt is proven
        not to have run.

        Args:
            request: The call.
            operation: The bundle's definition of the operation.
            cancellation: Cancels the call before it is sent. After that, only
                an idempotent call can be cancelled.
        """
        deadline_ms = self._clock.now_ms() + operation.deadline_ms
        dispatch_request = DispatchRequest(
            request_id=request.request_id,
            workspace=request.workspace.name,
            target=ServiceRef(request.service, request.operation),
            task=None,
            idempotent=operation.idempotent,
            priority=operation.priority,
            weight=request.workspace.weight,
            deadline_ms=deadline_ms,
            cancellation=cancellation,
        )
        service_request = ServiceRequest(
            request_id=request.request_id,
            method=request.method,
            path=request.path,
            deadline_ms=deadline_ms,
            body=request.body,
            headers=(("Content-Type", request.content_type),),
        )
        # The outcome of a non-idempotent call must become known, so that such
        # a call is not cancelled once it has been sent.
        cancellation_once_sent = cancellation if operation.idempotent else None
        attempted_upstreams: list[str] = []

        def start(slot: Slot) -> Result[ServiceResponse, UpstreamError]:
            attempted_upstreams.append(slot.upstream.name)
            return _call(slot, service_request, cancellation_once_sent)

        result = self._dispatcher.run(dispatch_request, start)
        if isinstance(result, Success):
            return Success(self._finish(request, result.unwrap()))
        problem = result.failure()
        if _is_abandoned_after_sending(problem):
            self._bill(request, attempted_upstreams[-1], is_whole=False)
        return Failure(problem)

    def _finish(
        self, request: CallRequest, dispatched: Dispatched[ServiceResponse]
    ) -> CallResponse:
        dispatched.slot.close()
        response = dispatched.value
        self._bill(request, dispatched.slot.upstream.name, is_whole=True)
        return CallResponse(
            request_id=request.request_id,
            status=response.status,
            content_type=_content_type(response),
            body=response.body,
        )

    def _bill(
        self, request: CallRequest, upstream: str, *, is_whole: bool
    ) -> None:
        bundle = self._configuration.table().configuration.bundle
        services = bundle.services if bundle else ()
        costs = {service.name: service.call_cost_nano for service in services}
        # As with model responses, what was not received costs nothing.
        cost_nano = costs.get(request.service, 0) if is_whole else 0
        line = service_line(request.service, upstream, cost_nano)
        self._bills.record(
            Bill(
                request_id=request.request_id,
                workspace=request.workspace.name,
                subject=f"{request.service}/{request.operation}",
                ended_ms=self._clock.wall_ms(),
                lines=(line,),
                is_whole=is_whole,
            )
        )


def _call(
    slot: Slot, request: ServiceRequest, cancellation: Cancellation | None
) -> Result[ServiceResponse, UpstreamError]:
    request = dataclasses.replace(
        request, upstream_incarnation=slot.upstream_incarnation
    )
    result = slot.service.call(request, cancellation)
    if isinstance(result, Success):
        slot.succeed()
        return result
    error = result.failure()
    if isinstance(error, ErrorReplyError) and error.status < _SERVER_ERROR:
        # A client error is a valid response, which is passed to the caller.
        slot.succeed()
        return Success(
            ServiceResponse(status=error.status, body=error.body, headers=())
        )
    return Failure(error)


def _is_abandoned_after_sending(problem: Problem) -> bool:
    """Returns whether the caller disconnected after the call was sent."""
    is_disconnected = problem.code == CALLER_GONE
    return is_disconnected and problem.outcome is not Outcome.NOT_RUN


def _content_type(response: ServiceResponse) -> str:
    for name, value in response.headers:
        if name.lower() == "content-type":
            return value
    return _DEFAULT_TYPE


def _refusal(
    status: int, code: str, title: str, request: CallRequest
) -> Problem:
    return Problem(
        status=status,
        code=code,
        title=title,
        outcome=Outcome.NOT_RUN,
        request_id=request.request_id,
    )
