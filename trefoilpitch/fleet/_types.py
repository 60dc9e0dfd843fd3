"""Shared state: configuration, upstreams, roll-outs and members."""

from __future__ import annotations

import dataclasses
import enum


class OperationKind(enum.Enum):
    """Whether a route's requests may run more than once."""

    # May run any number of times.
    IDEMPOTENT = "idempotent"
    # Runs at most once.
    NON_IDEMPOTENT = "non_idempotent"
    # Responds with a stream of events; runs at most once unless the route is
    # resumable.
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """A service that gets a share of a route's requests."""

    service: str
    # Relative to the other weights of the route.
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Matches requests by host and path and assigns them to services."""

    # Appears in logs.
    name: str
    # The Host header without the port, in lower case.
    host: str
    path_prefix: str
    kind: OperationKind
    # Deadline of a request, counted from its arrival.
    timeout_ms: int
    # Latency that responses should not exceed.
    target_latency_ms: int
    # 0 is the most urgent.
    priority: int
    # How many upstreams may run one request, counting the first.
    max_attempts: int
    # One or more.
    services: tuple[WeightedService, ...]
    # Models of the cascade, smallest first; empty if callers name the model.
    model_tiers: tuple[str, ...] = ()
    # Whether requests need no API key.
    public: bool = False
    # Whether another upstream may continue a truncated stream.
    resumable: bool = False
    # Longest acceptable pause between events of a stream; 0 if none is set.
    target_gap_ms: int = 0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is OperationKind.STREAM:
            return self.resumable
        return self.kind is OperationKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A group of interchangeable upstreams."""

    name: str
    # How long an upstream is cold after its start.
    cold_start_ms: int
    # Requests a second, from all daemons together, that a cold upstream can
    # serve; 0 for no limit.
    cold_rate_per_s: float
    # Model and its cost per 1,000 generated tokens; empty for plain services.
    model_costs: tuple[tuple[str, float], ...] = ()
    # Path of its upstreams' health responses; empty if it has none.
    health_path: str = ""
    # Tokens that an upstream can keep in memory; None if that is not known.
    memory_tokens: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """Limits on the size of callers' requests and on the time to send them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    # From the first byte of a request head to its last.
    header_timeout_ms: int = 3_000
    # How long a connection may be idle between requests.
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A customer, identified by the API key of its requests."""

    name: str
    # Overrides the route's priority unless None.
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of the operators' configuration."""

    # Increases with each configuration, not always by one.
    version: int
    # In the order of the document.
    routes: tuple[Route, ...]
    # By name.
    services: dict[str, Service]
    limits: RequestLimits
    # By API key; None if requests need no keys.
    workspaces_by_key: dict[str, Workspace] | None

    def match(self, host: str, path: str) -> Route | None:
        """Finds the route of a request.

        Args:
            host: The Host header in lower case, without port.
            path: The path without the query.

        Returns:
            The route of the host with the longest matching prefix, None if
            no route matches.
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
    """The state in which an upstream has registered itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamEntry:
    """An upstream's registration."""

    # Identifies one incarnation; a restarted upstream gets a new one.
    upstream_id: str
    service: str
    host: str
    port: int
    failure_domain: str
    # Software version, which roll-outs change.
    version: str
    # Requests that it runs concurrently.
    slots: int
    # Whether it accepts new requests.
    state: UpstreamState
    # Remaining cold time when it wrote the entry.
    cold_left_ms: int
    # Unix milliseconds of its start; 0 if unknown.
    started_wall_ms: int
    # Loaded models; empty for plain services.
    models: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutOrder:
    """An operator's order to move a service to another version."""

    service: str
    # The version to move to.
    target: str
    # Time over which requests are shifted to the target.
    duration_ms: int


class RolloutPhase(enum.Enum):
    """The progress of a roll-out."""

    # The target serves a small share of the requests without a session.
    CANARY = "canary"
    # The target serves a growing share of all requests, chosen by session.
    SHIFT = "shift"
    # The target serves all requests.
    COMPLETED = "completed"
    # The target serves no requests.
    ROLLED_BACK = "rolled_back"

    @property
    def final(self) -> bool:
        """Whether the roll-out has ended."""
        return self in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutRecord:
    """The agreed state of a roll-out, as the deciding daemon wrote it."""

    service: str
    # The version to move to.
    target: str
    # Store revision of the order that this record belongs to.
    order_revision: int
    phase: RolloutPhase
    # Share of the sessions that the target serves, in percent.
    percent: int = 0

    def supersedes(self, other: RolloutRecord) -> bool:
        """Returns whether this is a later step of the same roll-out."""
        if (self.order_revision, self.target) != (
            other.order_revision,
            other.target,
        ):
            return False
        return self._progress > other._progress

    @property
    def _progress(self) -> tuple[bool, int]:
        return self.phase.final, self.percent


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineRecord:
    """Why requests are refused, for daemons that have not seen it."""

    # Identifies the traits.
    name: str
    # Digests of the traits that a refused request has.
    traits: tuple[int, ...]
    # Digests of the upstreams that ended under them, and the Unix milliseconds
    # of their endings.
    endings: tuple[tuple[int, int], ...]

    @property
    def last_wall_ms(self) -> int:
        """Unix milliseconds of the last ending."""
        return max(wall_ms for _, wall_ms in self.endings)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """A daemon's registration."""

    # Name of the VM.
    name: str
    # Identifies one run of the daemon.
    incarnation: str
    # Listens for callers, as ``IP:PORT``.
    caller_address: str
    # Address for other daemons, without the ports below.
    peer_host: str
    # TCP port for requests of other daemons.
    peer_port: int
    # UDP port for heartbeats of other daemons.
    heartbeat_port: int
    failure_domain: str
