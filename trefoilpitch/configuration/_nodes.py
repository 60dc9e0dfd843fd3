"""The configuration: a bundle and the operators' changes on top of it."""

from __future__ import annotations

import dataclasses
import enum

from trefoilpitch.bundle import Bundle, VersionRef


class RolloutPhase(enum.Enum):
    """The phase of a roll-out; requests are served in every phase."""

    RUNNING = "running"
    PAUSED = "paused"
    ROLLED_BACK = "rolled_back"
    COMPLETED = "completed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutState:
    """The progress of a roll-out that the bundle plans."""

    # The model whose version changes.
    model: str
    # The version that is rolled out.
    to_version: str
    # Index into the plan's ``steps_percent``.
    step: int
    phase: RolloutPhase


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One revision of all that operators configure.

    Two configurations of the same revision have the same content. The
    revision that a node has in force, that is, routes and admits work by,
    never decreases.
    """

    # Incremented by each accepted change; 0 before the first.
    revision: int = 0
    # The bundle signed off last; None before the first sign-off.
    bundle: Bundle | None = None
    # Versions that get no new work, even if the bundle lists them.
    withdrawn: frozenset[VersionRef] = frozenset()
    # Failure domains out of service: they get no new work.
    failure_domains_out: frozenset[str] = frozenset()
    # Entry VMs and upstreams out of service, by name.
    vms_out: frozenset[str] = frozenset()
    # Started roll-outs, at most one per model, sorted by model.
    rollouts: tuple[RolloutState, ...] = ()


EMPTY_CONFIGURATION = Configuration()
