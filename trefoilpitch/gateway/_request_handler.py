"""Entry point for callers' requests: decoding, admission, error handling."""

from __future__ import annotations

import asyncio

from trefoilpitch.gateway._admission import Rejection, admit
from trefoilpitch.gateway._exceptions import (
    BadRequestError,
    CallerDisconnectedError,
)
from trefoilpitch.gateway._http_server import HttpRequest, Responder
from trefoilpitch.gateway._log import log_event, log_failure
from trefoilpitch.gateway._messages import CallerRequest
from trefoilpitch.gateway._refusals import RETRY_SOON_MS, retry_after_ms
from trefoilpitch.gateway._request_dependencies import RequestDependencies
from trefoilpitch.gateway._request_run import RequestRun
from trefoilpitch.metrics import Label

# How long a response may go on past its caller's deadline.
_OVERDUE_MS = 2_000
_MS_PER_S = 1_000
_UNAVAILABLE = 503
# Reason of the refusals by a daemon that is about to exit.
_EXITING = "daemon_exits"


class RequestHandler:
    """Handles the requests of all of a daemon's callers."""

    def __init__(self, deps: RequestDependencies) -> None:
        self._deps = deps
        # The requests in progress.
        self._runs: set[RequestRun] = set()
        # Monotonic time from which new requests are refused; None while the
        # daemon is not leaving.
        self._refuse_from_ms: int | None = None

    def refuse_from(self, time_ms: int) -> None:
        """Refuses requests that arrive completely from some time on.

        Those that come later might not be finished before the exit. The time
        is compared for each request, as a timer may fire late.

        Args:
            time_ms: The monotonic time.
        """
        self._refuse_from_ms = time_ms

    def stop(self) -> None:
        """Ends the requests without a response, and refuses new ones.

        The exit of the daemon would cut them off. Responses that have begun go
        on.
        """
        self.refuse_from(self._deps.clock.now_ms())
        loop = asyncio.get_running_loop()
        for run in self._runs:
            # After the tasks whose response has arrived in this turn.
            loop.call_soon(run.stop)

    async def handle(self, http: HttpRequest, responder: Responder) -> None:
        """Handles one request; see `trefoilpitch.gateway.Handler`."""
        deps = self._deps
        try:
            request = deps.codec.decode_request(http)
        except BadRequestError as error:
            headers = deps.codec.encode_refusal(None, None)
            await responder.respond(error.status, headers, b"")
            log_event("request", status=error.status, reason=error.detail)
            return
        if self._refuses():
            await self._refuse(
                request, responder, _UNAVAILABLE, _EXITING, RETRY_SOON_MS
            )
            return
        admitted = admit(
            request, deps.view.configuration, current=deps.is_current()
        )
        if isinstance(admitted, Rejection):
            await self._reject(request, admitted, responder)
            return
        run = RequestRun(deps, request, admitted, responder)
        limit = asyncio.timeout(self._limit_s(request))
        self._runs.add(run)
        try:
            async with limit:
                await run.serve()
        except CallerDisconnectedError:
            raise
        except Exception as error:
            if limit.expired():
                log_event("request_overdue", id=request.request_id)
            else:
                log_failure(
                    "internal_error",
                    error,
                    id=request.request_id,
                )
            await run.fail()
        finally:
            self._runs.discard(run)

    def _refuses(self) -> bool:
        return (
            self._refuse_from_ms is not None
            and self._deps.clock.now_ms() >= self._refuse_from_ms
        )

    def _limit_s(self, request: CallerRequest) -> float | None:
        """Returns the time after which a request is given up; None if never."""
        if request.wait_ms is None:
            return None
        elapsed_ms = self._deps.clock.now_ms() - request.http.arrived_ms
        return (request.wait_ms + _OVERDUE_MS - elapsed_ms) / _MS_PER_S

    async def _reject(
        self, request: CallerRequest, rejection: Rejection, responder: Responder
    ) -> None:
        deps = self._deps
        retry_ms = None
        if rejection is Rejection.UNKNOWN_CONFIGURATION:
            # If this daemon has a configuration, another one may have a newer
            # one, so that an early retry can succeed.
            outage = (
                deps.view.configuration is None and deps.store_unavailable()
            )
            retry_ms = retry_after_ms(
                request.wait_ms or 0, store_unavailable=outage
            )
        reason = rejection.name.lower()
        await self._refuse(
            request, responder, rejection.value, reason, retry_ms
        )

    async def _refuse(
        self,
        request: CallerRequest,
        responder: Responder,
        status: int,
        reason: str,
        retry_ms: int | None,
    ) -> None:
        deps = self._deps
        configuration = deps.view.configuration
        headers = deps.codec.encode_refusal(request.request_id, retry_ms)
        deps.metrics.count("rejections", Label(name="reason", value=reason))
        log_event(
            "rejected",
            id=request.request_id,
            host=request.host,
            path=request.path,
            status=status,
            reason=reason,
            configuration=configuration.version if configuration else None,
            current=deps.is_current(),
            retry_after_ms=retry_ms,
        )
        await responder.respond(status, headers, b"")
