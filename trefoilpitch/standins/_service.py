"""A plain service with idempotent and non-idempotent operations.

The first part of a path names the operation. A ``GET`` is a look-up without
effect; any other method has an effect, which is counted for each request id
and operation, even when the reply is lost.

Kinds of fault: ``delay``, ``refuse``; after the effect ``drop_reply``,
``short_body``, ``excess_body``, ``missing_end``, ``missing_length``,
``crossed`` and ``error_status``.
"""

from __future__ import annotations

import time
import urllib.parse
from collections.abc import Callable
from types import TracebackType
from typing import ClassVar, Self

import msgspec

from trefoilpitch.standins._faults import Fault, FaultPlan
from trefoilpitch.standins._http_server import Handler, StandInServer
from trefoilpitch.standins._service_nodes import Effects, ServiceSettings
from trefoilpitch.standins._settings import change_settings

_MS_PER_S = 1000
_OTHER_REQUEST = "another-request"


class _ServiceHandler(Handler):
    settings: ClassVar[ServiceSettings]
    effects: ClassVar[Effects]
    faults: ClassVar[FaultPlan]
    incarnation: ClassVar[str]

    def do_GET(self) -> None:  # noqa: N802
        """Serves look-ups, the load report and counts."""
        if self.path == "/standin/counts":
            self.reply_json(self.effects.summary())
        elif self.path == "/v1/load":
            self.reply_json(self._load_report())
        else:
            self._call()

    def do_POST(self) -> None:  # noqa: N802
        """Serves operations and commands."""
        if self.path == "/standin/faults":
            self._command(self._plan_fault)
        elif self.path == "/standin/settings":
            self._command(self._change_settings)
        else:
            self._call()

    do_PUT = do_DELETE = do_POST  # noqa: N815

    def _command(self, carry_out: Callable[[], None]) -> None:
        try:
            carry_out()
        except (msgspec.MsgspecError, ValueError) as error:
            self.reply_json({"error": str(error)}, status=400)
            return
        self.reply_json({})

    def _plan_fault(self) -> None:
        self.faults.add(self.read_json(Fault))

    def _change_settings(self) -> None:
        change_settings(self.settings, self.read_json(dict))

    def _call(self) -> None:
        body = self.read_body()
        if self._refuse_on_command():
            return
        self.effects.enter(1)
        try:
            reply = self._run(body)
        finally:
            self.effects.enter(-1)
        self._reply(reply)

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

    def _reply(self, reply: dict[str, object]) -> None:
        fault = self.faults.take(self.path, *_REPLY_FAULTS)
        if fault is None:
            self.reply_json(reply)
            return
        _REPLY_FAULTS[fault.kind](self, msgspec.json.encode(reply))

    def _refuse_on_command(self) -> bool:
        fault = self.faults.take(self.path, "refuse")
        if fault is None:
            return False
        headers = {"Not-Run": "true"} if fault.not_run else {}
        error = {"error": "refused on command"}
        self.reply_json(error, status=fault.status, headers=headers)
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

    def drop_reply(self, body: bytes) -> None:
        """Closes the connection in place of a reply."""
        del body
        self.drop_connection()

    def send_short_body(self, body: bytes) -> None:
        """Sends half of the body and closes the connection."""
        self.begin_reply(200, len(body), {})
        self.wfile.write(body[: len(body) // 2])
        self.drop_connection()

    def send_excess_body(self, body: bytes) -> None:
        """Sends more than the length announced."""
        self.begin_reply(200, len(body) // 2, {})
        self.wfile.write(body)

    def send_without_end(self, body: bytes) -> None:
        """Sends a chunked body without its last chunk."""
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.send_header("Request-Id", self.request_id)
        self.end_headers()
        self.wfile.write(b"%x\r\n%s\r\n" % (len(body), body))
        self.drop_connection()

    def send_without_length(self, body: bytes) -> None:
        """Sends a body whose end only the closed connection marks."""
        self.send_response(200)
        self.send_header("Request-Id", self.request_id)
        self.end_headers()
        self.wfile.write(body)
        self.drop_connection()

    def send_crossed(self, body: bytes) -> None:
        """Sends the reply as that of another request."""
        self.begin_reply(200, len(body), {}, request_id=_OTHER_REQUEST)
        self.wfile.write(body)

    def send_failure(self, body: bytes) -> None:
        """Sends an error status though the operation ran."""
        self.begin_reply(500, len(body), {})
        self.wfile.write(body)


_REPLY_FAULTS: dict[str, Callable[[_ServiceHandler, bytes], None]] = {
    "drop_reply": _ServiceHandler.drop_reply,
    "short_body": _ServiceHandler.send_short_body,
    "excess_body": _ServiceHandler.send_excess_body,
    "missing_end": _ServiceHandler.send_without_end,
    "missing_length": _ServiceHandler.send_without_length,
    "crossed": _ServiceHandler.send_crossed,
    "error_status": _ServiceHandler.send_failure,
}


class ServiceStandIn:
    """A running service stand-in.

    Args:
        settings: How it behaves; may be changed while it runs.
        port: The port; 0 takes a free one.
    """

    def __init__(self, settings: ServiceSettings, port: int) -> None:
        self._settings = settings
        self._effects = Effects()
        self._faults = FaultPlan(("delay", "refuse", *_REPLY_FAULTS))
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
        """IP number and port."""
        return self._server.address

    @property
    def settings(self) -> ServiceSettings:
        """How it behaves; changes take effect at once."""
        return self._settings

    @property
    def effects(self) -> Effects:
        """Counts what it did."""
        return self._effects

    @property
    def pending_faults(self) -> int:
        """How many planned faults wait for a request to befall."""
        return self._faults.pending

    def inject(self, fault: Fault) -> None:
        """Plans a fault."""
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
        settings: How it behaves.
        port: The port; 0 takes a free one.

    Returns:
        The stand-in, a context manager that stops it.
    """
    return ServiceStandIn(settings, port)
