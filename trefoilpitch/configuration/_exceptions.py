"""Errors of refused changes, encodings and commits."""

from __future__ import annotations

import dataclasses
import enum


class Refusal(enum.Enum):
    """Why the configuration rules refuse a change.

    Values are the problem codes of the admin API, with ``-`` for ``_``.
    """

    # The configuration already has the requested state.
    NO_EFFECT = "no_effect"
    # A name that the bundle does not contain, or an empty name.
    UNKNOWN_NAME = "unknown_name"
    # The change needs a bundle, but none has been signed off.
    NO_BUNDLE = "no_bundle"
    # The bundle fails its own validation.
    FAULTY_BUNDLE = "faulty_bundle"
    # The bundle's version is not higher than that of the bundle in force, or
    # its name differs.
    NOT_NEWER = "not_newer"
    # The change would serve a withdrawn version again.
    WITHDRAWN = "withdrawn"
    # Not allowed in the roll-out's current phase or step.
    WRONG_PHASE = "wrong_phase"
    # The change id belongs to a different, committed change.
    CHANGE_ID_REUSED = "change_id_reused"
    # The configuration would exceed the size limit of a store value.
    TOO_LARGE = "too_large"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeError:
    """A change that the configuration rules refuse."""

    refusal: Refusal
    # Shown to the operator.
    message: str

    def __str__(self) -> str:
        return self.message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CodecError:
    """Encoded data that is corrupted or has an unsupported format version."""

    # Describes the fault.
    message: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommitError:
    """A change that was not committed, or whose outcome is unknown.

    The subclasses tell the cases apart.
    """

    # Shown to the operator.
    message: str

    def __str__(self) -> str:
        return self.message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeRefusedError(CommitError):
    """The configuration rules refuse the change; nothing was written."""

    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RevisionConflictError(CommitError):
    """Another change was committed first; this one was not committed."""

    # The newest revision.
    current_revision: int
    # One line for each change after the base revision. Older changes are
    # missing if the head no longer lists them.
    changed_since: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreUnavailableError(CommitError):
    """The store is unavailable; nothing was committed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StaleStoreError(CommitError):
    """The store returned an older revision than the one in force.

    The read was stale, or the store has lost data. Nothing was written.
    """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreCorruptedError(CommitError):
    """The stored configuration cannot be decoded; nothing was committed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommitUnknownError(CommitError):
    """The change may be committed; retry with the same change id."""
