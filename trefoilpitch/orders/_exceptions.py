"""Why an engine gave no answer, and whether an order had an effect."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderError:
    """A call to an engine that did not succeed; one of the subclasses."""

    # What went wrong, for logs and operators.
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StaleFencingError(OrderError):
    """The engine has had an order with a higher fencing number."""

    # The highest number that the engine has had; None if it does not tell.
    highest_number: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderRejectedError(OrderError):
    """The engine cannot carry the order out, for want of memory perhaps."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionsUnknownError(OrderError):
    """The engine does not tell which versions it has: it gets no orders."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderNotSentError(OrderError):
    """The engine was not reached: the call had no effect."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderOutcomeUnknownError(OrderError):
    """The order may have taken effect, or may yet do so."""
