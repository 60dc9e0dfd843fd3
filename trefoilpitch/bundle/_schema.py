"""The schema of a bundle."""

from __future__ import annotations

import dataclasses
import enum

VERSION_SEPARATOR = "@"
ANY_VERSION = "*"


class Priority(enum.Enum):
    """The priority of requests; lower ranks are served first."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"

    @property
    def rank(self) -> int:
        """The order of service, from 0."""
        return _RANKS[self]


_RANKS = {
    Priority.INTERACTIVE: 0,
    Priority.STANDARD: 1,
    Priority.BATCH: 2,
}


class UpstreamKind(enum.Enum):
    """The type of an upstream."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class VersionRef:
    """A reference to a model version, written ``model@version``."""

    model: str
    # Unique within the model.
    version: str

    def __str__(self) -> str:
        return f"{self.model}{VERSION_SEPARATOR}{self.version}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ModelVersion:
    """A version of a model and its costs."""

    # Unique within the model.
    name: str
    # Cost of one prompt token, in billionths of the accounting currency.
    prompt_cost_nano: int
    # Cost of one generated token, in billionths of the accounting currency.
    output_cost_nano: int
    # Prior mean of the quality, before any ratings; from 0 to 1.
    prior_quality: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Model:
    """A model and its versions."""

    # Unique in the bundle.
    name: str
    # Oldest first.
    versions: tuple[ModelVersion, ...]
    # The version for new sessions unless a roll-out is in progress.
    default_version: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """A back end: an instance of a model engine or of a plain service."""

    # Unique in the bundle.
    name: str
    # IP address and port, such as ``127.0.0.1:9000``.
    address: str
    # One of the bundle's failure domains.
    failure_domain: str
    # Concurrency limit when warm, in requests.
    capacity: int
    # Concurrency limit during a cold start, in requests.
    cold_capacity: int = 1
    # Whether it rejects orders with an outdated fencing number.
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """A group of interchangeable upstreams."""

    # Unique in the bundle.
    name: str
    # The type of all its upstreams.
    kind: UpstreamKind
    # Model versions that its engines serve, as ``model@version``.
    serves: tuple[str, ...] = ()
    upstreams: tuple[Upstream, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Task:
    """A type of model request with its own cascade and quality target."""

    # Unique in the bundle; callers send it as ``model``.
    name: str
    # Models to try, cheapest first.
    cascade: tuple[str, ...]
    # Share of responses that must be rated good, from 0 to 1.
    quality_target: float
    # Required confidence that the target is met, from 0.5 to below 1.
    confidence: float = 0.9
    priority: Priority = Priority.STANDARD
    # Total time limit of a request, in milliseconds.
    deadline_ms: int = 60_000
    # Maximum length of a response, in tokens.
    max_output_tokens: int = 4_096


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Operation:
    """An operation of a plain service."""

    # Unique in the service; the first segment of the path.
    name: str
    # The HTTP method.
    method: str
    # Whether running it again has no further effect.
    idempotent: bool
    # Total time limit of a call, in milliseconds.
    deadline_ms: int = 10_000
    priority: Priority = Priority.STANDARD


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A plain service and the operations that callers may use."""

    # Unique in the bundle.
    name: str
    # The name of the pool whose upstreams run it.
    pool: str
    operations: tuple[Operation, ...]
    # Cost of one call, in billionths of the accounting currency.
    call_cost_nano: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A team, its permissions and its share of the capacity."""

    # Unique in the bundle.
    name: str
    # SHA-256 of its bearer token, in lower-case hexadecimal.
    token_sha256: str
    # Model versions that it may use, as ``model@version`` or ``model@*``.
    allowed: tuple[str, ...] = ()
    # Names of the tasks that it may request.
    tasks: tuple[str, ...] = ()
    # Names of the services that it may call.
    services: tuple[str, ...] = ()
    # Share of a saturated pool, relative to the other workspaces.
    weight: int = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutPlan:
    """The gradual replacement of a model's default version by another one."""

    model: str
    # The version that replaces the default version.
    to_version: str
    # Percent of new sessions at each step, ascending, ending with 100.
    steps_percent: tuple[int, ...] = (1, 5, 25, 100)
    # Responses required from the new version before the next step.
    answers_per_step: int = 200
    # Largest tolerated drop in the share of good responses, from 0 to 1.
    tolerance: float = 0.02


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bundle:
    """The configuration that operators sign off as a unit."""

    name: str
    # Increases with every sign-off of a bundle of the same name.
    version: int
    # The names that upstreams and VMs may have as their failure domain.
    failure_domains: tuple[str, ...]
    models: tuple[Model, ...] = ()
    pools: tuple[Pool, ...] = ()
    tasks: tuple[Task, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    # The roll-outs that operators may start.
    rollouts: tuple[RolloutPlan, ...] = ()
