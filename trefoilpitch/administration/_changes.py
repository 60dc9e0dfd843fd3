"""JSON request bodies of changes."""

from __future__ import annotations

from typing import Annotated, TypeAlias

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.bundle import VERSION_SEPARATOR, VersionRef, decode_bundle
from trefoilpitch.configuration import (
    AdvanceRollout,
    Change,
    PauseRollout,
    ResumeRollout,
    RollBack,
    SetFailureDomain,
    SetVm,
    SignOffBundle,
    StartRollout,
    WithdrawVersion,
)
from trefoilpitch.web import Problem

# The head lists the recent changes and has to fit in one value of the store.
_MAX_NAME_LENGTH = 128

_ChangeId = Annotated[
    str,
    msgspec.Meta(
        min_length=1, max_length=_MAX_NAME_LENGTH, pattern=r"^[!-~]+\Z"
    ),
]
_Author = Annotated[
    str,
    msgspec.Meta(
        min_length=1,
        max_length=_MAX_NAME_LENGTH,
        pattern=r"^[^\x00-\x1f\x7f-\x9f]+\Z",
    ),
]
_Revision = Annotated[int, msgspec.Meta(ge=0)]


class _ChangeBodyBase(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    change_id: _ChangeId
    author: _Author
    expected_revision: _Revision | None = None


class SignOffBody(_ChangeBodyBase, tag_field="kind", tag="sign-off"):
    """Signs off a bundle, which puts it in force."""

    bundle: str


class WithdrawBody(_ChangeBodyBase, tag_field="kind", tag="withdraw"):
    """Excludes a version from new work."""

    version: str


class FailureDomainBody(
    _ChangeBodyBase, tag_field="kind", tag="failure-domain"
):
    """Takes a failure domain out of service or returns it."""

    name: str
    in_service: bool


class VmBody(_ChangeBodyBase, tag_field="kind", tag="vm"):
    """Takes a VM out of service or returns it."""

    name: str
    in_service: bool
    # Accepts a VM name that the handling node does not know.
    allow_unknown: bool = False


class RolloutStartBody(_ChangeBodyBase, tag_field="kind", tag="rollout-start"):
    """Starts a planned roll-out."""

    version: str


class RolloutAdvanceBody(
    _ChangeBodyBase, tag_field="kind", tag="rollout-advance"
):
    """Advances a roll-out by one step."""

    model: str
    from_step: int


class RolloutPauseBody(_ChangeBodyBase, tag_field="kind", tag="rollout-pause"):
    """Pauses a roll-out at its current step."""

    model: str


class RolloutResumeBody(
    _ChangeBodyBase, tag_field="kind", tag="rollout-resume"
):
    """Lets a paused roll-out advance again."""

    model: str


class RolloutBackBody(_ChangeBodyBase, tag_field="kind", tag="rollout-back"):
    """Returns new sessions to the default version."""

    model: str


ChangeBody: TypeAlias = (
    SignOffBody
    | WithdrawBody
    | FailureDomainBody
    | VmBody
    | RolloutStartBody
    | RolloutAdvanceBody
    | RolloutPauseBody
    | RolloutResumeBody
    | RolloutBackBody
)


def decode_change_body(body: bytes) -> Result[ChangeBody, Problem]:
    """Decodes the request body of a change."""
    try:
        return Success(msgspec.json.decode(body, type=ChangeBody))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(_malformed_change(str(error)))


def to_change(body: ChangeBody) -> Result[Change, Problem]:
    """Converts a request body to the change that it describes."""
    if isinstance(body, SignOffBody):
        return _to_sign_off(body)
    if isinstance(body, WithdrawBody | RolloutStartBody):
        return _to_version_change(body)
    return Success(_to_named_change(body))


def _to_sign_off(body: SignOffBody) -> Result[Change, Problem]:
    decoded = decode_bundle(body.bundle)
    if not isinstance(decoded, Success):
        problem = Problem(
            status=422,
            code="faulty-bundle",
            title="the bundle has faults",
            detail=str(decoded.failure()),
        )
        return Failure(problem)
    return Success(
        SignOffBundle(
            change_id=body.change_id,
            author=body.author,
            bundle=decoded.unwrap(),
        )
    )


def _to_version_change(
    body: WithdrawBody | RolloutStartBody,
) -> Result[Change, Problem]:
    model, separator, version = body.version.partition(VERSION_SEPARATOR)
    if not (model and separator and version):
        detail = f"{body.version!r} is not written model@version"
        return Failure(_malformed_change(detail))
    if isinstance(body, WithdrawBody):
        return Success(
            WithdrawVersion(
                change_id=body.change_id,
                author=body.author,
                ref=VersionRef(model, version),
            )
        )
    return Success(
        StartRollout(
            change_id=body.change_id,
            author=body.author,
            model=model,
            to_version=version,
        )
    )


def _to_named_change(
    body: FailureDomainBody
    | VmBody
    | RolloutAdvanceBody
    | RolloutPauseBody
    | RolloutResumeBody
    | RolloutBackBody,
) -> Change:
    identity, author = body.change_id, body.author
    match body:
        case FailureDomainBody(name=name, in_service=in_service):
            return SetFailureDomain(
                change_id=identity,
                author=author,
                failure_domain=name,
                in_service=in_service,
            )
        case VmBody(name=name, in_service=in_service):
            return SetVm(
                change_id=identity,
                author=author,
                vm=name,
                in_service=in_service,
            )
        case RolloutAdvanceBody(model=model, from_step=step):
            return AdvanceRollout(
                change_id=identity, author=author, model=model, from_step=step
            )
        case RolloutPauseBody(model=model):
            return PauseRollout(change_id=identity, author=author, model=model)
        case RolloutResumeBody(model=model):
            return ResumeRollout(change_id=identity, author=author, model=model)
        case RolloutBackBody(model=model):
            return RollBack(change_id=identity, author=author, model=model)


def _malformed_change(detail: str) -> Problem:
    return Problem(
        status=400,
        code="malformed-change",
        title="the change cannot be understood",
        detail=detail,
    )
