"""Locates the homes of keys and forwards requests to them."""

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
from trefoilpitch.upstreams import StrictConnection
from trefoilpitch.web import (
    Header,
    Outcome,
    Problem,
    Request,
    Response,
)

_MS_PER_S = 1_000
_CONNECT_TIMEOUT_S = 0.5
_FORWARDED_HEADERS = (
    "authorization",
    "idempotency-key",
    "content-type",
    "session",
)
_RETURNED_HEADERS = ("Request-Id", "Retry-After", "Session")


class FleetHomes:
    """Locates homes in the membership view.

    Args:
        own: This process's incarnation.
        view: Returns the latest view.
    """

    def __init__(self, own: str, view: Callable[[], MembershipView]) -> None:
        self._own = own
        self._view = view

    @property
    def own(self) -> str:
        """This process's incarnation."""
        return self._own

    def caller_address(self, incarnation: str) -> str | None:
        """Returns an incarnation's caller address; None if it is not live."""
        member = self._view().get(node_of(incarnation))
        if member is None or member.incarnation != incarnation:
            return None
        if member.state is MemberState.GONE:
            return None
        return member.endpoints.caller_address


class _Pool(urllib3.HTTPConnectionPool):
    """Takes a response whose head has no end for none."""

    ConnectionCls = StrictConnection


class HttpForwarder:
    """Forwards requests to other daemons over HTTP; a context manager.

    Args:
        own: This process's incarnation.
        clock: Measures deadlines.
    """

    def __init__(self, own: str, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._pools = urllib3.PoolManager(maxsize=8, retries=False)
        self._pools.pool_classes_by_scheme = {"http": _Pool}

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
        """Returns the home's response.

        The outcome of every failure is unknown, because the home may have
        run the request on an earlier attempt.
        """
        remaining_s = max(1, deadline_ms - self._clock.now_ms()) / _MS_PER_S
        headers = {name: request.header(name) for name in _FORWARDED_HEADERS}
        headers = {name: value for name, value in headers.items() if value}
        headers[FORWARDED_HEADER] = self._own
        try:
            response = self._pools.request(
                request.method,
                f"http://{address}{_target(request)}",
                body=request.body,
                fields=None,
                headers=headers,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=_CONNECT_TIMEOUT_S, read=remaining_s
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            return Failure(_home_unreachable(str(error)))
        return Success(_to_response(response))


def _target(request: Request) -> str:
    """Returns the path and query, encoded again for the home."""
    query = urllib.parse.urlencode(request.query)
    path = urllib.parse.quote(request.path)
    return f"{path}?{query}" if query else path


def _to_response(response: urllib3.BaseHTTPResponse) -> Response:
    returned = tuple(
        Header(name=name, value=response.headers[name])
        for name in _RETURNED_HEADERS
        if name in response.headers
    )
    return Response(
        status=response.status,
        content_type=response.headers.get("Content-Type", ""),
        body=response.data,
        headers=returned,
    )


def _home_unreachable(detail: str) -> Problem:
    return Problem(
        status=504,
        code="home-unreachable",
        title="the VM that the key belongs to did not answer",
        detail=detail,
        outcome=Outcome.UNKNOWN,
    )
