"""Errors of store calls, by whether the call may have been applied."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreError:
    """Base of the errors of a store call."""

    # A description for logs and operators.
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotAppliedError(StoreError):
    """The call was not applied."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnavailableError(NotAppliedError):
    """The store refused the connection, or the call was never sent."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConflictError(NotAppliedError):
    """The key's revision was not the expected one."""

    # The key's revision when it was compared; 0 if it was absent.
    current_revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseNotFoundError(NotAppliedError):
    """The lease has expired or was revoked; its keys are deleted."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CompactedError(NotAppliedError):
    """The watch's events have been compacted: list the prefix again."""

    # The lowest revision from which a watch may still start.
    oldest_revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchClosedError(NotAppliedError):
    """The watch was cancelled by its owner."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeUnknownError(StoreError):
    """The call may have been applied: its response was lost or late.

    Read before writing again.
    """
