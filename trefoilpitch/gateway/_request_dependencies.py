"""Collaborators that all requests of a daemon share."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import FleetView
from trefoilpitch.gateway._cut_attempts import CutAttempts
from trefoilpitch.gateway._dispatcher import Dispatcher
from trefoilpitch.gateway._health import ExpectedLatencies
from trefoilpitch.gateway._messages import RequestCodec
from trefoilpitch.gateway._model_tiers import ModelSelector
from trefoilpitch.gateway._quarantine import Quarantine
from trefoilpitch.gateway._relays import Relays
from trefoilpitch.gateway._upstream_links import UpstreamLinks
from trefoilpitch.gateway._upstream_waiter import UpstreamWaiter
from trefoilpitch.metrics import Metrics
from trefoilpitch.retries import WindowedRetryBudget


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestDependencies:
    """Collaborators that all requests of a daemon share."""

    # Local copy of the shared fleet state.
    view: FleetView
    dispatcher: Dispatcher
    # Name of this VM.
    own_name: str
    # Connects to upstreams.
    links: UpstreamLinks
    # Peers that relay requests to upstreams.
    relays: Relays
    # The requests that wait for an upstream.
    waiter: UpstreamWaiter
    codec: RequestCodec
    clock: Clock
    # Returns the retry budget of a service.
    budget: Callable[[str], WindowedRetryBudget]
    expected_latencies: ExpectedLatencies
    # Selects a model on routes with model tiers.
    models: ModelSelector
    metrics: Metrics
    # Learns which traits of requests end upstreams.
    cut_attempts: CutAttempts
    # Refuses requests with traits that end upstreams.
    quarantine: Quarantine
    # Whether no newer configuration can have been missed.
    is_current: Callable[[], bool]
    # Whether the store is known to be unavailable.
    store_unavailable: Callable[[], bool]
