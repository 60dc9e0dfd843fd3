"""Deltas: committed changes as they are stored and replicated."""

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

# A delta leaves out larger patches; nodes then read a snapshot instead.
MAX_PATCH_BYTES = 2_048


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PatchBundle(ChangeBase):
    """A sign-off recorded as a patch of the previous bundle."""

    # SHA-256 of the new bundle, in hexadecimal.
    bundle_digest: str
    # Input of ``apply_patch``.
    patch: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplaceBundle(ChangeBase):
    """A sign-off recorded by digest only; a snapshot holds the bundle.

    Used for the first bundle and for patches above ``MAX_PATCH_BYTES``.
    """

    # SHA-256 of the new bundle, in hexadecimal.
    bundle_digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OpaqueChange(ChangeBase):
    """A change of a kind that this release does not support.

    It is replicated unchanged, but cannot be applied.
    """

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
    """One committed change and the revision that it created."""

    # The revision after the change.
    revision: int
    change: RecordedChange

    @property
    def change_id(self) -> str:
        """The change id that the requester chose."""
        return self.change.change_id


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeltaError:
    """A delta that cannot be applied; the caller needs a snapshot instead."""

    # Describes the cause.
    message: str


def record_change(before: Configuration, change: Change) -> RecordedChange:
    """Returns the form in which a change is recorded in a delta.

    Args:
        before: The configuration that the change is applied to.
        change: A change that ``apply_change`` accepts.
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


def records_change(recorded: RecordedChange, change: Change) -> bool:
    """Returns whether a recorded change was made from a requested one."""
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
        before: The configuration at the revision before the delta's.
        delta: The delta to apply.
    """
    if delta.revision != before.revision + 1:
        return _fail(
            f"delta {delta.revision} does not follow revision {before.revision}"
        )
    change = delta.change
    if isinstance(change, PatchBundle):
        return _apply_patch(before, change)
    if isinstance(change, ReplaceBundle):
        return _fail(f"delta {delta.revision} does not contain its bundle")
    if isinstance(change, OpaqueChange):
        return _fail(
            f"delta {delta.revision} has the unsupported kind {change.kind!r}"
        )
    return apply_change(before, change).alt(
        lambda error: DeltaError(message=error.message)
    )


def apply_deltas(
    before: Configuration, deltas: Iterable[Delta]
) -> Result[Configuration, DeltaError]:
    """Applies deltas in order, skipping those already applied."""
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
        return _fail("there is no bundle to patch")
    patched = apply_patch(before.bundle, change.patch)
    if isinstance(patched, Failure):
        return _fail(str(patched.failure()))
    bundle = patched.unwrap()
    if bundle_digest(bundle) != change.bundle_digest:
        return _fail("digest mismatch of the patched bundle")
    signed = SignOffBundle(
        change_id=change.change_id, author=change.author, bundle=bundle
    )
    return apply_change(before, signed).alt(
        lambda error: DeltaError(message=error.message)
    )


def _fail(message: str) -> Result[Configuration, DeltaError]:
    return Failure(DeltaError(message=message))
