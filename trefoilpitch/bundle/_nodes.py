"""The typed nodes of a bundle."""

from __future__ import annotations

import dataclasses
import enum

VERSION_SEPARATOR = "@"
ANY_VERSION = "*"


class Priority(enum.Enum):
    """How urgently a task's requests are served; lower ranks go first."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"

    @property
    def rank(self) -> int:
        """The position in the order of service, from 0."""
        return _RANKS[self]


_RANKS = {
    Priority.INTERACTIVE: 0,
    Priority.STANDARD: 1,
    Priority.BATCH: 2,
}


class UpstreamKind(enum.Enum):
    """What an upstream runs."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class VersionRef:
    """Names one version of one model; written ``model@version``."""

    # The model's name.
    model: str
    # The version's name within the model.
    version: str

    def __str__(self) -> str:
        return f"{self.model}{VERSION_SEPARATOR}{self.version}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ModelVersion:
    """One version of a model and what it costs to run."""

    # The version's name within the model.
    name: str
    # Cost of one prompt token, in billionths of the accounting currency.
    prompt_cost_nano: int
    # Cost of one generated token, in billionths of the accounting currency.
    output_cost_nano: int
    # Mean quality before any rating has been seen, from 0 to 1.
    prior_quality: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Model:
    """A model and the versions of it that may be in use."""

    # The model's name, unique in the bundle.
    name: str
    # Its versions, oldest first.
    versions: tuple[ModelVersion, ...]
    # The version that new sessions get when no roll-out is under way.
    default_version: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """One back end: a model engine or a plain service."""

    # The upstream's name, unique in the bundle.
    name: str
    # IP number and port, ``127.0.0.1:9000``.
    address: str
    # The failure domain that it runs in.
    failure_domain: str
    # Requests that it serves at once when warm.
    capacity: int
    # Requests that it bears at once while in a cold start.
    cold_capacity: int = 1
    # Whether it refuses an order that carries an old fencing number.
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """Upstreams that are interchangeable for the work they serve."""

    # The pool's name, unique in the bundle.
    name: str
    # What its upstreams run.
    kind: UpstreamKind
    # Model versions that its engines serve, each ``model@version``.
    serves: tuple[str, ...] = ()
    # The pool's members.
    upstreams: tuple[Upstream, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Task:
    """A kind of model work with its own cascade and target."""

    # The task's name, unique in the bundle; callers send it as ``model``.
    name: str
    # Models to try, cheapest first.
    cascade: tuple[str, ...]
    # Share of answers that must be rated good, from 0 to 1.
    quality_target: float
    # Confidence with which the target is met, from 0.5 to 1.
    confidence: float = 0.9
    # How urgently requests are served.
    priority: Priority = Priority.STANDARD
    # Time a request may take in all, in milliseconds.
    deadline_ms: int = 60_000
    # Longest answer, in tokens.
    max_output_tokens: int = 4_096


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Operation:
    """One call of a plain service."""

    # The operation's name, unique in the service; first part of the path.
    name: str
    # The HTTP method.
    method: str
    # Whether running it twice has the same effect as running it once.
    idempotent: bool
    # Time a call may take in all, in milliseconds.
    deadline_ms: int = 10_000
    # How urgently calls are served.
    priority: Priority = Priority.STANDARD


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A plain service and the operations that callers may use."""

    # The service's name, unique in the bundle.
    name: str
    # The pool whose upstreams run it.
    pool: str
    # What callers may ask of it.
    operations: tuple[Operation, ...]
    # Cost of one call, in billionths of the accounting currency.
    call_cost_nano: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A team's share of the system and what it may use."""

    # The workspace's name, unique in the bundle.
    name: str
    # SHA-256 of its bearer token, in hexadecimal.
    token_sha256: str
    # Versions that it may use: ``model@version`` or ``model@*``.
    allowed: tuple[str, ...] = ()
    # Tasks that it may ask for.
    tasks: tuple[str, ...] = ()
    # Services that it may call.
    services: tuple[str, ...] = ()
    # Share of a pool relative to other workspaces when it runs out.
    weight: int = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutPlan:
    """How a new version of a model takes over from its default version."""

    # The model whose version changes.
    model: str
    # The version that takes over.
    to_version: str
    # Percent of new sessions at each step, ascending, ending with 100.
    steps_percent: tuple[int, ...] = (1, 5, 25, 100)
    # Answers the new version must have given before a step may follow.
    answers_per_step: int = 200
    # Largest tolerated drop in the share of good answers, from 0 to 1.
    tolerance: float = 0.02


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bundle:
    """Everything that operators sign off together."""

    # The bundle's name.
    name: str
    # Grows with every sign-off of the same name.
    version: int
    # Failure domains that upstreams and VMs may name.
    failure_domains: tuple[str, ...]
    # Models and their versions.
    models: tuple[Model, ...] = ()
    # Upstreams by pool.
    pools: tuple[Pool, ...] = ()
    # Kinds of model work.
    tasks: tuple[Task, ...] = ()
    # Plain services.
    services: tuple[Service, ...] = ()
    # Teams.
    workspaces: tuple[Workspace, ...] = ()
    # Roll-outs that operators may start.
    rollouts: tuple[RolloutPlan, ...] = ()
