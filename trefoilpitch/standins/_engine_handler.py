"""HTTP API of the engine stand-in, with injected faults.

Engine API: ``POST /v1/chat/completions``,
``GET /v1/chat/completions/<request id>`` with ``Last-Event-ID`` to resume a
stream, ``GET /v1/load``, ``GET /v1/cache-events`` and ``POST /v1/orders``.
Control API for tests: ``POST /standin/faults``, ``POST /standin/settings``,
``POST /standin/restart`` and ``GET /standin/counts``.

Kinds of fault: ``slow_headers``, ``refuse``, ``refuse_resume``,
``cut_stream`` (close the connection in mid-stream), ``drop_answer`` (the same,
and the stream cannot be resumed), ``stall`` (stop sending), ``gap`` and
``repeat`` (event IDs that skip or repeat one), ``missing_end`` (no
``[DONE]``), ``malformed`` (an event that is not JSON), ``wrong_version``,
``error_event``, ``crossed`` (request ID of another request in headers and
events) and ``crossed_events`` (in events only).
"""

from __future__ import annotations

import socket
import time
import urllib.parse
from collections.abc import Callable
from typing import ClassVar

import msgspec

from trefoilpitch.bundle import Priority
from trefoilpitch.standins._engine_state import (
    EngineState,
    OtherIncarnationError,
    RefusalError,
)
from trefoilpitch.standins._engine_types import Completion, Prompt
from trefoilpitch.standins._faults import Fault, FaultQueue
from trefoilpitch.standins._http_server import Handler
from trefoilpitch.standins._settings_update import update_settings
from trefoilpitch.standins._stream_writer import (
    STREAM_FAULTS,
    StreamWriter,
)
from trefoilpitch.upstreams import prompt_prefix_hash

_COMPLETIONS_PATH = "/v1/chat/completions"
_NOT_RUN = {"Not-Run": "true"}
_PRECONDITION_FAILED = 412
_UNAVAILABLE = 503
_DEFAULT_MAX_TOKENS = 4096
_MS_PER_S = 1000
FAULT_KINDS = ("slow_headers", "refuse", "refuse_resume", *STREAM_FAULTS)


class _Message(msgspec.Struct, frozen=True):
    role: str
    content: str


class _CompletionBody(msgspec.Struct, frozen=True):
    model: str
    messages: list[_Message]
    max_tokens: int = _DEFAULT_MAX_TOKENS


class _OrderBody(msgspec.Struct, frozen=True):
    kind: str
    fencing_number: int
    version: str = ""
    role: str = ""


