"""Controls engines through their clients, one version per request."""

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
    """An `EngineControl` for engines that load and unload single versions.

    Such engines report neither the versions that they are loading nor those in
    use. On an unload they still finish the version's in-flight responses.

    Args:
        client_of: Returns the client of an engine.
        clock: Monotonic time.
        timeout_ms: Time limit of each request.
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
        """Reads an engine's loaded versions from its load report."""
        report = self._client_of(upstream).load_report(
            deadline_ms=self._deadline_ms()
        )
        return report.alt(_to_order_error).bind(_to_status)

    def send_order(
        self, upstream: Upstream, order: EngineOrder
    ) -> Result[None, errors.OrderError]:
        """Loads the missing versions and unloads the unwanted ones.

        Only versions in ``order.observed_versions`` are unloaded, so that one
        loaded after the order was decided stays. Versions that were loading at
        that time are in it too and are not loaded again.
        """
        status = self.read_status(upstream)
        if isinstance(status, Failure):
            return Failure(status.failure())
        loaded = status.unwrap().loaded
        single_orders = [
            *_single_orders(
                OrderKind.LOAD,
                order.versions - order.observed_versions - loaded,
            ),
            *_single_orders(
                OrderKind.UNLOAD,
                (loaded & order.observed_versions) - order.versions,
            ),
        ]
        for kind, version in single_orders:
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
        result = self._client_of(upstream).send_order(
            order, deadline_ms=self._deadline_ms()
        )
        return result.map(lambda _: None).alt(_to_order_error)

    def _deadline_ms(self) -> int:
        return self._clock.now_ms() + self._timeout_ms


def _single_orders(
    kind: OrderKind, versions: frozenset[VersionRef]
) -> list[tuple[OrderKind, VersionRef]]:
    return [(kind, version) for version in sorted(versions)]


def _to_status(
    report: LoadReport,
) -> Result[EngineStatus, errors.OrderError]:
    if report.versions is None:
        detail = "the load report has no versions"
        return Failure(errors.VersionsUnknownError(detail=detail))
    status = EngineStatus(
        incarnation=report.incarnation,
        loaded=report.versions,
        reports_loading=False,
    )
    return Success(status)


def _to_order_error(error: UpstreamError) -> errors.OrderError:
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
    """Creates an `EngineClientControl`.

    Args:
        client_of: Returns the client of an engine.
        clock: Monotonic time.
        timeout_ms: Time limit of each request.
    """
    return EngineClientControl(client_of, clock, timeout_ms)
