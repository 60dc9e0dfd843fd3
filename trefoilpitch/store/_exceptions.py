"""Why a call to the store gave no answer, and whether it had an effect."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreError:
    """A call that did not succeed; one of the subclasses below."""

    # What went wrong, for logs and operators.
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotAppliedError(StoreError):
    """The call certainly had no effect."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnavailableError(NotAppliedError):
    """The store refused the connection, or the call was never sent."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConflictError(NotAppliedError):
    """The key's revision was not the expected one."""

    # The key's revision at the comparison; 0 if it was absent.
    current_revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseNotFoundError(NotAppliedError):
    """The lease has expired or was revoked; its keys are gone."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CompactedError(NotAppliedError):
    """The watch's events are no longer kept: list the prefix again."""

    # The lowest revision from which a watch may still start.
    oldest_revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchClosedError(NotAppliedError):
    """The watch was cancelled by its owner."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeUnknownError(StoreError):
    """The call may have had its effect: the reply was lost or late.

    Read before writing again.
    """
