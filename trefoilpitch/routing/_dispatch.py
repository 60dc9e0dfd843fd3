"""Validates a routing decision again right before the request is sent."""

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
    """Checks that a decision is still valid; call it right before sending.

    Every rule is checked again, even if the configuration revision has not
    changed, because upstreams leave, restart and reach their concurrency
    limit between revisions.

    Args:
        decision: The decision, possibly made before a wait in a queue.
        newest: Routing table of the newest configuration of this node.
        states: Last known states of the upstreams, by name.

    Returns:
        The decision at the newest revision, or why it has to be made again.
    """
    reason = _invalidation_reason(
        decision, newest, states.get(decision.upstream)
    )
    if reason is not None:
        return Invalidated(decision=decision, reason=reason)
    confirmed = dataclasses.replace(decision, revision=newest.revision)
    return Confirmed(decision=confirmed)


def _invalidation_reason(
    decision: Decision, newest: RoutingTable, state: UpstreamState | None
) -> InvalidationReason | None:
    reason = _check_target(decision, newest)
    if reason is None:
        reason = _check_placement(decision, newest)
    if reason is None:
        reason = _check_state(decision, state)
    return reason


def _check_target(
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


def _check_placement(
    decision: Decision, newest: RoutingTable
) -> InvalidationReason | None:
    upstream = newest.upstreams.get(decision.upstream)
    if upstream is None:
        return InvalidationReason.UPSTREAM_REMOVED
    serving_pools = newest.pools_by_target.get(decision.target, ())
    own_pools = newest.pools_by_upstream[upstream.name]
    if own_pools.isdisjoint(serving_pools):
        return InvalidationReason.UPSTREAM_REMOVED
    if upstream.failure_domain in newest.configuration.failure_domains_out:
        return InvalidationReason.FAILURE_DOMAIN_OUT
    if upstream.name in newest.configuration.vms_out:
        return InvalidationReason.VM_OUT
    return None


def _check_state(
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
    if not state.has_free_slot:
        return InvalidationReason.UPSTREAM_FULL
    return None
