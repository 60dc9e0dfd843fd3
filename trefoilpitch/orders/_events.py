"""What happens to a reconciler and what it asks for."""

from __future__ import annotations

import dataclasses

from trefoilpitch.bundle import Upstream
from trefoilpitch.configuration import Configuration
from trefoilpitch.orders._exceptions import OrderError
from trefoilpitch.orders._types import EngineOrder, EngineStatus


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChanged:
    """Another configuration is in force."""

    # The configuration.
    configuration: Configuration


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TermBegan:
    """The reconciler's lease was won."""

    # The fencing number of the lease.
    fencing_number: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TermEnded:
    """The reconciler's lease is no longer valid."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusRead:
    """An engine told its status."""

    # The engine's name.
    engine: str
    # The call that it answers.
    call_id: int
    # The status.
    status: EngineStatus


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderAccepted:
    """An engine has begun to carry an order out."""

    # The engine's name.
    engine: str
    # The call that it answers.
    call_id: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallFailed:
    """A read or an order did not succeed."""

    # The engine's name.
    engine: str
    # The call that failed.
    call_id: int
    # Why.
    error: OrderError


Event = (
    Tick
    | ConfigurationChanged
    | TermBegan
    | TermEnded
    | StatusRead
    | OrderAccepted
    | CallFailed
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadStatus:
    """Asks for an engine's status to be read."""

    # The engine.
    upstream: Upstream
    # Names the call in its reply.
    call_id: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendOrder:
    """Asks for an order to be sent, if the lease is still valid then."""

    # The engine.
    upstream: Upstream
    # Names the call in its reply.
    call_id: int
    # The order.
    order: EngineOrder


Action = ReadStatus | SendOrder
