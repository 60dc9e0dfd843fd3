"""Whether a revision is in force on every live node."""

from __future__ import annotations

import dataclasses

from trefoilpitch.configuration import Configuration
from trefoilpitch.membership import Member, MembershipView, MemberState
from trefoilpitch.routing import rollout_weight, routing_table


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeReport:
    """One node as the answering node knows it."""

    # The VM's name.
    name: str
    # Its failure domain.
    failure_domain: str
    # What is known of it.
    state: str
    # Whether it may be serving, so that it needs the newest revision.
    is_live: bool
    # The revision that it reported last.
    revision: int
    # Age of that report, in milliseconds.
    report_age_ms: int
    # Share of its places that are taken, from 0 to 1.
    in_flight_share: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutProgress:
    """One roll-out and how far it has come."""

    # The model.
    model: str
    # The version that takes over.
    to_version: str
    # The step.
    step: int
    # Where it stands.
    phase: str
    # Share of new sessions that the version gets, from 0 to 1.
    share: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetStatus:
    """The fleet as one node knows it."""

    # The node that answers.
    vm: str
    # The revision in force on it.
    revision: int
    # The bundle in force, ``name`` and ``version``; empty when there is none.
    bundle: str
    # Whether every live node has reported the newest revision that any has.
    in_force: bool
    # Live nodes that have not.
    missing: tuple[str, ...]
    # Failure domains taken out.
    failure_domains_out: tuple[str, ...]
    # VMs taken out.
    vms_out: tuple[str, ...]
    # Versions withdrawn.
    withdrawn: tuple[str, ...]
    # Roll-outs.
    rollouts: tuple[RolloutProgress, ...]
    # Every known node.
    nodes: tuple[NodeReport, ...]


def fleet_status(
    view: MembershipView, configuration: Configuration, now_ms: int
) -> FleetStatus:
    """Returns the status of the fleet, and of the newest revision in it.

    A node that is suspected still counts as live: it may be serving on an
    older revision.
    """
    revision = configuration.revision
    live = [member for member in view.members if _is_live(member)]
    reported = [member.report.configuration_revision for member in live]
    # The answering node may itself be behind.
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
        rollouts=_rollout_lines(configuration, view.own_name),
        nodes=tuple(_node_line(member, now_ms) for member in view.members),
    )


def _rollout_lines(
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


def _node_line(member: Member, now_ms: int) -> NodeReport:
    return NodeReport(
        name=member.name,
        failure_domain=member.failure_domain,
        state=member.state.value,
        is_live=_is_live(member),
        revision=member.report.configuration_revision,
        report_age_ms=max(0, now_ms - member.report_ms),
        in_flight_share=member.report.in_flight_share,
    )
