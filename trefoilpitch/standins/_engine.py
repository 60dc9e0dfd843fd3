"""A model engine that streams deterministic answers."""

from __future__ import annotations

from types import TracebackType
from typing import Self

from trefoilpitch.clock import Clock, SystemClock
from trefoilpitch.standins._engine_handler import FAULT_KINDS, EngineHandler
from trefoilpitch.standins._engine_nodes import EngineSettings
from trefoilpitch.standins._engine_state import EngineState
from trefoilpitch.standins._faults import Fault, FaultPlan
from trefoilpitch.standins._http_server import Handler, StandInServer


class EngineStandIn:
    """A running engine stand-in.

    Args:
        settings: How it behaves; may be changed while it runs.
        port: The port; 0 takes a free one.
        clock: Paces generation.
    """

    def __init__(
        self, settings: EngineSettings, port: int, clock: Clock
    ) -> None:
        self._state = EngineState(settings, clock)
        self._faults = FaultPlan(FAULT_KINDS)
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
    def settings(self) -> EngineSettings:
        """How it behaves; changes take effect at once."""
        return self._state.settings

    @property
    def state(self) -> EngineState:
        """What it holds."""
        return self._state

    @property
    def pending_faults(self) -> int:
        """How many planned faults wait for a request to befall."""
        return self._faults.pending

    def inject(self, fault: Fault) -> None:
        """Plans a fault."""
        self._faults.add(fault)

    def restart(self) -> None:
        """Drops everything and begins anew, cold."""
        self._state.restart()
        self._server.drop_connections()

    def run_counts(self) -> dict[str, int]:
        """Returns how often each request began to run."""
        with self._state.lock:
            ids = [run.request_id for run in self._state.runs]
        return {request_id: ids.count(request_id) for request_id in set(ids)}

    def wait(self) -> None:
        """Blocks until the server is closed."""
        self._server.wait()

    def _handler(self) -> type[Handler]:
        class BoundHandler(EngineHandler):
            state = self._state
            faults = self._faults
            restarts = staticmethod(self.restart)

        return BoundHandler


def open_engine_stand_in(
    settings: EngineSettings, *, port: int = 0, clock: Clock | None = None
) -> EngineStandIn:
    """Starts an engine stand-in on the loopback address.

    Args:
        settings: How it behaves.
        port: The port; 0 takes a free one.
        clock: Paces generation; the machine's clock if absent.

    Returns:
        The stand-in, a context manager that stops it.
    """
    return EngineStandIn(settings, port, clock or SystemClock())