class EngineHandler(Handler):
    """Handles the requests of one connection to the engine stand-in."""

    state: ClassVar[EngineState]
    faults: ClassVar[FaultQueue]
    on_restart: ClassVar[Callable[[socket.socket | None], None]]

    def do_GET(self) -> None:  # noqa: N802
        """Serves resumed streams, load reports, cache events and counts."""
        url = urllib.parse.urlsplit(self.path)
        if url.path.startswith(f"{_COMPLETIONS_PATH}/"):
            self._resume(urllib.parse.unquote(url.path.rpartition("/")[2]))
        elif url.path == "/v1/load":
            self.respond_json(self.state.load_report())
        elif url.path == "/v1/cache-events":
            after = urllib.parse.parse_qs(url.query).get("after", ["0"])[0]
            self._respond_cache_events(int(after))
        elif url.path == "/standin/counts":
            self._respond_counts()
        else:
            self.respond_json({"error": "no such path"}, status=404)

    def do_POST(self) -> None:  # noqa: N802
        """Serves completions, orders and the control API."""
        routes: dict[str, Callable[[], None]] = {
            _COMPLETIONS_PATH: self._complete,
            "/v1/orders": self._order,
            "/standin/faults": self._add_fault,
            "/standin/settings": self._update_settings,
            "/standin/restart": self._restart,
        }
        route = routes.get(self.path)
        if route is None:
            self.read_body()
            self.respond_json({"error": "no such path"}, status=404)
            return
        try:
            route()
        except (msgspec.MsgspecError, ValueError) as error:
            self.respond_json({"error": str(error)}, status=400)

    def _complete(self) -> None:
        body = self.read_json(_CompletionBody)
        self._delay_headers()
        if self._refuse_by_fault("refuse"):
            return
        prompt = Prompt(
            request_id=self.request_id,
            version=body.model,
            text="\n".join(message.content for message in body.messages),
            prefix=prompt_prefix_hash(body.messages[0].content),
            max_tokens=body.max_tokens,
            rank=self._rank(),
            incarnation=self.headers.get("Upstream-Incarnation", ""),
        )
        try:
            completion = self.state.admit(prompt)
        except OtherIncarnationError as error:
            self._refuse(str(error), _PRECONDITION_FAILED)
            return
        except RefusalError as error:
            self._refuse(str(error), _UNAVAILABLE)
            return
        if completion is None:
            type(self).on_restart(None)
            return
        self._stream(completion, 0)

    def _rank(self) -> int:
        try:
            return Priority(self.headers.get("Priority")).rank
        except ValueError:
            return Priority.STANDARD.rank

    def _resume(self, request_id: str) -> None:
        self._delay_headers()
        if self._refuse_by_fault("refuse_resume"):
            return
        completion = self.state.attach(request_id)
        if completion is None:
            self.respond_json({"error": "completion not held"}, status=404)
            return
        last = self.headers.get("Last-Event-ID", "-1")
        self.state.counts["resumed"] += 1
        self._stream(completion, int(last) + 1)

    def _stream(self, completion: Completion, first: int) -> None:
        fault = self.faults.take(self.path, *STREAM_FAULTS)
        writer = StreamWriter(self, self.state, completion, fault)
        try:
            writer.write(first)
        finally:
            self.state.detach(completion)

    def _delay_headers(self) -> None:
        fault = self.faults.take(self.path, "slow_headers")
        if fault is not None:
            time.sleep(fault.delay_ms / _MS_PER_S)

    def _refuse_by_fault(self, kind: str) -> bool:
        fault = self.faults.take(self.path, kind)
        if fault is None:
            return False
        headers = _NOT_RUN if fault.not_run else {}
        error = {"error": "refused by an injected fault"}
        self.respond_json(error, status=fault.status, headers=headers)
        return True

    def _refuse(self, reason: str, status: int) -> None:
        self.state.counts[f"refused_{reason}"] += 1
        headers = {**_NOT_RUN, "Retry-After": "1"}
        self.respond_json({"error": reason}, status=status, headers=headers)

    def _order(self) -> None:
        order = self.read_json(_OrderBody)
        if not self.state.accept_fencing_number(order.fencing_number):
            error = {"error": "stale_fencing_number"}
            self.respond_json(error, status=409, headers=_NOT_RUN)
            return
        if order.kind == "load":
            self.state.load(order.version)
        elif order.kind == "unload":
            self.state.unload(order.version)
        elif order.kind == "role":
            self.state.settings.role = order.role
        else:
            self.respond_json({"error": "unknown kind of order"}, status=400)
            return
        versions = self.state.versions()
        self.respond_json({"versions": versions, "role": order.role})

    def _add_fault(self) -> None:
        self.faults.add(self.read_json(Fault))
        self.respond_json({})

    def _update_settings(self) -> None:
        update_settings(self.state.settings, self.read_json(dict))
        self.respond_json({})

    def _restart(self) -> None:
        self.read_body()
        # The restart is over before its caller goes on; only the connection of
        # the response is kept.
        type(self).on_restart(self.connection)
        self.respond_json({})

    def _respond_cache_events(self, after: int) -> None:
        incarnation = self.state.incarnation
        events = self.state.cache_events(after)
        self.respond_json({"incarnation": incarnation, "events": events})

    def _respond_counts(self) -> None:
        with self.state.lock:
            counts = dict(self.state.counts)
            runs = list(self.state.runs)
        self.respond_json({"counts": counts, "runs": runs})
