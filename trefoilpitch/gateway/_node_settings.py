"""What a daemon is told at its start."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListenAddress:
    """An address to listen on."""

    # IP number.
    host: str
    # Port.
    port: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """What a daemon is told at its start."""

    # Name of the VM.
    name: str
    # Name of this start.
    incarnation: str
    # Where it runs.
    failure_domain: str
    # Where callers connect.
    callers: ListenAddress
    # Where readiness is asked for.
    readiness: ListenAddress
    # Where callers ask for addresses.
    directory: ListenAddress
    # Where peers connect.
    peers: ListenAddress
    # Where they send heartbeats (UDP).
    heartbeats: ListenAddress
    # Time from the request to leave until the process is ended.
    grace_ms: int
    # Repeats of the whole fleet: share of the requests, and what may be added.
    retry_ratio: float
    retry_slack: float
    # The time that both are counted over.
    retry_window_ms: int
    # Where counters and the state are served; None serves none.
    metrics: ListenAddress | None = None
    # Peers' addresses that may be stale; asked while the store is away.
    seeds: tuple[ListenAddress, ...] = ()
