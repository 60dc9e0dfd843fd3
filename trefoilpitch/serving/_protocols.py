"""Protocols that the upstream directory depends on."""

from __future__ import annotations

from typing import Protocol

from trefoilpitch.bundle import Upstream
from trefoilpitch.coldstart import Admission, WorkOutcome
from trefoilpitch.upstreams import EngineClient, ServiceClient


class ClientFactory(Protocol):
    """Creates clients of upstreams."""

    def engine(self, upstream: Upstream) -> EngineClient:
        """Returns a new client of an engine."""

    def service(self, upstream: Upstream) -> ServiceClient:
        """Returns a new client of a plain service."""


class ColdStartGate(Protocol):
    """Bounds the requests that this node starts on cold upstreams."""

    def allowance(self, upstream: str) -> int | None:
        """Returns how many requests may start now; None if it is warm."""

    def admit(self, upstream: str) -> Admission:
        """Decides whether a request may start.

        The end of an admitted request must be recorded with ``ended``.
        """

    def ended(
        self,
        admission: Admission,
        outcome: WorkOutcome,
        latency_ms: int | None,
        may_run: bool,
    ) -> None:
        """Records how an admitted request ended.

        Args:
            admission: The request's admission.
            outcome: The outcome as observed by this node.
            latency_ms: Time to the first chunk; None if none was received.
            may_run: Whether the upstream may still be working on it.
        """

    def demand(self, upstream: str, change: int) -> None:
        """Changes the number of requests waiting for an upstream."""

    def request_warm_up(self, upstream: str) -> None:
        """Requests work for a cold upstream although others have free slots."""


class ConcurrencyGate(Protocol):
    """Adapts this node's concurrency limit of each upstream."""

    def limit(self, upstream: Upstream) -> int:
        """Returns the current concurrency limit."""

    def finished(
        self,
        upstream: Upstream,
        outcome: WorkOutcome,
        latency_ms: int | None,
        in_flight: int,
    ) -> None:
        """Records how a request ended."""
