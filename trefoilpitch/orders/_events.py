"""Input events of a reconciler and the actions it returns."""

from __future__ import annotations

import dataclasses

from trefoilpitch.bundle import Upstream
from trefoilpitch.configuration import Configuration
from trefoilpitch.orders._exceptions import OrderError
from trefoilpitch.orders._types import EngineOrder, EngineStatus


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Periodic event that times out calls and starts due reads."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChanged:
    """Another configuration takes effect."""

    configuration: Configuration


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseAcquired:
    """The reconciler's lease was acquired, or acquired again."""

    # The lease's fencing number, sent with each order.
    fencing_number: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseLost:
    """The reconciler's lease was released or has expired."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusRead:
    """A read succeeded."""

    # The engine's name.
    engine: str
    # Id of the `ReadStatus` action.
    call_id: int
    status: EngineStatus


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderAccepted:
    """An engine accepted an order and is executing it."""

    # The engine's name.
    engine: str
    # Id of the `SendOrder` action.
    call_id: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallFailed:
    """A read or an order did not succeed."""

    # The engine's name.
    engine: str
    # Id of the `ReadStatus` or `SendOrder` action.
    call_id: int
    error: OrderError


Event = (
    Tick
    | ConfigurationChanged
    | LeaseAcquired
    | LeaseLost
    | StatusRead
    | OrderAccepted
    | CallFailed
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadStatus:
    """Read an engine's status."""

    # The engine.
    upstream: Upstream
    # Identifies the call in the event that ends it.
    call_id: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendOrder:
    """Send an order, provided that the lease is still valid when it is sent."""

    # The engine.
    upstream: Upstream
    # Identifies the call in the event that ends it.
    call_id: int
    order: EngineOrder


Action = ReadStatus | SendOrder
