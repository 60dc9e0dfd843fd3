"""Errors of calls to engines, by whether an order can have had an effect."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderError:
    """Base of the errors of a failed call to an engine."""

    # Description of the error for state dumps and logs.
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StaleFencingError(OrderError):
    """The engine has received an order with a higher fencing number."""

    # Highest number that the engine has received; None if not reported.
    highest_number: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderRejectedError(OrderError):
    """The engine can't execute the order, for example for lack of memory."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionsUnknownError(OrderError):
    """The engine does not report its versions, so it is sent no orders."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderNotSentError(OrderError):
    """The call did not reach the engine and had no effect."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderOutcomeUnknownError(OrderError):
    """The order may have had an effect, or may still have one."""
