"""What operators see of replicas."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from trefoilpitch.configuration.replication._freshness import (
    Standing,
    expected_domains,
    may_accept_changes,
    standing,
)
from trefoilpitch.configuration.replication._state import (
    ReplicaCounters,
    ReplicaState,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaStatus:
    """A replica in a dump of its process."""

    # The revision in force and its digest.
    revision: int
    digest: str
    # The highest revision heard of.
    head_revision: int
    # How well the replica knows that its revision is in force.
    standing: Standing
    # Whether operators may change the configuration through this node.
    accepts_changes: bool
    # Age of the proof that the revision was the head; None without one.
    proof_age_ms: int | None
    # Failure domains of which most must be heard for new work without the
    # store, and for changes.
    expected_domains: tuple[str, ...]
    # Failure domains and how long ago they were heard.
    contact_ages_ms: tuple[tuple[str, int], ...]
    # Whether it watches the store.
    is_relay: bool
    # Reads of the store that failed in a row.
    read_failures: int
    # What has happened since the start.
    counters: ReplicaCounters


def describe_replica(state: ReplicaState, now_ms: int) -> ReplicaStatus:
    """Returns what operators see of a replica."""
    proof_age_ms = None if state.proven_ms is None else now_ms - state.proven_ms
    return ReplicaStatus(
        revision=state.revision,
        digest=state.digest,
        head_revision=state.known_revision,
        standing=standing(state, now_ms),
        accepts_changes=may_accept_changes(state, now_ms),
        proof_age_ms=proof_age_ms,
        expected_domains=tuple(sorted(expected_domains(state))),
        contact_ages_ms=tuple(
            (domain, now_ms - state.contacts[domain].heard_ms)
            for domain in sorted(state.contacts)
        ),
        is_relay=state.links.is_relay,
        read_failures=state.read_failures,
        counters=state.counters,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeRevision:
    """The revision that a node last reported."""

    # The VM's name.
    name: str
    # The revision that it had in force.
    revision: int
    # The age of the report in milliseconds.
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InForce:
    """Where a revision is in force."""

    # The revision that was asked about.
    revision: int
    # Nodes that have it or a higher one.
    in_force: tuple[str, ...]
    # Nodes that reported a lower one.
    behind: tuple[NodeRevision, ...]
    # Nodes with a lower one whose report is old; they may have it by now.
    # If they are cut off, they refuse new work.
    silent: tuple[NodeRevision, ...]

    @property
    def is_everywhere(self) -> bool:
        """Whether every node has it."""
        return not self.behind and not self.silent


def in_force(
    revision: int, reports: Iterable[NodeRevision], max_age_ms: int = 10_000
) -> InForce:
    """Sorts nodes by whether they have a revision.

    Args:
        revision: The revision.
        reports: The last report of each node.
        max_age_ms: Age at which a report says nothing about the present.
    """
    ordered = sorted(reports, key=lambda report: report.name)
    lower = [report for report in ordered if report.revision < revision]
    return InForce(
        revision=revision,
        in_force=tuple(
            report.name for report in ordered if report.revision >= revision
        ),
        behind=tuple(r for r in lower if r.age_ms <= max_age_ms),
        silent=tuple(r for r in lower if r.age_ms > max_age_ms),
    )
