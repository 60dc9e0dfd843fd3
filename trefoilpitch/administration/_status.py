"""Status of the fleet: revisions in force, nodes and roll-outs."""

from __future__ import annotations

import dataclasses

from trefoilpitch.configuration import Configuration
from trefoilpitch.membership import Member, MembershipView, MemberState
from trefoilpitch.routing import rollout_weight, routing_table


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeReport:
    """One node as last known to the responding node."""

    # The name of the VM.
    name: str
    failure_domain: str
    # Value of :class:`~trefoilpitch.membership.MemberState`.
    state: str
    # Whether it may be serving and so needs the newest revision.
    is_live: bool
    # The configuration revision in its last report.
    revision: int
    # Age of the last report, in milliseconds.
    report_age_ms: int
    # Fraction of its concurrency limit that is in use, from 0 to 1.
    in_flight_share: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutProgress:
    """The progress of one roll-out."""

    model: str
    # The version that replaces the default version.
    to_version: str
    # Index of the current step.
    step: int
    # Value of the roll-out's phase enumeration.
    phase: str
    # Share of new sessions that the version gets, from 0 to 1.
    share: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetStatus:
    """The fleet as last known to one node."""

    # The name of the responding node.
    vm: str
    # The configuration revision in force on the responding node.
    revision: int
    # The bundle in force, ``name`` and ``version``; empty when there is none.
    bundle: str
    # Whether every live node has reported the newest revision that any has.
    in_force: bool
    # Names of the live nodes that have not.
    missing: tuple[str, ...]
    # Failure domains out of service.
    failure_domains_out: tuple[str, ...]
    # VMs and upstreams out of service.
    vms_out: tuple[str, ...]
    # Withdrawn versions, ``model@version``.
    withdrawn: tuple[str, ...]
    rollouts: tuple[RolloutProgress, ...]
    # Every node that the responding node knows, itself included.
    nodes: tuple[NodeReport, ...]


def fleet_status(
    view: MembershipView, configuration: Configuration, now_ms: int
) -> FleetStatus:
    """Returns the fleet's status as of the newest revision in any report.

    A suspected node counts as live, because it may still be serving with an
    older revision.
    """
    revision = configuration.revision
    live = [member for member in view.members if _is_live(member)]
    reported = [member.report.configuration_revision for member in live]
    # Other nodes may have a newer revision than the responding node.
    newest = max((revision, *reported))
    missing = tuple(
        member.name
        for member in live
        if member.report.configuration_revision < newest
    )
    bundle = configuration.bundle
    return FleetStatus(
        vm=view.own_name,
        revision=revision,
        bundle=f"{bundle.name} {bundle.version}" if bundle else "",
        in_force=not missing,
        missing=missing,
        failure_domains_out=tuple(sorted(configuration.failure_domains_out)),
        vms_out=tuple(sorted(configuration.vms_out)),
        withdrawn=tuple(sorted(map(str, configuration.withdrawn))),
        rollouts=_rollout_progress(configuration, view.own_name),
        nodes=tuple(_node_report(member, now_ms) for member in view.members),
    )


def _rollout_progress(
    configuration: Configuration, node: str
) -> tuple[RolloutProgress, ...]:
    if not configuration.rollouts:
        return ()
    table = routing_table(configuration, node=node)
    return tuple(
        RolloutProgress(
            model=state.model,
            to_version=state.to_version,
            step=state.step,
            phase=state.phase.value,
            share=rollout_weight(table, state.model),
        )
        for state in configuration.rollouts
    )


def _is_live(member: Member) -> bool:
    return member.state is not MemberState.GONE


def _node_report(member: Member, now_ms: int) -> NodeReport:
    return NodeReport(
        name=member.name,
        failure_domain=member.failure_domain,
        state=member.state.value,
        is_live=_is_live(member),
        revision=member.report.configuration_revision,
        report_age_ms=max(0, now_ms - member.report_ms),
        in_flight_share=member.report.in_flight_share,
    )
