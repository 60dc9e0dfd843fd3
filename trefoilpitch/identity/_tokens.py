"""Signed tokens that callers keep for the nodes, which share no state.

A :class:`Session` pins the versions that a caller's requests use. A
:class:`ResumePoint` says which engine holds an answer, so that any node can
carry on delivering it.
"""

from __future__ import annotations

import base64
import binascii
import dataclasses
import hashlib
import hmac
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.bundle import VersionRef
from trefoilpitch.identity._exceptions import InvalidTokenError
from trefoilpitch.ledger import BillLine

MAX_TOKEN_LENGTH = 4_096

_DIGEST_BYTES = 16
_Payload = TypeVar("_Payload")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """The versions that one caller's requests keep using."""

    # The workspace that the session belongs to.
    workspace: str
    # Chosen at random; decides the session's side of a roll-out.
    seed: str
    # At most one version of each model.
    pins: tuple[VersionRef, ...] = ()

    def pinned(self, model: str) -> VersionRef | None:
        """Returns the version of the model that the session keeps."""
        return next((pin for pin in self.pins if pin.model == model), None)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResumePoint:
    """Where an answer that is being delivered can be taken up again."""

    # The workspace that the answer belongs to.
    workspace: str
    # The request that it answers.
    request_id: str
    # The engine that holds it.
    upstream: str
    # The version that generates it.
    version: VersionRef
    # The task that the request named.
    task: str
    # Which attempt at the request the answer is.
    step: int = 0
    # What earlier attempts at the request cost.
    spent: tuple[BillLine, ...] = ()


class TokenSigner:
    """Signs tokens and checks those that callers return.

    Args:
        keys: Secrets shared by all nodes. The first one signs; the others
            are accepted too while a new secret replaces an old one.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        if not keys or not all(keys):
            raise ValueError("a token signer needs non-empty keys")
        self._keys = keys

    def sign_session(self, session: Session) -> str:
        """Returns the token that stands for a session."""
        return self._sign(session)

    def read_session(self, token: str) -> Result[Session, InvalidTokenError]:
        """Returns the session that a token stands for."""
        return self._read(token, Session)

    def sign_resume_point(self, point: ResumePoint) -> str:
        """Returns the token that stands for a resume point."""
        return self._sign(point)

    def read_resume_point(
        self, token: str
    ) -> Result[ResumePoint, InvalidTokenError]:
        """Returns the resume point that a token stands for."""
        return self._read(token, ResumePoint)

    def _sign(self, payload: Session | ResumePoint) -> str:
        body = _encode_body(payload)
        signed = _digest(self._keys[0], body) + body
        return base64.urlsafe_b64encode(signed).decode("ascii")

    def _read(
        self, token: str, expected: type[_Payload]
    ) -> Result[_Payload, InvalidTokenError]:
        if len(token) > MAX_TOKEN_LENGTH:
            return Failure(InvalidTokenError("the token is too long"))
        try:
            signed = base64.b64decode(token, altchars=b"-_", validate=True)
        except (binascii.Error, ValueError):
            return Failure(InvalidTokenError("the token is not Base64"))
        body = signed[_DIGEST_BYTES:]
        if not self._is_genuine(signed[:_DIGEST_BYTES], body):
            return Failure(InvalidTokenError("the signature does not match"))
        return _decode_body(body, expected)

    def _is_genuine(self, digest: bytes, body: bytes) -> bool:
        matches = [
            hmac.compare_digest(digest, _digest(key, body))
            for key in self._keys
        ]
        return any(matches)


def _encode_body(payload: Session | ResumePoint) -> bytes:
    kind = type(payload).__name__.encode("ascii")
    return kind + b"\n" + msgspec.msgpack.encode(payload)


def _decode_body(
    body: bytes, expected: type[_Payload]
) -> Result[_Payload, InvalidTokenError]:
    kind, _, encoded = body.partition(b"\n")
    if kind != expected.__name__.encode("ascii"):
        return Failure(InvalidTokenError("the token is of another kind"))
    try:
        return Success(msgspec.msgpack.decode(encoded, type=expected))
    except msgspec.DecodeError:
        return Failure(InvalidTokenError("the token's content is damaged"))


def _digest(key: bytes, body: bytes) -> bytes:
    return hmac.digest(key, body, hashlib.sha256)[:_DIGEST_BYTES]
