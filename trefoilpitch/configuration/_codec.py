"""MessagePack encodings of deltas, snapshots and the head record.

Snapshots and the head record carry a format version. The bytes of a delta of
an unknown kind are preserved, so that a fleet can run mixed releases.
"""

from __future__ import annotations

import dataclasses
import hashlib
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.bundle import Bundle, VersionRef
from trefoilpitch.configuration._changes import (
    AdvanceRollout,
    ChangeBase,
    PauseRollout,
    ResumeRollout,
    RollBack,
    SetFailureDomain,
    SetVm,
    StartRollout,
    WithdrawVersion,
)
from trefoilpitch.configuration._deltas import (
    Delta,
    OpaqueChange,
    PatchBundle,
    ReplaceBundle,
)
from trefoilpitch.configuration._exceptions import CodecError
from trefoilpitch.configuration._head import HeadRecord, SnapshotRef
from trefoilpitch.configuration._nodes import Configuration, RolloutState

FORMAT_VERSION = 1

_KINDS: dict[str, type[Any]] = {
    "patch_bundle": PatchBundle,
    "replace_bundle": ReplaceBundle,
    "withdraw_version": WithdrawVersion,
    "set_failure_domain": SetFailureDomain,
    "set_vm": SetVm,
    "start_rollout": StartRollout,
    "advance_rollout": AdvanceRollout,
    "pause_rollout": PauseRollout,
    "resume_rollout": ResumeRollout,
    "roll_back": RollBack,
}
_KIND_NAMES = {change_type: kind for kind, change_type in _KINDS.items()}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _DeltaRecord:
    # The revision after the change.
    revision: int
    # A key of ``_KINDS``, or the kind of a later release.
    kind: str
    # The encoded change.
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _SnapshotRecord:
    # ``FORMAT_VERSION`` of the writer.
    format: int
    # The fields of ``Configuration``, with sets as sorted tuples.
    revision: int
    bundle: Bundle | None
    withdrawn: tuple[VersionRef, ...]
    failure_domains_out: tuple[str, ...]
    vms_out: tuple[str, ...]
    rollouts: tuple[RolloutState, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _HeadEnvelope:
    # ``FORMAT_VERSION`` of the writer.
    format: int
    # The fields of ``HeadRecord``, with encoded deltas.
    revision: int
    digest: str
    snapshot: SnapshotRef | None
    previous: SnapshotRef | None
    deltas: tuple[bytes, ...]


_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
_BASE_DECODER = msgspec.msgpack.Decoder(ChangeBase)
_BODY_DECODERS = {
    kind: msgspec.msgpack.Decoder(change_type)
    for kind, change_type in _KINDS.items()
}
_DELTA_DECODER = msgspec.msgpack.Decoder(_DeltaRecord)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(_SnapshotRecord)
_HEAD_DECODER = msgspec.msgpack.Decoder(_HeadEnvelope)
_DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


def digest_of(data: bytes) -> str:
    """Returns the SHA-256 of encoded data, in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def encode_delta(delta: Delta) -> bytes:
    """Encodes a delta; an ``OpaqueChange`` keeps its original bytes."""
    change = delta.change
    if isinstance(change, OpaqueChange):
        kind, body = change.kind, change.body
    else:
        kind, body = _KIND_NAMES[type(change)], _ENCODER.encode(change)
    return _ENCODER.encode(
        _DeltaRecord(revision=delta.revision, kind=kind, body=body)
    )


def decode_delta(data: bytes) -> Result[Delta, CodecError]:
    """Decodes a delta; an unknown kind becomes an ``OpaqueChange``."""
    try:
        record = _DELTA_DECODER.decode(data)
        decoder = _BODY_DECODERS.get(record.kind)
        if decoder is not None:
            change = decoder.decode(record.body)
        else:
            base = _BASE_DECODER.decode(record.body)
            change = OpaqueChange(
                change_id=base.change_id,
                author=base.author,
                kind=record.kind,
                body=record.body,
            )
    except _DECODE_ERRORS as error:
        return Failure(CodecError(message=f"corrupted delta: {error}"))
    return Success(Delta(revision=record.revision, change=change))


def encode_snapshot(configuration: Configuration) -> bytes:
    """Returns the canonical encoding.

    Equal configurations have equal encodings, and thus equal digests.
    """
    return _ENCODER.encode(
        _SnapshotRecord(
            format=FORMAT_VERSION,
            revision=configuration.revision,
            bundle=configuration.bundle,
            withdrawn=tuple(sorted(configuration.withdrawn)),
            failure_domains_out=tuple(
                sorted(configuration.failure_domains_out)
            ),
            vms_out=tuple(sorted(configuration.vms_out)),
            rollouts=configuration.rollouts,
        )
    )


def decode_snapshot(
    data: bytes, digest: str
) -> Result[Configuration, CodecError]:
    """Decodes a snapshot after verifying its digest."""
    if digest_of(data) != digest:
        return Failure(CodecError(message="snapshot digest mismatch"))
    try:
        record = _SNAPSHOT_DECODER.decode(data)
    except _DECODE_ERRORS as error:
        return Failure(CodecError(message=f"corrupted snapshot: {error}"))
    if record.format != FORMAT_VERSION:
        return _unknown_format("snapshot", record.format)
    return Success(
        Configuration(
            revision=record.revision,
            bundle=record.bundle,
            withdrawn=frozenset(record.withdrawn),
            failure_domains_out=frozenset(record.failure_domains_out),
            vms_out=frozenset(record.vms_out),
            rollouts=record.rollouts,
        )
    )


def configuration_digest(configuration: Configuration) -> str:
    """Returns the SHA-256 of the canonical encoding, in hexadecimal."""
    return digest_of(encode_snapshot(configuration))


def encode_head(head: HeadRecord) -> bytes:
    """Encodes a head record."""
    return _ENCODER.encode(
        _HeadEnvelope(
            format=FORMAT_VERSION,
            revision=head.revision,
            digest=head.digest,
            snapshot=head.snapshot,
            previous=head.previous,
            deltas=tuple(encode_delta(delta) for delta in head.deltas),
        )
    )


def decode_head(data: bytes) -> Result[HeadRecord, CodecError]:
    """Decodes a head record."""
    try:
        envelope = _HEAD_DECODER.decode(data)
    except _DECODE_ERRORS as error:
        return Failure(CodecError(message=f"corrupted head: {error}"))
    if envelope.format != FORMAT_VERSION:
        return _unknown_format("head", envelope.format)
    deltas: list[Delta] = []
    for encoded in envelope.deltas:
        delta = decode_delta(encoded)
        if isinstance(delta, Failure):
            return delta
        deltas.append(delta.unwrap())
    return Success(
        HeadRecord(
            revision=envelope.revision,
            digest=envelope.digest,
            snapshot=envelope.snapshot,
            previous=envelope.previous,
            deltas=tuple(deltas),
        )
    )


def _unknown_format(what: str, version: int) -> Result[Any, CodecError]:
    message = f"format version {version} of the {what} is not supported"
    return Failure(CodecError(message=message))
