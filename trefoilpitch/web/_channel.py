"""One caller's connection, as the HTTP server keeps it."""

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
from trefoilpitch.web._refusals import Parser, refusal_of
from trefoilpitch.web._wsgi import DEPARTURE_KEY, status_line


class _Task(waitress.task.WSGITask):  # type: ignore[misc]
    """Hands the application what tells of the caller's leaving."""

    def get_environment(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environment()
        environ[DEPARTURE_KEY] = self.channel.disconnect
        return environ


class _RefusalTask(waitress.task.ErrorTask):  # type: ignore[misc]
    """Sends the problem document of a request that is refused."""

    def execute(self) -> None:
        problem = refusal_of(self.request)
        self.channel.on_refusal(problem)
        body = encode_problem(problem)
        self.status = status_line(problem.status)
        self.response_headers.append(("Content-Type", PROBLEM_TYPE))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class Channel(waitress.channel.HTTPChannel):  # type: ignore[misc]
    """Tells of the caller's leaving as soon as the server knows.

    The server reads on while a request runs, so that it sees the end of the
    connection at once, unless a further request is buffered or a part of a
    response is unsent.

    Args:
        *args: What the server makes its channels with.
        on_refusal: Takes what is refused before the application sees it.
        **kwargs: As ``args``.
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
        """Closes the connection, whoever ended it."""
        super().handle_close()
        self.disconnect.trigger()
