"""Status of replicas for operators."""

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
    """The status of a replica in a dump of its process."""

    # The revision in force and its digest.
    revision: int
    digest: str
    # The highest revision learned of.
    head_revision: int
    # Whether the configuration is known to be the newest.
    standing: Standing
    # Whether operators may change the configuration through this node.
    accepts_changes: bool
    # Age of the proof that no higher revision was the head; None without one.
    proof_age_ms: int | None
    # Failure domains of which a majority must be reachable for changes, and
    # for new work while the store is unavailable.
    expected_domains: tuple[str, ...]
    # Failure domains and the age of the last contact with each.
    contact_ages_ms: tuple[tuple[str, int], ...]
    # Whether it watches the store.
    is_relay: bool
    # Consecutive failed reads of the head.
    read_failures: int
    # Counters since the start of the process.
    counters: ReplicaCounters


def describe_replica(state: ReplicaState, now_ms: int) -> ReplicaStatus:
    """Returns the status of a replica."""
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
            (domain, now_ms - state.contacts[domain].last_contact_ms)
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
    # The revision that was in force on it.
    revision: int
    # The age of the report in milliseconds.
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RevisionCoverage:
    """The nodes on which a revision is in force."""

    # The revision in question.
    revision: int
    # Nodes that reported it or a higher one.
    in_force: tuple[str, ...]
    # Nodes that recently reported a lower one.
    behind: tuple[NodeRevision, ...]
    # Nodes whose last report is old and has a lower one. They may have the
    # revision by now; if they are cut off, they refuse new work.
    silent: tuple[NodeRevision, ...]

    @property
    def is_everywhere(self) -> bool:
        """Whether every node has the revision."""
        return not self.behind and not self.silent


def revision_coverage(
    revision: int, reports: Iterable[NodeRevision], max_age_ms: int = 10_000
) -> RevisionCoverage:
    """Groups nodes by whether a revision is in force on them.

    Args:
        revision: The revision in question.
        reports: The last report of each node.
        max_age_ms: Age above which a report counts as outdated.
    """
    ordered = sorted(reports, key=lambda report: report.name)
    lower = [report for report in ordered if report.revision < revision]
    return RevisionCoverage(
        revision=revision,
        in_force=tuple(
            report.name for report in ordered if report.revision >= revision
        ),
        behind=tuple(r for r in lower if r.age_ms <= max_age_ms),
        silent=tuple(r for r in lower if r.age_ms > max_age_ms),
    )
