"""What the directory of upstreams needs from its owner."""

from __future__ import annotations

from typing import Protocol

from trefoilpitch.bundle import Upstream
from trefoilpitch.coldstart import Admission, WorkOutcome
from trefoilpitch.upstreams import EngineClient, ServiceClient


class ClientFactory(Protocol):
    """Makes the clients of upstreams."""

    def engine(self, upstream: Upstream) -> EngineClient:
        """Returns a client of a model engine."""

    def service(self, upstream: Upstream) -> ServiceClient:
        """Returns a client of a plain service."""


class ColdStartGate(Protocol):
    """Bounds the work that this node starts on upstreams in a cold start."""

    def allowance(self, upstream: str) -> int | None:
        """Returns the requests that may start now; None while warm."""

    def admit(self, upstream: str) -> Admission:
        """Asks for the start of one request, which must be ended."""

    def ended(
        self,
        admission: Admission,
        outcome: WorkOutcome,
        latency_ms: int | None,
        may_run: bool,
    ) -> None:
        """Records how a request that was admitted ended.

        Args:
            admission: What it was admitted with.
            outcome: How it ended here.
            latency_ms: Time to its first part; None if none came.
            may_run: Whether the upstream may go on with it.
        """

    def demand(self, upstream: str, change: int) -> None:
        """Changes the number of requests that wait for an upstream."""

    def request_warm_up(self, upstream: str) -> None:
        """Asks for work on a cold upstream although others have room."""


class ConcurrencyGate(Protocol):
    """Adapts the work that this node runs on an upstream at once."""

    def limit(self, upstream: Upstream) -> int:
        """Returns the requests that may run at once."""

    def finished(
        self,
        upstream: Upstream,
        outcome: WorkOutcome,
        latency_ms: int | None,
        in_flight: int,
    ) -> None:
        """Records how a request ended."""
