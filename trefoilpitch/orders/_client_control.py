"""Reaches engines through their clients, one version an order."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from returns.result import Failure, Result, Success

from trefoilpitch.bundle import Upstream, VersionRef
from trefoilpitch.clock import Clock
from trefoilpitch.orders import _exceptions as errors
from trefoilpitch.orders._types import EngineOrder, EngineStatus
from trefoilpitch.retries import Execution
from trefoilpitch.upstreams import (
    EngineClient,
    ErrorReplyError,
    LoadReport,
    Order,
    OrderKind,
    StaleFencingError,
    UpstreamError,
)

_DEFAULT_TIMEOUT_MS = 3_000


class EngineClientControl:
    """An `EngineControl` over engines that load and unload one by one.

    Such engines tell neither which versions they are fetching nor which are
    in use; they finish the answers of a version that is unloaded.

    Args:
        client_of: Returns the client of an engine.
        clock: Monotonic time.
        timeout_ms: Time that one call may take.
    """

    def __init__(
        self,
        client_of: Callable[[Upstream], EngineClient],
        clock: Clock,
        timeout_ms: int,
    ) -> None:
        self._client_of = client_of
        self._clock = clock
        self._timeout_ms = timeout_ms
        self._sequence = itertools.count(1)

    def read_status(
        self, upstream: Upstream
    ) -> Result[EngineStatus, errors.OrderError]:
        """Reads what an engine serves, as of its last load report."""
        report = self._client_of(upstream).load_report(
            deadline_ms=self._deadline_ms()
        )
        return report.alt(_order_error).bind(_status_of)

    def send_order(
        self, upstream: Upstream, order: EngineOrder
    ) -> Result[None, errors.OrderError]:
        """Loads what an engine lacks and unloads what it should not have.

        A version that came after the decision stays, and a load that was
        under way then is not ordered again.
        """
        status = self.read_status(upstream)
        if isinstance(status, Failure):
            return Failure(status.failure())
        loaded = status.unwrap().loaded
        steps = [
            *_steps(OrderKind.LOAD, order.versions - order.seen - loaded),
            *_steps(OrderKind.UNLOAD, (loaded & order.seen) - order.versions),
        ]
        for kind, version in steps:
            result = self._send(upstream, kind, version, order.fencing_number)
            if isinstance(result, Failure):
                return result
        return Success(None)

    def _send(
        self,
        upstream: Upstream,
        kind: OrderKind,
        version: VersionRef,
        fencing_number: int,
    ) -> Result[None, errors.OrderError]:
        order = Order(
            request_id=f"order-{fencing_number}-{next(self._sequence)}",
            kind=kind,
            fencing_number=fencing_number,
            version=version,
        )
        reply = self._client_of(upstream).send_order(
            order, deadline_ms=self._deadline_ms()
        )
        return reply.map(lambda _: None).alt(_order_error)

    def _deadline_ms(self) -> int:
        return self._clock.now_ms() + self._timeout_ms


def _steps(
    kind: OrderKind, versions: frozenset[VersionRef]
) -> list[tuple[OrderKind, VersionRef]]:
    return [(kind, version) for version in sorted(versions)]


def _status_of(
    report: LoadReport,
) -> Result[EngineStatus, errors.OrderError]:
    if report.versions is None:
        detail = "the load report does not tell the versions"
        return Failure(errors.VersionsUnknownError(detail=detail))
    status = EngineStatus(
        incarnation=report.incarnation,
        loaded=report.versions,
        reports_loading=False,
    )
    return Success(status)


def _order_error(error: UpstreamError) -> errors.OrderError:
    detail = str(error)
    if isinstance(error, StaleFencingError):
        return errors.StaleFencingError(detail=detail)
    if error.execution is Execution.NOT_RUN:
        return errors.OrderNotSentError(detail=detail)
    if isinstance(error, ErrorReplyError):
        return errors.OrderRejectedError(detail=detail)
    return errors.OrderOutcomeUnknownError(detail=detail)


def engine_client_control(
    client_of: Callable[[Upstream], EngineClient],
    clock: Clock,
    *,
    timeout_ms: int = _DEFAULT_TIMEOUT_MS,
) -> EngineClientControl:
    """Creates a control over the clients of engines.

    Args:
        client_of: Returns the client of an engine.
        clock: Monotonic time.
        timeout_ms: Time that one call may take.
    """
    return EngineClientControl(client_of, clock, timeout_ms)
