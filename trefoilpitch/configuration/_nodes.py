"""The configuration in force: a bundle and what operators did since."""

from __future__ import annotations

import dataclasses
import enum

from trefoilpitch.bundle import Bundle, VersionRef


class RolloutPhase(enum.Enum):
    """Where a roll-out stands; every phase is a state to serve in."""

    RUNNING = "running"
    PAUSED = "paused"
    ROLLED_BACK = "rolled_back"
    COMPLETED = "completed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutState:
    """How far a roll-out of the bundle has come."""

    # The model whose version changes.
    model: str
    # The version that takes over.
    to_version: str
    # Index into the plan's steps.
    step: int
    # Where the roll-out stands.
    phase: RolloutPhase


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One revision of everything that operators decide.

    Equal revisions have equal content; a node only ever moves to a higher
    revision.
    """

    # Grows by one with each accepted change; 0 before the first.
    revision: int = 0
    # The bundle signed off last.
    bundle: Bundle | None = None
    # Versions that get no new work, whatever the bundle allows.
    withdrawn: frozenset[VersionRef] = frozenset()
    # Failure domains that get no new work.
    failure_domains_out: frozenset[str] = frozenset()
    # VMs that get no new work: names of entry VMs and of upstreams.
    vms_out: frozenset[str] = frozenset()
    # Roll-outs started, at most one a model.
    rollouts: tuple[RolloutState, ...] = ()


EMPTY_CONFIGURATION = Configuration()
