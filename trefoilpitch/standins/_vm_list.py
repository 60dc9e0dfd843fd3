"""The stand-in for the platform's list of VMs.

``GET /v1/vms`` reads the list, ``PUT /v1/vms`` replaces it, and
``POST /standin/faults`` sets its faults.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec
from returns.result import Success

from trefoilpitch.clock import Clock, SystemClock
from trefoilpitch.standins._json_server import (
    BoundServer,
    JsonHandler,
    JsonServer,
)
from trefoilpitch.vms import LaggingVmList, Vm

_PATH = "/v1/vms"
_CONTROL_PATH = "/standin/faults"

_T = TypeVar("_T")


class VmListFaults(msgspec.Struct, kw_only=True, frozen=True):
    """Faults to inject; None leaves the current setting unchanged."""

    # Whether every read fails.
    down: bool | None = None
    # How long after a change reads still return the old list, in milliseconds.
    lag_ms: int | None = None


class _BoundServer(BoundServer):
    """Holds the list for its handlers."""

    def __init__(self, address: tuple[str, int], vms: LaggingVmList) -> None:
        super().__init__(address, _Handler)
        self.vms = vms


class VmListServer(JsonServer):
    """Serves a `LaggingVmList` over HTTP; a context manager.

    Args:
        bound: The listening server.
    """

    def __init__(self, bound: _BoundServer) -> None:
        super().__init__(bound)
        self._vms = bound.vms

    @property
    def vms(self) -> LaggingVmList:
        """The served list, for changing it from the same process."""
        return self._vms


class _Handler(JsonHandler):
    """Handles the requests of one connection."""

    server: _BoundServer

    def do_GET(self) -> None:  # noqa: N802
        """Serves the list."""
        result = self.server.vms.read()
        if self.path != _PATH:
            self.respond(404, b"{}")
        elif isinstance(result, Success):
            self.respond(200, msgspec.json.encode(result.unwrap()))
        else:
            self.respond(503, b"{}")

    def do_PUT(self) -> None:  # noqa: N802
        """Replaces the list."""
        self._apply(_PATH, tuple[Vm, ...], self.server.vms.set_vms)

    def do_POST(self) -> None:  # noqa: N802
        """Sets the faults."""
        self._apply(_CONTROL_PATH, VmListFaults, self._set_faults)

    def _apply(
        self, path: str, body_type: type[_T], action: Callable[[_T], None]
    ) -> None:
        """Passes the decoded body to the action if the path matches."""
        body = self.read_body()
        if self.path != path:
            self.respond(404, b"{}")
            return
        try:
            action(msgspec.json.decode(body, type=body_type))
        except msgspec.MsgspecError as error:
            self.respond(400, msgspec.json.encode({"error": str(error)}))
            return
        self.respond(200, b"{}")

    def _set_faults(self, faults: VmListFaults) -> None:
        if faults.down is not None:
            self.server.vms.set_down(faults.down)
        if faults.lag_ms is not None:
            self.server.vms.set_lag_ms(faults.lag_ms)


def vm_list_server(
    *, host: str = "127.0.0.1", port: int = 0, clock: Clock | None = None
) -> VmListServer:
    """Binds a stand-in with an empty list; it serves once entered.

    Args:
        host: The IP address to listen on.
        port: The port to listen on; 0 picks a free one.
        clock: Times the delay; the system clock by default.
    """
    vms = LaggingVmList(clock or SystemClock())
    return VmListServer(_BoundServer((host, port), vms))
