"""Why a change to the configuration was refused."""

from __future__ import annotations

import dataclasses
import enum


class Refusal(enum.Enum):
    """The kinds of refusal that the rules of the configuration know."""

    # The configuration is in the wanted state already.
    NO_EFFECT = "no_effect"
    # A name that the bundle does not hold.
    UNKNOWN_NAME = "unknown_name"
    # The change needs a bundle and none is signed off.
    NO_BUNDLE = "no_bundle"
    # The bundle itself has faults.
    FAULTY_BUNDLE = "faulty_bundle"
    # The bundle is not newer than the one in force, or is another's.
    NOT_NEWER = "not_newer"
    # The change would bring back a withdrawn version.
    WITHDRAWN = "withdrawn"
    # The roll-out's phase or step does not admit the change.
    WRONG_PHASE = "wrong_phase"
    # The change id was used for another change.
    CHANGE_ID_REUSED = "change_id_reused"
    # The configuration would no longer fit in one value of the store.
    TOO_LARGE = "too_large"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeError:
    """A change that the rules of the configuration refuse."""

    # The kind of refusal.
    refusal: Refusal
    # What to tell the operator.
    message: str

    def __str__(self) -> str:
        return self.message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CodecError:
    """Encoded data that is damaged or of an unknown format."""

    # What is wrong with it.
    message: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommitError:
    """A change that was not committed, or not known to be; see subclasses."""

    # What to tell the operator.
    message: str

    def __str__(self) -> str:
        return self.message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeRefusedError(CommitError):
    """The rules refuse the change; nothing was written."""

    # The kind of refusal.
    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RevisionConflictError(CommitError):
    """Others changed the configuration first; nothing was committed."""

    # The newest revision.
    current_revision: int
    # What changed since the revision that the change was based on, one line
    # each; the newest only if there were very many.
    changed_since: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreUnavailableError(CommitError):
    """The store could not be asked; nothing was committed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreBehindError(CommitError):
    """The store shows an older revision than is in force; nothing was written.

    The read was stale, or the store has lost data.
    """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreDamagedError(CommitError):
    """What the store holds cannot be read; nothing was committed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommitUnknownError(CommitError):
    """The change may be committed: ask again with the same change id."""
