"""Signed tokens that clients store, because the nodes share no state.

A :class:`Session` pins the model versions of a caller's requests. A
:class:`ResumePoint` identifies the engine that holds a response, so that any
node can resume its delivery.
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
    """The model versions that a caller's requests are pinned to."""

    # The workspace that the session belongs to.
    workspace: str
    # Random; determines which version the session gets during a roll-out.
    seed: str
    # At most one version of each model.
    pins: tuple[VersionRef, ...] = ()

    def pinned(self, model: str) -> VersionRef | None:
        """Returns the pinned version of a model; None if there is none."""
        return next((pin for pin in self.pins if pin.model == model), None)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResumePoint:
    """Where to resume the delivery of a response."""

    # The workspace that the request belongs to.
    workspace: str
    request_id: str
    # The engine that holds the response.
    upstream: str
    # The model version that generates the response.
    version: VersionRef
    # The task that the request named.
    task: str
    # The index of the request's attempt that gave the response, from 0.
    step: int = 0
    # The cost of the earlier attempts.
    spent: tuple[BillLine, ...] = ()


class TokenSigner:
    """Signs tokens and verifies those that callers send.

    Args:
        keys: Secrets shared by all nodes. The first one signs; all of them
            verify, so that secrets can be rotated.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        if not keys or not all(keys):
            raise ValueError("a token signer needs non-empty keys")
        self._keys = keys

    def sign_session(self, session: Session) -> str:
        """Returns the token of a session."""
        return self._sign(session)

    def read_session(self, token: str) -> Result[Session, InvalidTokenError]:
        """Verifies and decodes the token of a session."""
        return self._read(token, Session)

    def sign_resume_point(self, point: ResumePoint) -> str:
        """Returns the token of a resume point."""
        return self._sign(point)

    def read_resume_point(
        self, token: str
    ) -> Result[ResumePoint, InvalidTokenError]:
        """Verifies and decodes the token of a resume point."""
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
        if not self._has_valid_signature(signed[:_DIGEST_BYTES], body):
            return Failure(InvalidTokenError("the signature does not match"))
        return _decode_body(body, expected)

    def _has_valid_signature(self, digest: bytes, body: bytes) -> bool:
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
        return Failure(InvalidTokenError("the token is of another type"))
    try:
        return Success(msgspec.msgpack.decode(encoded, type=expected))
    except msgspec.DecodeError:
        return Failure(InvalidTokenError("the token's content is malformed"))


def _digest(key: bytes, body: bytes) -> bytes:
    return hmac.digest(key, body, hashlib.sha256)[:_DIGEST_BYTES]
