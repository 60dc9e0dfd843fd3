"""Finds the homes of keys and hands requests to them."""

from __future__ import annotations

import urllib.parse
from collections.abc import Callable
from types import TracebackType
from typing import Self

import urllib3
from returns.result import Failure, Result, Success

from trefoilpitch.callers import FORWARDED_HEADER
from trefoilpitch.clock import Clock
from trefoilpitch.identity import node_of
from trefoilpitch.membership import MembershipView, MemberState
from trefoilpitch.web import (
    Header,
    Outcome,
    Problem,
    Request,
    Response,
)

_MS_PER_S = 1_000
_CONNECT_TIMEOUT_S = 0.5
_PASSED_HEADERS = (
    "authorization",
    "idempotency-key",
    "content-type",
    "session",
)
_RETURNED_HEADERS = ("Request-Id", "Retry-After", "Session")


class FleetHomes:
    """Finds homes in the view of the fleet.

    Args:
        own: This process's incarnation.
        view: Returns the newest view.
    """

    def __init__(self, own: str, view: Callable[[], MembershipView]) -> None:
        self._own = own
        self._view = view

    @property
    def own(self) -> str:
        """This process's incarnation."""
        return self._own

    def caller_address(self, incarnation: str) -> str | None:
        """Returns where a live incarnation takes requests."""
        member = self._view().get(node_of(incarnation))
        if member is None or member.incarnation != incarnation:
            return None
        if member.state is MemberState.GONE:
            return None
        return member.endpoints.caller_address


class HttpForwarder:
    """Hands requests to other daemons over HTTP; a context manager.

    Args:
        own: This process's incarnation.
        clock: Measures deadlines.
    """

    def __init__(self, own: str, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._pools = urllib3.PoolManager(maxsize=8, retries=False)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._pools.clear()

    def forward(
        self, address: str, request: Request, deadline_ms: int
    ) -> Result[Response, Problem]:
        """Returns what the home answers.

        Whatever goes wrong, the home may have run the request before, so a
        failure proves nothing.
        """
        left_s = max(1, deadline_ms - self._clock.now_ms()) / _MS_PER_S
        headers = {name: request.header(name) for name in _PASSED_HEADERS}
        headers = {name: value for name, value in headers.items() if value}
        headers[FORWARDED_HEADER] = self._own
        try:
            reply = self._pools.request(
                request.method,
                f"http://{address}{_target(request)}",
                body=request.body,
                fields=None,
                headers=headers,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=_CONNECT_TIMEOUT_S, read=left_s
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            return Failure(_unknown(str(error)))
        return Success(_to_response(reply))


def _target(request: Request) -> str:
    """Returns the path and query as the home must read them again."""
    query = urllib.parse.urlencode(request.query)
    path = urllib.parse.quote(request.path)
    return f"{path}?{query}" if query else path


def _to_response(reply: urllib3.BaseHTTPResponse) -> Response:
    returned = tuple(
        Header(name=name, value=reply.headers[name])
        for name in _RETURNED_HEADERS
        if name in reply.headers
    )
    return Response(
        status=reply.status,
        content_type=reply.headers.get("Content-Type", ""),
        body=reply.data,
        headers=returned,
    )


def _unknown(detail: str) -> Problem:
    return Problem(
        status=504,
        code="home-unreachable",
        title="the VM that the key belongs to did not answer",
        detail=detail,
        outcome=Outcome.UNKNOWN,
    )
