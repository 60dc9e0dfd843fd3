"""Connections of the HTTP server, on top of waitress channels."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import waitress.channel
import waitress.task

from trefoilpitch.web._disconnect import DisconnectSignal
from trefoilpitch.web._problems import (
    PROBLEM_TYPE,
    Problem,
    encode_problem,
)
from trefoilpitch.web._refusals import Parser, refusal_problem
from trefoilpitch.web._wsgi import DISCONNECT_KEY, status_line


class _Task(waitress.task.WSGITask):  # type: ignore[misc]
    """Passes the connection's disconnect signal to the application."""

    def get_environment(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environment()
        environ[DISCONNECT_KEY] = self.channel.disconnect
        return environ


class _RefusalTask(waitress.task.ErrorTask):  # type: ignore[misc]
    """Sends a problem document for a request that the server refuses."""

    def execute(self) -> None:
        problem = refusal_problem(self.request)
        self.channel.on_refusal(problem)
        body = encode_problem(problem)
        self.status = status_line(problem.status)
        self.response_headers.append(("Content-Type", PROBLEM_TYPE))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class Channel(waitress.channel.HTTPChannel):  # type: ignore[misc]
    """Signals a disconnect as soon as the server detects it.

    The server keeps reading while a request runs, so that it detects the end
    of the connection at once, unless another request is buffered or part of a
    response is unsent.

    Args:
        *args: Passed on to the waitress channel.
        on_refusal: Called with the problem of each request that is refused
            before it reaches the application.
        **kwargs: Passed on like ``args``.
    """

    task_class = _Task
    error_task_class = _RefusalTask
    parser_class = Parser

    def __init__(
        self,
        *args: Any,
        on_refusal: Callable[[Problem], None],
        **kwargs: Any,
    ) -> None:
        self.disconnect = DisconnectSignal()
        self.on_refusal = on_refusal
        super().__init__(*args, **kwargs)

    def handle_close(self) -> None:
        """Closes the connection, whichever side ended it."""
        super().handle_close()
        self.disconnect.trigger()
