"""Reads streamed answers part by part."""

from __future__ import annotations

import http.client
import json
from types import TracebackType
from typing import Any, Self

from tests.endtoend.fleet import CALLER, CHAT_PATH, chat_body

END = "[DONE]"
_TIMEOUT_S = 30.0


class Stream:
    """One streamed answer; a context manager that leaves it.

    Args:
        address: The daemon that is asked.
        text: The prompt.
        task: What is asked for.
        last_event_id: Where to take up an answer, if it was begun before.
    """

    def __init__(
        self,
        address: str,
        text: str,
        *,
        task: str = "transcript",
        last_event_id: str = "",
    ) -> None:
        self.event_id = ""
        self.texts: list[str] = []
        self.is_whole = False
        self._connection = http.client.HTTPConnection(
            address, timeout=_TIMEOUT_S
        )
        fields = {**CALLER, "Content-Type": "application/json"}
        if last_event_id:
            fields["Last-Event-ID"] = last_event_id
        body = json.dumps(chat_body(text, task=task, stream=True))
        self._connection.request("POST", CHAT_PATH, body, fields)
        self._reply: http.client.HTTPResponse | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.leave()

    @property
    def reply(self) -> http.client.HTTPResponse:
        """The reply; waits until its header has come."""
        if self._reply is None:
            self._reply = self._connection.getresponse()
        return self._reply

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self.reply.status

    @property
    def request_id(self) -> str:
        """Names the request."""
        return self.reply.getheader("Request-Id", "")

    @property
    def text(self) -> str:
        """What has been received."""
        return "".join(self.texts)

    def leave(self) -> None:
        """Closes the connection, whatever is still to come."""
        if self._reply is not None:
            self._reply.close()
        self._connection.close()

    def read_parts(self, count: int) -> None:
        """Reads until a number of parts has been received in all.

        Raises:
            ConnectionError: If the stream ends before.
        """
        while len(self.texts) < count:
            if not self._read_line():
                raise ConnectionError("the stream ended early")

    def read_rest(self) -> None:
        """Reads until the stream ends, whole or cut."""
        while self._read_line():
            pass

    def problem(self) -> Any:
        """Returns the refusal's document."""
        return json.loads(self.reply.read())

    def _read_line(self) -> bool:
        line = self.reply.readline()
        if not line:
            return False
        field, _, value = line.decode().strip().partition(": ")
        if field == "id":
            self.event_id = value
        elif field == "data" and value == END:
            self.is_whole = True
        elif field == "data":
            self._take_data(json.loads(value))
        return True

    def _take_data(self, data: Any) -> None:
        for choice in data.get("choices", ()):
            content = choice["delta"].get("content")
            if content is not None:
                self.texts.append(content)
