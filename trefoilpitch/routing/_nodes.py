"""Inputs and outcomes of a routing decision."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from trefoilpitch.bundle import VersionRef


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ServiceRef:
    """Names one operation of a plain service."""

    # The service's name.
    service: str
    # The operation's name within the service.
    operation: str

    def __str__(self) -> str:
        return f"{self.service}/{self.operation}"


# What a request runs on: a model version or an operation of a service.
Target: TypeAlias = VersionRef | ServiceRef


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """The load that an upstream reported last."""

    # Requests that it was running.
    running: int
    # Requests that waited inside it.
    waiting: int
    # Requests that it can run at once.
    capacity: int
    # Time since it took the figures, in milliseconds.
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamState:
    """What a node knows of one upstream at the moment of a decision."""

    # The upstream's name.
    name: str
    # Requests of this node that are running there.
    in_flight: int = 0
    # Change of ``in_flight`` since the last report was taken.
    in_flight_change: int = 0
    # The last load report; None when there has been none.
    report: LoadReport | None = None
    # Whether it is in a cold start.
    cold: bool = False
    # Requests that this node may still start there; counts while cold.
    allowance: int = 0
    # Requests of this node that may run there at once; None is no limit.
    concurrency_limit: int | None = None
    # Whether it said that it is leaving.
    leaving: bool = False
    # Monotonic time since which it accepts no connection; None if it does, or
    # if that is not known.
    unreachable_since_ms: int | None = None
    # Changes with every restart of the upstream.
    incarnation: str = ""
    # Versions that it has loaded; None when it has not told.
    versions: frozenset[VersionRef] | None = None

    def serves(self, target: Target) -> bool:
        """Returns whether the target runs there, as far as is known."""
        if self.versions is None or not isinstance(target, VersionRef):
            return True
        return target in self.versions

    @property
    def has_room(self) -> bool:
        """Whether this node may start one more request there now."""
        if self.cold and self.allowance <= 0:
            return False
        limit = self.concurrency_limit
        return limit is None or self.in_flight < limit


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """Where a request is to run, and on which configuration that rests."""

    # The workspace that asked.
    workspace: str
    # What the request runs on.
    target: Target
    # The upstream that runs it.
    upstream: str
    # The upstream's incarnation when it was chosen.
    incarnation: str
    # Revision of the configuration at the choice.
    revision: int
    # The task; None for a plain service.
    task: str | None = None


class InvalidationReason(enum.Enum):
    """Why a decision no longer holds at the moment of dispatch."""

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
    """The decision holds; dispatch now."""

    # The decision, at the revision that confirmed it.
    decision: Decision


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Invalidated:
    """The decision does not hold; nothing was sent, decide again."""

    # The decision that was given up.
    decision: Decision
    # Why.
    reason: InvalidationReason
