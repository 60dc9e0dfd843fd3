"""Checks a decision again at the moment of dispatch."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from trefoilpitch.bundle import VersionRef
from trefoilpitch.routing._nodes import (
    Confirmed,
    Decision,
    Invalidated,
    InvalidationReason,
    UpstreamState,
)
from trefoilpitch.routing._table import RoutingTable


def confirm_dispatch(
    decision: Decision,
    newest: RoutingTable,
    states: Mapping[str, UpstreamState],
) -> Confirmed | Invalidated:
    """Checks that a decision still holds; call it right before sending.

    Every rule is checked again, also when the revision has not changed,
    because upstreams leave, restart and fill up between revisions.

    Args:
        decision: What was decided, perhaps before a wait in a queue.
        newest: The newest configuration that the node has.
        states: The upstreams as the node knows them now.

    Returns:
        The decision at the newest revision, or why it must be taken again.
    """
    reason = _objection(decision, newest, states.get(decision.upstream))
    if reason is not None:
        return Invalidated(decision=decision, reason=reason)
    confirmed = dataclasses.replace(decision, revision=newest.revision)
    return Confirmed(decision=confirmed)


def _objection(
    decision: Decision, newest: RoutingTable, state: UpstreamState | None
) -> InvalidationReason | None:
    reason = _target_objection(decision, newest)
    if reason is None:
        reason = _placement_objection(decision, newest)
    if reason is None:
        reason = _state_objection(decision, state)
    return reason


def _target_objection(
    decision: Decision, newest: RoutingTable
) -> InvalidationReason | None:
    target = decision.target
    withdrawn = newest.configuration.withdrawn
    if isinstance(target, VersionRef) and target in withdrawn:
        return InvalidationReason.VERSION_WITHDRAWN
    if not newest.allows(decision.workspace, target):
        return InvalidationReason.TARGET_NOT_ALLOWED
    if decision.task is None:
        return None
    workspace = newest.workspaces[decision.workspace]
    task = newest.tasks.get(decision.task)
    if task is None or task.name not in workspace.tasks:
        return InvalidationReason.TARGET_NOT_ALLOWED
    if isinstance(target, VersionRef) and target.model not in task.cascade:
        return InvalidationReason.TARGET_NOT_ALLOWED
    return None


def _placement_objection(
    decision: Decision, newest: RoutingTable
) -> InvalidationReason | None:
    upstream = newest.upstreams.get(decision.upstream)
    if upstream is None:
        return InvalidationReason.UPSTREAM_REMOVED
    serving = newest.pools_by_target.get(decision.target, ())
    member_of = newest.pools_by_upstream[upstream.name]
    if member_of.isdisjoint(serving):
        return InvalidationReason.UPSTREAM_REMOVED
    if upstream.failure_domain in newest.configuration.failure_domains_out:
        return InvalidationReason.FAILURE_DOMAIN_OUT
    if upstream.name in newest.configuration.vms_out:
        return InvalidationReason.VM_OUT
    return None


def _state_objection(
    decision: Decision, state: UpstreamState | None
) -> InvalidationReason | None:
    if state is None:
        return InvalidationReason.UPSTREAM_UNKNOWN
    if state.leaving:
        return InvalidationReason.UPSTREAM_LEAVING
    if state.incarnation != decision.incarnation:
        return InvalidationReason.UPSTREAM_RESTARTED
    if not state.serves(decision.target):
        return InvalidationReason.VERSION_NOT_LOADED
    if not state.has_room:
        return InvalidationReason.UPSTREAM_FULL
    return None
