"""Writes an answer as server-sent events, with a fault on command."""

from __future__ import annotations

import time

import msgspec

from trefoilpitch.standins._engine_nodes import Answer, AnswerState
from trefoilpitch.standins._engine_state import EngineState
from trefoilpitch.standins._faults import Fault
from trefoilpitch.standins._http_server import REQUEST_ID_HEADER, Handler

STREAM_FAULTS = (
    "cut_stream",
    "drop_answer",
    "stall",
    "gap",
    "repeat",
    "missing_end",
    "malformed",
    "wrong_version",
    "error_event",
    "crossed",
    "crossed_events",
)
_CUTS = frozenset({"cut_stream", "drop_answer", "stall", "error_event"})
_OTHER_REQUEST = "another-request"
_OTHER_VERSION = "another@0"
_MIN_WAIT_S = 0.001
_MAX_WAIT_S = 0.02
_MS_PER_S = 1000


class StreamWriter:
    """Writes one answer to one connection.

    Args:
        handler: The connection.
        state: Generates the answer.
        answer: What to write.
        fault: What to do wrong, if anything.
    """

    def __init__(
        self,
        handler: Handler,
        state: EngineState,
        answer: Answer,
        fault: Fault | None,
    ) -> None:
        self._handler = handler
        self._state = state
        self._answer = answer
        self._fault = fault
        self._kind = fault.kind if fault is not None else ""
        self._after = fault.after if fault is not None else 0

    def write(self, first: int) -> None:
        """Writes the chunks from an index on, then the end."""
        self._write_headers()
        written = first
        while written < len(self._answer.texts):
            ready = self._state.available(self._answer)
            if self._lost():
                self._handler.drop_connection()
                return
            if ready > written:
                written = self._write_chunks(written, ready)
                if self._cut_at(written):
                    self._cut()
                    return
            else:
                self._wait(written)
        self._write_end()

    def _lost(self) -> bool:
        dropped = self._answer.state in (
            AnswerState.DROPPED,
            AnswerState.CANCELLED,
        )
        return dropped or self._handler.peer_left()

    def _write_headers(self) -> None:
        request_id = self._answer.request_id
        if self._kind == "crossed":
            request_id = _OTHER_REQUEST
        self._handler.send_response(200)
        self._handler.send_header("Content-Type", "text/event-stream")
        self._handler.send_header("Transfer-Encoding", "chunked")
        self._handler.send_header(REQUEST_ID_HEADER, request_id)
        self._handler.send_header("Model-Version", self._answer.version)
        self._handler.end_headers()

    def _write_chunks(self, written: int, ready: int) -> int:
        if self._kind in _CUTS:
            ready = min(ready, max(self._after, written))
        events = [self._chunk_event(index) for index in range(written, ready)]
        if events:
            self._write_part(b"".join(events))
        return ready

    def _chunk_event(self, index: int) -> bytes:
        shown = index
        if self._kind == "gap" and index >= self._after:
            shown = index + 1
        if self._kind == "repeat" and index >= self._after:
            shown = max(index - 1, 0)
        if self._kind == "malformed" and index == self._after:
            return b"id: 0\ndata: {not json\n\n"
        delta = {"content": self._answer.texts[index]}
        choice = {"index": 0, "delta": delta, "finish_reason": None}
        tokens = self._answer.tokens[index]
        return self._event(f"id: {shown}\n", choices=[choice], tokens=tokens)

    def _event(self, id_line: str, **fields: object) -> bytes:
        request_id = self._answer.request_id
        version = self._answer.version
        if self._kind in ("crossed", "crossed_events"):
            request_id = _OTHER_REQUEST
        if self._kind == "wrong_version":
            version = _OTHER_VERSION
        data = msgspec.json.encode(
            {
                "id": request_id,
                "object": "chat.completion.chunk",
                "model": version,
                **fields,
            }
        )
        return id_line.encode() + b"data: " + data + b"\n\n"

    def _write_end(self) -> None:
        finish_reason = self._answer.finish_reason
        choice = {"index": 0, "delta": {}, "finish_reason": finish_reason}
        usage = {
            "prompt_tokens": self._answer.prompt_tokens,
            "completion_tokens": sum(self._answer.tokens),
        }
        end = self._event(
            f"id: {len(self._answer.texts)}\n",
            choices=[choice],
            usage=usage,
            confidence=self._answer.confidence,
        )
        if self._kind != "missing_end":
            end += b"data: [DONE]\n\n"
        self._write_part(end)
        self._handler.wfile.write(b"0\r\n\r\n")

    def _write_part(self, data: bytes) -> None:
        self._handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))

    def _cut_at(self, written: int) -> bool:
        return self._kind in _CUTS and written >= self._after

    def _cut(self) -> None:
        if self._kind == "error_event":
            error = {"message": "generation failed"}
            self._write_part(self._event("", error=error))
            self._handler.wfile.write(b"0\r\n\r\n")
            return
        if self._kind == "stall":
            while not self._handler.peer_left():
                time.sleep(_MAX_WAIT_S)
        if self._kind == "drop_answer":
            self._state.discard(self._answer)
        self._handler.drop_connection()

    def _wait(self, written: int) -> None:
        wait_s = _MAX_WAIT_S / 4
        if self._answer.state is AnswerState.RUNNING:
            due_ms = self._answer.due_ms(written)
            wait_s = (due_ms - self._state.now_ms()) / _MS_PER_S
        time.sleep(min(max(wait_s, _MIN_WAIT_S), _MAX_WAIT_S))
