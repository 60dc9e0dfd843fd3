"""Writes a completion as server-sent events, with an injected fault."""

from __future__ import annotations

import time

import msgspec

from trefoilpitch.standins._engine_state import EngineState
from trefoilpitch.standins._engine_types import Completion, CompletionState
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
_INTERRUPTING_FAULTS = frozenset(
    {"cut_stream", "drop_answer", "stall", "error_event"}
)
_OTHER_REQUEST = "another-request"
_OTHER_VERSION = "another@0"
_MIN_WAIT_S = 0.001
_MAX_WAIT_S = 0.02
_MS_PER_S = 1000


class StreamWriter:
    """Writes one completion to one connection.

    Args:
        handler: The connection.
        state: The engine that generates the completion.
        completion: The completion to write.
        fault: The fault to inject; None for none.
    """

    def __init__(
        self,
        handler: Handler,
        state: EngineState,
        completion: Completion,
        fault: Fault | None,
    ) -> None:
        self._handler = handler
        self._state = state
        self._completion = completion
        self._fault = fault
        self._kind = fault.kind if fault is not None else ""
        self._after = fault.after if fault is not None else 0

    def write(self, first: int) -> None:
        """Writes the chunks from an index on, then the final events."""
        self._write_headers()
        written = first
        while written < len(self._completion.texts):
            ready = self._state.available(self._completion)
            if self._is_aborted():
                self._handler.drop_connection()
                return
            if ready > written:
                written = self._write_chunks(written, ready)
                if self._should_interrupt(written):
                    self._interrupt()
                    return
            else:
                self._wait_for_chunk(written)
        self._write_end()

    def _is_aborted(self) -> bool:
        dropped = self._completion.state in (
            CompletionState.DROPPED,
            CompletionState.CANCELLED,
        )
        return dropped or self._handler.peer_disconnected()

    def _write_headers(self) -> None:
        request_id = self._completion.request_id
        if self._kind == "crossed":
            request_id = _OTHER_REQUEST
        self._handler.send_response(200)
        self._handler.send_header("Content-Type", "text/event-stream")
        self._handler.send_header("Transfer-Encoding", "chunked")
        self._handler.send_header(REQUEST_ID_HEADER, request_id)
        self._handler.send_header("Model-Version", self._completion.version)
        self._handler.end_headers()

    def _write_chunks(self, written: int, ready: int) -> int:
        if self._kind in _INTERRUPTING_FAULTS:
            ready = min(ready, max(self._after, written))
        events = [self._chunk_event(index) for index in range(written, ready)]
        if events:
            self._write_http_chunk(b"".join(events))
        return ready

    def _chunk_event(self, index: int) -> bytes:
        event_id = index
        if self._kind == "gap" and index >= self._after:
            event_id = index + 1
        if self._kind == "repeat" and index >= self._after:
            event_id = max(index - 1, 0)
        if self._kind == "malformed" and index == self._after:
            return b"id: 0\ndata: {not json\n\n"
        delta = {"content": self._completion.texts[index]}
        choice = {"index": 0, "delta": delta, "finish_reason": None}
        tokens = self._completion.tokens[index]
        return self._event(f"id: {event_id}\n", choices=[choice], tokens=tokens)

    def _event(self, id_line: str, **fields: object) -> bytes:
        request_id = self._completion.request_id
        version = self._completion.version
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
        finish_reason = self._completion.finish_reason
        choice = {"index": 0, "delta": {}, "finish_reason": finish_reason}
        usage = {
            "prompt_tokens": self._completion.prompt_tokens,
            "completion_tokens": sum(self._completion.tokens),
        }
        end = self._event(
            f"id: {len(self._completion.texts)}\n",
            choices=[choice],
            usage=usage,
            confidence=self._completion.confidence,
        )
        if self._kind != "missing_end":
            end += b"data: [DONE]\n\n"
        self._write_http_chunk(end)
        self._handler.wfile.write(b"0\r\n\r\n")

    def _write_http_chunk(self, data: bytes) -> None:
        self._handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))

    def _should_interrupt(self, written: int) -> bool:
        return self._kind in _INTERRUPTING_FAULTS and written >= self._after

    def _interrupt(self) -> None:
        if self._kind == "error_event":
            error = {"message": "generation failed"}
            self._write_http_chunk(self._event("", error=error))
            self._handler.wfile.write(b"0\r\n\r\n")
            return
        if self._kind == "stall":
            while not self._handler.peer_disconnected():
                time.sleep(_MAX_WAIT_S)
        if self._kind == "drop_answer":
            self._state.discard(self._completion)
        self._handler.drop_connection()

    def _wait_for_chunk(self, written: int) -> None:
        wait_s = _MAX_WAIT_S / 4
        if self._completion.state is CompletionState.RUNNING:
            due_ms = self._completion.due_ms(written)
            wait_s = (due_ms - self._state.now_ms()) / _MS_PER_S
        time.sleep(min(max(wait_s, _MIN_WAIT_S), _MAX_WAIT_S))
