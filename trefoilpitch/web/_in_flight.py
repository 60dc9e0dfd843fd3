"""Counts in-flight requests."""

from __future__ import annotations

import dataclasses
import threading

from trefoilpitch.web._wsgi import Body, Handler, Request, Response


class InFlight:
    """Number of requests received whose responses have not ended."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0

    @property
    def count(self) -> int:
        """The number of in-flight requests."""
        return self._count

    def add(self, change: int) -> None:
        """Changes the count by a positive or negative amount."""
        with self._lock:
            self._count += change


class _CountedBody:
    """A streamed body that decrements the count when it is closed."""

    def __init__(self, body: Body, in_flight: InFlight) -> None:
        self._body = body
        self._in_flight = in_flight

    def __iter__(self) -> _CountedBody:
        return self

    def __next__(self) -> bytes:
        return next(self._body)

    def close(self) -> None:
        """Closes the body; the HTTP server calls this exactly once."""
        try:
            self._body.close()
        finally:
            self._in_flight.add(-1)


def count_in_flight(handler: Handler, in_flight: InFlight) -> Handler:
    """Wraps a handler so that its in-flight requests are counted."""

    def counted(request: Request) -> Response:
        in_flight.add(1)
        try:
            response = handler(request)
        except BaseException:
            in_flight.add(-1)
            raise
        if isinstance(response.body, bytes):
            in_flight.add(-1)
            return response
        body = _CountedBody(response.body, in_flight)
        return dataclasses.replace(response, body=body)

    return counted
