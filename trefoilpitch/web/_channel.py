"""One caller's connection, as the HTTP server keeps it."""

from __future__ import annotations

from typing import Any

import waitress.channel
import waitress.task

from trefoilpitch.web._departure import Departure
from trefoilpitch.web._wsgi import DEPARTURE_KEY


class _Task(waitress.task.WSGITask):  # type: ignore[misc]
    """Hands the application what tells of the caller's leaving."""

    def get_environment(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environment()
        environ[DEPARTURE_KEY] = self.channel.departure
        return environ


class Channel(waitress.channel.HTTPChannel):  # type: ignore[misc]
    """Tells of the caller's leaving as soon as the server knows.

    The server reads on while a request runs, so that it sees the end of the
    connection at once, unless a further request is buffered or a part of a
    response is unsent.
    """

    task_class = _Task

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.departure = Departure()
        super().__init__(*args, **kwargs)

    def handle_close(self) -> None:
        """Closes the connection, whoever ended it."""
        super().handle_close()
        self.departure.happen()
