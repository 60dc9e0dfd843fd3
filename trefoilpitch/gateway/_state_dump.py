"""Dump of a daemon's current state as JSON for operators."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from trefoilpitch.fleet import CachedUpstream, FleetView
from trefoilpitch.gateway._dispatcher import Dispatcher
from trefoilpitch.gateway._peers import PeerTable


def describe_state(
    view: FleetView,
    dispatcher: Dispatcher,
    peers: PeerTable,
    waiting: Mapping[str, Mapping[int, int]],
    now_ms: int,
) -> bytes:
    """Encodes the view, the upstreams' health, the peers and who waits.

    The dump contains no API keys.

    Args:
        view: Local copy of the shared fleet state.
        dispatcher: Provides the upstreams' health.
        peers: The other daemons.
        waiting: Waiting requests by service and priority.
        now_ms: The monotonic time that ages are relative to.
    """
    configuration = view.configuration
    state = {
        "era": view.era,
        "revision": view.revision,
        "configuration": configuration.version if configuration else None,
        "evacuated": sorted(view.evacuated),
        "demand": dispatcher.reported_demand,
        "rollouts": {
            service: {
                "target": cached.order.target,
                "age_ms": now_ms - cached.seen_ms,
            }
            for service, cached in view.rollouts.items()
        },
        "records": {
            service: {
                "target": cached.record.target,
                "phase": cached.record.phase.value,
                "percent": cached.record.percent,
            }
            for service, cached in view.records.items()
        },
        "upstreams": {
            upstream_id: _describe_upstream(cached, dispatcher, peers, now_ms)
            for upstream_id, cached in view.upstreams.items()
        },
        "peers": {
            name: {
                "incarnation": peer.heartbeat.incarnation,
                "revision": peer.heartbeat.revision,
                "ready": peer.heartbeat.ready,
                "age_ms": now_ms - peer.received_ms,
                "demand": peer.heartbeat.demand,
            }
            for name, peer in peers.alive().items()
        },
        "waiting": {
            service: {str(p): count for p, count in sorted(counts.items())}
            for service, counts in waiting.items()
        },
    }
    return msgspec.json.encode(state)


def _describe_upstream(
    cached: CachedUpstream,
    dispatcher: Dispatcher,
    peers: PeerTable,
    now_ms: int,
) -> dict[str, Any]:
    entry = cached.entry
    speeds = dispatcher.work.speeds
    duration = speeds.duration(entry.upstream_id, now_ms)
    health = dispatcher.health(entry.upstream_id)
    return {
        "service": entry.service,
        "version": entry.version,
        "failure_domain": entry.failure_domain,
        "state": entry.state.value,
        "cold_ms": max(0, cached.cold_until_ms - now_ms),
        "cold": dispatcher.is_cold(entry.upstream_id),
        "missing": cached.retain_until_ms is not None,
        "in_flight": health.in_flight,
        "load": dispatcher.load(entry.upstream_id),
        "rate_limit_per_s": dispatcher.rate_limits.limit_per_s(entry),
        "own_rate_per_s": dispatcher.rate_limits.own_rate_per_s(entry),
        "failure_share": round(health.failure_rate(now_ms), 3),
        "pace": round(health.recent_latency_ratio(now_ms), 2),
        "ejected": health.is_ejected(now_ms),
        "work_ms": dispatcher.work.work_ms(entry),
        "work_age_ms": peers.work_age_ms(entry.upstream_id, now_ms),
        "duration": None if duration is None else round(duration, 2),
        "duration_age_ms": speeds.age_ms(entry.upstream_id, now_ms),
    }
