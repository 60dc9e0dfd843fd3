"""The service stand-in: idempotent and non-idempotent operations.

The first segment of a path names the operation. A ``GET`` is a look-up without
side effects. Any other method has a side effect, which is counted by request
ID and operation, even if a fault then loses the response.

Kinds of fault: ``delay`` and ``refuse`` (before the side effect);
``drop_reply``, ``short_body``, ``excess_body``, ``missing_end``,
``missing_length``, ``crossed`` and ``error_status`` (after it).
"""

from __future__ import annotations

import time
import urllib.parse
from collections.abc import Callable
from types import TracebackType
from typing import ClassVar, Self

import msgspec

from trefoilpitch.standins._faults import Fault, FaultQueue
from trefoilpitch.standins._http_server import Handler, StandInServer
from trefoilpitch.standins._service_types import Effects, ServiceSettings
from trefoilpitch.standins._settings_update import update_settings

_MS_PER_S = 1000
_OTHER_REQUEST = "another-request"


class _ServiceHandler(Handler):
    settings: ClassVar[ServiceSettings]
    effects: ClassVar[Effects]
    faults: ClassVar[FaultQueue]
    incarnation: ClassVar[str]

    def do_GET(self) -> None:  # noqa: N802
        """Serves look-ups, the load report and the counts."""
        if self.path == "/standin/counts":
            self.respond_json(self.effects.summary())
        elif self.path == "/v1/load":
            self.respond_json(self._load_report())
        else:
            self._call()

    def do_POST(self) -> None:  # noqa: N802
        """Serves operations and the control API."""
        if self.path == "/standin/faults":
            self._handle_control(self._add_fault)
        elif self.path == "/standin/settings":
            self._handle_control(self._update_settings)
        else:
            self._call()

    do_PUT = do_DELETE = do_POST  # noqa: N815

    def _handle_control(self, action: Callable[[], None]) -> None:
        try:
            action()
        except (msgspec.MsgspecError, ValueError) as error:
            self.respond_json({"error": str(error)}, status=400)
            return
        self.respond_json({})

    def _add_fault(self) -> None:
        self.faults.add(self.read_json(Fault))

    def _update_settings(self) -> None:
        update_settings(self.settings, self.read_json(dict))

    def _call(self) -> None:
        body = self.read_body()
        if self._refuse_by_fault():
            return
        self.effects.add_running(1)
        try:
            response = self._run(body)
        finally:
            self.effects.add_running(-1)
        self._respond(response)

    def _run(self, body: bytes) -> dict[str, object]:
        operation = urllib.parse.urlsplit(self.path).path.split("/")[1]
        times = 0
        if self.command == "GET":
            self.effects.record_lookup()
        else:
            times = self.effects.record(operation, self.request_id)
        fault = self.faults.take(self.path, "delay")
        delay_ms = self.settings.call_ms + (fault.delay_ms if fault else 0)
        time.sleep(delay_ms / _MS_PER_S)
        return {
            "operation": operation,
            "request_id": self.request_id,
            "times": times,
            "length": len(body),
        }

    def _respond(self, response: dict[str, object]) -> None:
        fault = self.faults.take(self.path, *_RESPONSE_FAULTS)
        if fault is None:
            self.respond_json(response)
            return
        _RESPONSE_FAULTS[fault.kind](self, msgspec.json.encode(response))

    def _refuse_by_fault(self) -> bool:
        fault = self.faults.take(self.path, "refuse")
        if fault is None:
            return False
        headers = {"Not-Run": "true"} if fault.not_run else {}
        error = {"error": "refused by an injected fault"}
        self.respond_json(error, status=fault.status, headers=headers)
        return True

    def _load_report(self) -> dict[str, object]:
        return {
            "incarnation": self.incarnation,
            "running": self.effects.running,
            "waiting": 0,
            "capacity": self.settings.capacity,
            "warm": True,
            "leaving": self.settings.leaving,
            "reported_ms": time.time_ns() // 1_000_000,
        }

    def drop_response(self, body: bytes) -> None:
        """Closes the connection without a response."""
        del body
        self.drop_connection()

    def send_short_body(self, body: bytes) -> None:
        """Sends half of the body, then closes the connection."""
        self.start_response(200, len(body), {})
        self.wfile.write(body[: len(body) // 2])
        self.drop_connection()

    def send_excess_body(self, body: bytes) -> None:
        """Sends twice as many bytes as ``Content-Length`` announces."""
        self.start_response(200, len(body) // 2, {})
        self.wfile.write(body)

    def send_without_end(self, body: bytes) -> None:
        """Sends a chunked body without the terminating chunk."""
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.send_header("Request-Id", self.request_id)
        self.end_headers()
        self.wfile.write(b"%x\r\n%s\r\n" % (len(body), body))
        self.drop_connection()

    def send_without_length(self, body: bytes) -> None:
        """Sends a body that is delimited only by closing the connection."""
        self.send_response(200)
        self.send_header("Request-Id", self.request_id)
        self.end_headers()
        self.wfile.write(body)
        self.drop_connection()

    def send_wrong_request_id(self, body: bytes) -> None:
        """Sends the response with the ID of another request."""
        self.start_response(200, len(body), {}, request_id=_OTHER_REQUEST)
        self.wfile.write(body)

    def send_error_status(self, body: bytes) -> None:
        """Sends status 500 although the operation ran."""
        self.start_response(500, len(body), {})
        self.wfile.write(body)


_RESPONSE_FAULTS: dict[str, Callable[[_ServiceHandler, bytes], None]] = {
    "drop_reply": _ServiceHandler.drop_response,
    "short_body": _ServiceHandler.send_short_body,
    "excess_body": _ServiceHandler.send_excess_body,
    "missing_end": _ServiceHandler.send_without_end,
    "missing_length": _ServiceHandler.send_without_length,
    "crossed": _ServiceHandler.send_wrong_request_id,
    "error_status": _ServiceHandler.send_error_status,
}


class ServiceStandIn:
    """A running service stand-in.

    Args:
        settings: Its behaviour; may be changed while it runs.
        port: The port; 0 picks a free one.
    """

    def __init__(self, settings: ServiceSettings, port: int) -> None:
        self._settings = settings
        self._effects = Effects()
        self._faults = FaultQueue(("delay", "refuse", *_RESPONSE_FAULTS))
        self._server = StandInServer(self._handler, port)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._server.close()

    @property
    def address(self) -> str:
        """Where it listens, as ``host:port``."""
        return self._server.address

    @property
    def settings(self) -> ServiceSettings:
        """Its behaviour; changes take effect at once."""
        return self._settings

    @property
    def effects(self) -> Effects:
        """Counts of its side effects."""
        return self._effects

    @property
    def pending_faults(self) -> int:
        """How many injected faults have not yet hit a request."""
        return self._faults.pending

    def inject(self, fault: Fault) -> None:
        """Queues a fault for the next requests that it matches."""
        self._faults.add(fault)

    def wait(self) -> None:
        """Blocks until the server is closed."""
        self._server.wait()

    def _handler(self) -> type[Handler]:
        class BoundHandler(_ServiceHandler):
            settings = self._settings
            effects = self._effects
            faults = self._faults
            incarnation = f"{self._settings.name}-{time.time_ns():x}"

        return BoundHandler


def open_service_stand_in(
    settings: ServiceSettings, *, port: int = 0
) -> ServiceStandIn:
    """Starts a service stand-in on the loopback address.

    Args:
        settings: Its behaviour.
        port: The port; 0 picks a free one.

    Returns:
        The stand-in, a context manager that stops it.
    """
    return ServiceStandIn(settings, port)
