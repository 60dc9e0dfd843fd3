"""The record of one accepted change, as it travels to every node."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import TypeAlias

from returns.result import Failure, Result, Success

from trefoilpitch.bundle import apply_patch, bundle_digest, make_patch
from trefoilpitch.configuration._apply import apply_change
from trefoilpitch.configuration._changes import (
    AdvanceRollout,
    Change,
    ChangeBase,
    PauseRollout,
    ResumeRollout,
    RollBack,
    SetFailureDomain,
    SetVm,
    SignOffBundle,
    StartRollout,
    WithdrawVersion,
)
from trefoilpitch.configuration._nodes import Configuration

# Larger patches are left out of the delta; nodes fetch a snapshot instead.
MAX_PATCH_BYTES = 2_048


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PatchBundle(ChangeBase):
    """A sign-off recorded as the difference from the bundle before it."""

    # SHA-256 of the new bundle, in hexadecimal.
    bundle_digest: str
    # What ``apply_patch`` needs.
    patch: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplaceBundle(ChangeBase):
    """A sign-off too large to record; its result stands in a snapshot."""

    # SHA-256 of the new bundle, in hexadecimal.
    bundle_digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OpaqueChange(ChangeBase):
    """A change of a kind that this release does not know."""

    # The kind's name in the encoding.
    kind: str
    # The encoded change.
    body: bytes


RecordedChange: TypeAlias = (
    PatchBundle
    | ReplaceBundle
    | OpaqueChange
    | WithdrawVersion
    | SetFailureDomain
    | SetVm
    | StartRollout
    | AdvanceRollout
    | PauseRollout
    | ResumeRollout
    | RollBack
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """One accepted change and the revision that it made."""

    # The revision after the change.
    revision: int
    # What was changed.
    change: RecordedChange

    @property
    def change_id(self) -> str:
        """The id that whoever asked for the change chose."""
        return self.change.change_id


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeltaError:
    """A delta that cannot be applied here; a snapshot has to be fetched."""

    # Why not.
    message: str


def record_change(before: Configuration, change: Change) -> RecordedChange:
    """Returns the form in which a change is recorded.

    Args:
        before: The configuration that the change is applied to.
        change: A change that the rules accept.
    """
    if not isinstance(change, SignOffBundle):
        return change
    digest = bundle_digest(change.bundle)
    if before.bundle is not None:
        patch = make_patch(before.bundle, change.bundle)
        if len(patch) <= MAX_PATCH_BYTES:
            return PatchBundle(
                change_id=change.change_id,
                author=change.author,
                bundle_digest=digest,
                patch=patch,
            )
    return ReplaceBundle(
        change_id=change.change_id, author=change.author, bundle_digest=digest
    )


def is_record_of(recorded: RecordedChange, change: Change) -> bool:
    """Tells whether a record was made from a change."""
    if not isinstance(change, SignOffBundle):
        return recorded == change
    if not isinstance(recorded, PatchBundle | ReplaceBundle):
        return False
    return (recorded.author, recorded.bundle_digest) == (
        change.author,
        bundle_digest(change.bundle),
    )


def apply_delta(
    before: Configuration, delta: Delta
) -> Result[Configuration, DeltaError]:
    """Returns the configuration after a delta.

    Args:
        before: The configuration of the revision before the delta's.
        delta: The delta.
    """
    if delta.revision != before.revision + 1:
        return _fail(
            f"delta {delta.revision} does not follow {before.revision}"
        )
    change = delta.change
    if isinstance(change, PatchBundle):
        return _apply_patch(before, change)
    if isinstance(change, ReplaceBundle):
        return _fail(f"delta {delta.revision} is recorded without its bundle")
    if isinstance(change, OpaqueChange):
        return _fail(f"delta {delta.revision} is of kind {change.kind!r}")
    return apply_change(before, change).alt(
        lambda error: DeltaError(message=error.message)
    )


def apply_deltas(
    before: Configuration, deltas: Iterable[Delta]
) -> Result[Configuration, DeltaError]:
    """Applies the deltas above a configuration's revision, in order."""
    configuration = before
    for delta in deltas:
        if delta.revision <= configuration.revision:
            continue
        outcome = apply_delta(configuration, delta)
        if isinstance(outcome, Failure):
            return outcome
        configuration = outcome.unwrap()
    return Success(configuration)


def _apply_patch(
    before: Configuration, change: PatchBundle
) -> Result[Configuration, DeltaError]:
    if before.bundle is None:
        return _fail("a patch needs a bundle")
    patched = apply_patch(before.bundle, change.patch)
    if isinstance(patched, Failure):
        return _fail(str(patched.failure()))
    bundle = patched.unwrap()
    if bundle_digest(bundle) != change.bundle_digest:
        return _fail("the patched bundle has another digest")
    signed = SignOffBundle(
        change_id=change.change_id, author=change.author, bundle=bundle
    )
    return apply_change(before, signed).alt(
        lambda error: DeltaError(message=error.message)
    )


def _fail(message: str) -> Result[Configuration, DeltaError]:
    return Failure(DeltaError(message=message))
