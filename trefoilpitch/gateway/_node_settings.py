"""Start-up settings of a daemon."""

from __future__ import annotations

import dataclasses

from trefoilpitch.gateway._memory_guard import ClientLimits


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListenAddress:
    """An address to listen on."""

    # An IP address.
    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Start-up settings of a daemon."""

    # Name of the VM.
    name: str
    # Identifies this start of the process.
    incarnation: str
    # Failure domain of the VM.
    failure_domain: str
    # Address for callers' requests.
    callers: ListenAddress
    # Address of the readiness check.
    readiness: ListenAddress
    # Address where callers look up the daemons' addresses.
    directory: ListenAddress
    # TCP address for peers.
    peers: ListenAddress
    # UDP address for peers' heartbeats.
    heartbeats: ListenAddress
    # Time from the signal to leave until the platform kills the process.
    grace_ms: int
    # Time from the store's acknowledgement of a configuration until requests
    # have to be handled by it.
    apply_ms: int
    # Retry budget of the whole fleet: retries per request, and a fixed number
    # of additional retries.
    retry_ratio: float
    retry_slack: float
    # The sliding window to which both apply.
    retry_window_ms: int
    # Address of the metrics and the state dump; None to serve neither.
    metrics: ListenAddress | None = None
    # Addresses of peers, possibly stale, to query while the store is
    # unavailable.
    seeds: tuple[ListenAddress, ...] = ()
    # Resident memory in MB and open descriptors that the process may have; None
    # if there is no limit.
    memory_mb: float | None = None
    max_descriptors: int | None = None
    # Limits of one client's connection, which apply if the memory is limited.
    client_limits: ClientLimits = dataclasses.field(
        default_factory=ClientLimits
    )
