"""Filter for the upstreams that may take new work for a target."""

from __future__ import annotations

from collections.abc import Mapping

from trefoilpitch.bundle import Upstream
from trefoilpitch.routing._nodes import Target, UpstreamState
from trefoilpitch.routing._table import RoutingTable


def eligible_upstreams(
    table: RoutingTable,
    target: Target,
    states: Mapping[str, UpstreamState],
) -> tuple[Upstream, ...]:
    """Returns the upstreams that may take new work for the target.

    An upstream is eligible when it is in service, not leaving, followed by
    this node (it has an entry in ``states``), and has not reported that it
    lacks the version. Its load and concurrency limit are not considered.
    """
    eligible = []
    for pool in table.pools_by_target.get(target, ()):
        for upstream in table.pool_members.get(pool, ()):
            state = states.get(upstream.name)
            if state is None or state.leaving or not state.serves(target):
                continue
            eligible.append(upstream)
    return tuple(eligible)
