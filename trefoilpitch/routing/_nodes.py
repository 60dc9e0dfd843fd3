"""Inputs and outcomes of a routing decision."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from trefoilpitch.bundle import VersionRef


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ServiceRef:
    """Reference to one operation of a plain service."""

    # Name of the service.
    service: str
    # Name of the operation; unique within the service only.
    operation: str

    def __str__(self) -> str:
        return f"{self.service}/{self.operation}"


# What a request runs on: a model version or an operation of a service.
Target: TypeAlias = VersionRef | ServiceRef


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """The most recent load report of an upstream."""

    # Requests that it was running, from all nodes.
    running: int
    # Requests in its own queue.
    waiting: int
    # Requests that it can run concurrently.
    capacity: int
    # Time since the upstream sampled these figures, in milliseconds.
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamState:
    """A node's last known state of one upstream when a decision is made."""

    # Name of the upstream in the bundle.
    name: str
    # In-flight requests of this node on the upstream.
    in_flight: int = 0
    # Change of ``in_flight`` since the last load report was received.
    in_flight_change: int = 0
    # The last load report; None before the first one.
    report: LoadReport | None = None
    # Whether it is still in slow start after a cold start.
    cold: bool = False
    # Requests that this node may still start there; only checked while cold.
    allowance: int = 0
    # Most requests of this node in flight at once; None means no limit.
    concurrency_limit: int | None = None
    # Whether it has announced that it is shutting down.
    leaving: bool = False
    # Monotonic time since which it has refused connections; None while it
    # accepts them or when its reachability is unknown.
    unreachable_since_ms: int | None = None
    # Identifies one run of the upstream; changes with every restart.
    incarnation: str = ""
    # Versions that it has loaded; None when it has not reported them.
    versions: frozenset[VersionRef] | None = None

    def serves(self, target: Target) -> bool:
        """Returns whether the upstream can run the target.

        Assumes that it can when it has not reported its loaded versions.
        """
        if self.versions is None or not isinstance(target, VersionRef):
            return True
        return target in self.versions

    @property
    def has_free_slot(self) -> bool:
        """Whether this node may start one more request on the upstream now."""
        if self.cold and self.allowance <= 0:
            return False
        limit = self.concurrency_limit
        return limit is None or self.in_flight < limit


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """The chosen target and upstream of a request.

    Made against one configuration revision; `confirm_dispatch` checks it
    against the newest one right before the request is sent.
    """

    # The workspace that sent the request.
    workspace: str
    # The model version or service operation to run.
    target: Target
    # Name of the upstream that runs it.
    upstream: str
    # The upstream's incarnation when the decision was made.
    incarnation: str
    # Revision of the configuration when the decision was made.
    revision: int
    # Name of the task; None for a plain service.
    task: str | None = None


class InvalidationReason(enum.Enum):
    """Why a decision is no longer valid at the moment of dispatch."""

    TARGET_NOT_ALLOWED = "target_not_allowed"
    VERSION_WITHDRAWN = "version_withdrawn"
    UPSTREAM_REMOVED = "upstream_removed"
    FAILURE_DOMAIN_OUT = "failure_domain_out"
    VM_OUT = "vm_out"
    UPSTREAM_LEAVING = "upstream_leaving"
    UPSTREAM_UNKNOWN = "upstream_unknown"
    UPSTREAM_RESTARTED = "upstream_restarted"
    VERSION_NOT_LOADED = "version_not_loaded"
    UPSTREAM_FULL = "upstream_full"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Confirmed:
    """The decision is still valid; the request may be sent now."""

    # The decision, with the revision that it was confirmed against.
    decision: Decision


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Invalidated:
    """The decision is no longer valid; nothing was sent, decide again."""

    # The invalid decision.
    decision: Decision
    # The first rule that it violates.
    reason: InvalidationReason
