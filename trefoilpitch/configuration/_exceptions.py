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
