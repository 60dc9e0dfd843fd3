"""What the requests of a daemon share."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import FleetView
from trefoilpitch.gateway._dispatcher import Dispatcher
from trefoilpitch.gateway._health import PaceBook
from trefoilpitch.gateway._messages import RequestCodec
from trefoilpitch.gateway._model_tiers import ModelChoice
from trefoilpitch.metrics import Metrics
from trefoilpitch.retries import WindowedRetryBudget


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FlowServices:
    """What the requests of a daemon share."""

    # What the fleet shares.
    view: FleetView
    # Chooses upstreams.
    dispatcher: Dispatcher
    # Translates messages.
    codec: RequestCodec
    # Monotonic time.
    clock: Clock
    # The retry budget of a service.
    budget: Callable[[str], WindowedRetryBudget]
    # Usual latencies.
    pace: PaceBook
    # Chooses among the models of a route.
    models: ModelChoice
    # Counters and latencies.
    metrics: Metrics
    # Whether the configuration is known to be the newest.
    is_current: Callable[[], bool]
    # Whether the store is known to be away.
    store_away: Callable[[], bool]
