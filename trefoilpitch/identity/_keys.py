"""Idempotency keys and the one node that may run each of them.

A node hands out key prefixes with its entry list. A key with such a prefix is
a :class:`HomedKey`: it names the process incarnation that is its home, and
only that incarnation may ever dispatch the request. Any other key is a
:class:`UnprefixedKey` and needs a registration in the store before dispatch.
"""

from __future__ import annotations

import dataclasses
import re
import secrets

from returns.result import Failure, Result, Success

from trefoilpitch.identity._exceptions import MalformedKeyError

MAX_KEY_LENGTH = 200

_MARK = "tp1"
_SEPARATOR = "."
_NONCE_BYTES = 6
_INCARNATION_BYTES = 4
_START_DIGITS = 12
_VALID = re.compile(r"[A-Za-z0-9._:~-]+\Z")
_HOMED = re.compile(
    rf"{_MARK}\.(?P<home>[A-Za-z0-9_-]+)\.(?P<issued>\d{{1,15}})"
    r"\.(?P<nonce>[0-9a-f]+)\.(?P<suffix>.+)\Z"
)


@dataclasses.dataclass(frozen=True, slots=True)
class HomedKey:
    """A key that one process incarnation issued the prefix of."""

    # The whole key as the caller sent it.
    text: str
    # The incarnation that may run the request.
    home: str
    # When the prefix was issued, on the home's monotonic clock.
    issued_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnprefixedKey:
    """A key that the caller made up on its own."""

    # The whole key as the caller sent it.
    text: str


RequestKey = HomedKey | UnprefixedKey


def create_incarnation(node: str, wall_ms: int) -> str:
    """Returns a name for one run of a node's process, never used before.

    Args:
        node: The node's name; letters, digits and hyphens.
        wall_ms: Wall time; later incarnations of a node sort higher.
    """
    started = f"{wall_ms:0{_START_DIGITS}x}"
    return f"{node}_{started}{secrets.token_hex(_INCARNATION_BYTES)}"


def node_of(incarnation: str) -> str:
    """Returns the name of the node that an incarnation ran on."""
    return incarnation.rpartition("_")[0]


def issue_key_prefix(incarnation: str, now_ms: int) -> str:
    """Returns a prefix to which a caller adds a suffix of its own.

    Args:
        incarnation: The home of every key made from the prefix.
        now_ms: Time on the home's monotonic clock.
    """
    nonce = secrets.token_hex(_NONCE_BYTES)
    parts = (_MARK, incarnation, str(now_ms), nonce, "")
    return _SEPARATOR.join(parts)


def parse_request_key(text: str) -> Result[RequestKey, MalformedKeyError]:
    """Reads the ``Idempotency-Key`` that a caller sent.

    Returns:
        The key, or an error where it is empty, longer than
        ``MAX_KEY_LENGTH`` characters or has characters outside letters,
        digits and ``._:~-``.
    """
    if len(text) > MAX_KEY_LENGTH:
        message = f"the key is longer than {MAX_KEY_LENGTH} characters"
        return Failure(MalformedKeyError(message))
    if not _VALID.match(text):
        message = "the key may hold letters, digits and ._:~- only"
        return Failure(MalformedKeyError(message))
    homed = _HOMED.match(text)
    if homed is None:
        return Success(UnprefixedKey(text))
    return Success(HomedKey(text, homed["home"], int(homed["issued"])))
