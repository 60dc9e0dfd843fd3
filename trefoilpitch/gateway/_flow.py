"""Admission of requests, and what becomes of those that break off."""

from __future__ import annotations

from trefoilpitch.gateway._admission import Rejection, admit
from trefoilpitch.gateway._exceptions import (
    BadRequestError,
    CallerDisconnectedError,
)
from trefoilpitch.gateway._flow_services import FlowServices
from trefoilpitch.gateway._http_server import HttpRequest, Responder
from trefoilpitch.gateway._log import log_event, log_failure
from trefoilpitch.gateway._messages import CallerRequest
from trefoilpitch.gateway._refusals import retry_after_ms
from trefoilpitch.gateway._request_run import RequestRun
from trefoilpitch.metrics import Label


class RequestFlow:
    """Serves requests; one instance for all of a daemon's callers."""

    def __init__(self, services: FlowServices) -> None:
        self._services = services

    async def handle(self, http: HttpRequest, responder: Responder) -> None:
        """Answers one request."""
        services = self._services
        try:
            request = services.codec.decode_request(http)
        except BadRequestError as error:
            headers = services.codec.encode_refusal(None, None)
            await responder.respond(error.status, headers, b"")
            log_event("request", status=error.status, reason=error.detail)
            return
        admitted = admit(
            request, services.view.configuration, current=services.is_current()
        )
        if isinstance(admitted, Rejection):
            await self._reject(request, admitted, responder)
            return
        run = RequestRun(services, request, admitted, responder)
        try:
            await run.serve()
        except CallerDisconnectedError:
            raise
        except Exception as error:
            log_failure(
                "internal_error",
                error,
                id=request.request_id,
            )
            await run.fail()

    async def _reject(
        self, request: CallerRequest, rejection: Rejection, responder: Responder
    ) -> None:
        services = self._services
        configuration = services.view.configuration
        come_back_ms = None
        if rejection is Rejection.UNKNOWN_CONFIGURATION:
            # Another daemon may know more than one that has a configuration.
            none_knows = configuration is None and services.store_away()
            come_back_ms = retry_after_ms(
                request.wait_ms or 0, store_away=none_knows
            )
        headers = services.codec.encode_refusal(
            request.request_id, come_back_ms
        )
        services.metrics.count(
            "rejections", Label(name="reason", value=rejection.name.lower())
        )
        log_event(
            "rejected",
            id=request.request_id,
            host=request.host,
            path=request.path,
            status=rejection.value,
            reason=rejection.name.lower(),
            configuration=configuration.version if configuration else None,
            current=services.is_current(),
            retry_after_ms=come_back_ms,
        )
        await responder.respond(rejection.value, headers, b"")
