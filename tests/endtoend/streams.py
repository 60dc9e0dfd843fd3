"""Reads streamed responses event by event."""

from __future__ import annotations

import http.client
import json
from types import TracebackType
from typing import Any, Self

from tests.endtoend.fleet import CALLER, CHAT_PATH, chat_body

END = "[DONE]"
_TIMEOUT_S = 30.0


class Stream:
    """One streamed response; a context manager that closes the connection.

    Args:
        address: Where the daemon listens for callers.
        text: The prompt.
        task: The task, which the request names as its model.
        last_event_id: The event after which to resume an earlier stream;
            empty to start a new one.
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
        self.is_complete = False
        self._connection = http.client.HTTPConnection(
            address, timeout=_TIMEOUT_S
        )
        fields = {**CALLER, "Content-Type": "application/json"}
        if last_event_id:
            fields["Last-Event-ID"] = last_event_id
        body = json.dumps(chat_body(text, task=task, stream=True))
        self._connection.request("POST", CHAT_PATH, body, fields)
        self._response: http.client.HTTPResponse | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    @property
    def response(self) -> http.client.HTTPResponse:
        """The response; waits until its header has been received."""
        if self._response is None:
            self._response = self._connection.getresponse()
        return self._response

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self.response.status

    @property
    def request_id(self) -> str:
        """The request ID from the response header."""
        return self.response.getheader("Request-Id", "")

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(self.texts)

    def close(self) -> None:
        """Closes the connection, even in mid-stream."""
        if self._response is not None:
            self._response.close()
        self._connection.close()

    def read_chunks(self, count: int) -> None:
        """Reads until a total number of text chunks has been received.

        Raises:
            ConnectionError: If the stream ends before that.
        """
        while len(self.texts) < count:
            if not self._read_field():
                raise ConnectionError(
                    f"stream ended after {len(self.texts)} of {count} chunks"
                )

    def read_rest(self) -> None:
        """Reads until the stream ends, complete or truncated."""
        while self._read_field():
            pass

    def read_problem(self) -> Any:
        """Returns the problem document of a refused request."""
        return json.loads(self.response.read())

    def _read_field(self) -> bool:
        line = self.response.readline()
        if not line:
            return False
        field, _, value = line.decode().strip().partition(": ")
        if field == "id":
            self.event_id = value
        elif field == "data" and value == END:
            self.is_complete = True
        elif field == "data":
            self._append_content(json.loads(value))
        return True

    def _append_content(self, data: Any) -> None:
        for choice in data.get("choices", ()):
            content = choice["delta"].get("content")
            if content is not None:
                self.texts.append(content)
