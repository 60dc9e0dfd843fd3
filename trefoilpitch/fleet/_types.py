"""What the fleet shares: configuration, upstreams, roll-outs, members."""

from __future__ import annotations

import dataclasses
import enum


class OperationKind(enum.Enum):
    """What may be repeated of a route's requests."""

    # May run any number of times.
    IDEMPOTENT = "idempotent"
    # Runs at most once.
    NON_IDEMPOTENT = "non_idempotent"
    # Answers with a stream of events; runs at most once unless resumable.
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """One of the services that share a route's requests."""

    # The service's name.
    service: str
    # Its share in relation to the other weights.
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Which requests go to which services, and how."""

    # The route's name, for logs.
    name: str
    # Host that callers name, in lower case.
    host: str
    # Start of the paths that the route serves.
    path_prefix: str
    # What may be repeated.
    kind: OperationKind
    # The longest time that a request may be kept waiting.
    timeout_ms: int
    # The time within which an answer is worth most.
    target_latency_ms: int
    # Rank of the route's requests; 0 is the most urgent.
    priority: int
    # The most upstreams that may run one request.
    max_attempts: int
    # The services that share the requests; one or more.
    services: tuple[WeightedService, ...]
    # Models to choose from, smallest first; empty if the caller names one.
    model_tiers: tuple[str, ...] = ()
    # Whether requests need no key.
    public: bool = False
    # Whether a broken stream may go on at another upstream.
    resumable: bool = False
    # The longest pause between events of a stream that is on time.
    target_gap_ms: int = 0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is OperationKind.STREAM:
            return self.resumable
        return self.kind is OperationKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A group of upstreams that run the same requests."""

    # The service's name.
    name: str
    # How long an upstream is cold after a start.
    cold_start_ms: int
    # Requests a second that a cold upstream bears; 0 sets no bound.
    cold_rate_per_s: float
    # Cost of 1,000 generated tokens by model; empty for plain services.
    model_costs: tuple[tuple[str, float], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """Bounds on what callers may send, and how long they may take."""

    # Largest request head.
    max_header_bytes: int = 16_384
    # Largest request body.
    max_body_bytes: int = 4 * 1024 * 1024
    # From the first byte of a head to its last.
    header_timeout_ms: int = 3_000
    # How long a connection may rest between requests.
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A customer whose requests carry one of its keys."""

    # The workspace's name.
    name: str
    # Rank that goes before the route's; None leaves the route's.
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of what operators have put in force."""

    # Increases with each configuration, in uneven steps.
    version: int
    # Routes in the order of the document.
    routes: tuple[Route, ...]
    # Services by name.
    services: dict[str, Service]
    # Bounds on requests.
    limits: RequestLimits
    # Workspaces by key; None if requests carry no keys.
    workspaces_by_key: dict[str, Workspace] | None

    def match(self, host: str, path: str) -> Route | None:
        """Finds the route of a request.

        Args:
            host: The host that the caller named, in lower case, without port.
            path: The path without the query.

        Returns:
            The route of that host with the longest prefix of the path.
        """
        matches = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.path_prefix)
        ]
        return max(
            matches, key=lambda route: len(route.path_prefix), default=None
        )


class UpstreamState(enum.Enum):
    """What an upstream says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamEntry:
    """An upstream as it has registered itself."""

    # Name of this start of the upstream.
    upstream_id: str
    # The service that it belongs to.
    service: str
    # Host part of its address.
    host: str
    # Port part of its address.
    port: int
    # Where it runs.
    failure_domain: str
    # Version of its software.
    version: str
    # Requests that it works on at a time.
    slots: int
    # Whether it takes new work.
    state: UpstreamState
    # For how long it was still cold when it wrote the entry.
    cold_left_ms: int
    # Wall-clock time of its start; 0 if it did not say.
    started_wall_ms: int
    # Models that it holds; empty for plain services.
    models: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutOrder:
    """An operator's order to move a service to another version."""

    # The service.
    service: str
    # The version to move to.
    target: str
    # How long the roll-out may take.
    duration_ms: int


class RolloutPhase(enum.Enum):
    """How far a roll-out is."""

    # A small share of requests without a session runs on the target.
    CANARY = "canary"
    # A growing share of all requests, by session, runs on the target.
    SHIFT = "shift"
    # Everything runs on the target.
    COMPLETED = "completed"
    # Nothing runs on the target.
    ROLLED_BACK = "rolled_back"

    @property
    def final(self) -> bool:
        """Whether the roll-out has ended."""
        return self in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutRecord:
    """What the fleet has agreed on about a roll-out order."""

    # The service.
    service: str
    # The order's target.
    target: str
    # Store revision of the order that this record belongs to.
    order_revision: int
    # How far the roll-out is.
    phase: RolloutPhase
    # Share of the sessions that run on the target, in hundredths.
    percent: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """A daemon of the fleet as it has registered itself."""

    # Name of the VM.
    name: str
    # Name of this start of the daemon.
    incarnation: str
    # Where callers connect, as ``IP:PORT``.
    caller_address: str
    # Host part of the address for other daemons.
    peer_host: str
    # Port for calls of other daemons (TCP).
    peer_port: int
    # Port for their heartbeats (UDP).
    heartbeat_port: int
    # Where it runs.
    failure_domain: str
