"""The engine stand-in: a model engine with deterministic completions."""

from __future__ import annotations

import socket
from types import TracebackType
from typing import Self

from trefoilpitch.clock import Clock, SystemClock
from trefoilpitch.standins._engine_handler import FAULT_KINDS, EngineHandler
from trefoilpitch.standins._engine_state import EngineState
from trefoilpitch.standins._engine_types import EngineSettings
from trefoilpitch.standins._faults import Fault, FaultQueue
from trefoilpitch.standins._http_server import Handler, StandInServer


class EngineStandIn:
    """A running engine stand-in.

    Args:
        settings: Its behaviour; may be changed while it runs.
        port: The port; 0 picks a free one.
        clock: Times the generation of tokens.
    """

    def __init__(
        self, settings: EngineSettings, port: int, clock: Clock
    ) -> None:
        self._state = EngineState(settings, clock)
        self._faults = FaultQueue(FAULT_KINDS)
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
    def settings(self) -> EngineSettings:
        """Its behaviour; changes take effect at once."""
        return self._state.settings

    @property
    def state(self) -> EngineState:
        """Its completions, versions and counters."""
        return self._state

    @property
    def pending_faults(self) -> int:
        """How many injected faults have not yet hit a request."""
        return self._faults.pending

    def inject(self, fault: Fault) -> None:
        """Queues a fault for the next requests that it matches."""
        self._faults.add(fault)

    def restart(self, kept: socket.socket | None = None) -> None:
        """Simulates a crash: drops completions, cache and connections.

        Args:
            kept: A connection that is not dropped.
        """
        self._state.restart()
        self._server.drop_connections(kept)

    def run_counts(self) -> dict[str, int]:
        """Returns how often each request started to run, by request ID."""
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
            on_restart = staticmethod(self.restart)

        return BoundHandler


def open_engine_stand_in(
    settings: EngineSettings, *, port: int = 0, clock: Clock | None = None
) -> EngineStandIn:
    """Starts an engine stand-in on the loopback address.

    Args:
        settings: Its behaviour.
        port: The port; 0 picks a free one.
        clock: Times the generation of tokens; the system clock if absent.

    Returns:
        The stand-in, a context manager that stops it.
    """
    return EngineStandIn(settings, port, clock or SystemClock())
