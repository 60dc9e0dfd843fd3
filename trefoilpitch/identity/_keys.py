"""Idempotency keys and the incarnation that may run each of them.

Nodes issue key prefixes along with their entry list. A key with such a prefix
is a :class:`HomedKey`: it names its home, the only process incarnation that
may ever dispatch the request. Any other key is an :class:`UnprefixedKey`, which
must be registered in the store before dispatch.
"""

from __future__ import annotations

import dataclasses
import re
import secrets

from returns.result import Failure, Result, Success

from trefoilpitch.identity._exceptions import MalformedKeyError

MAX_KEY_LENGTH = 200

_KEY_FORMAT = "tp1"
_SEPARATOR = "."
_NONCE_BYTES = 6
_INCARNATION_BYTES = 4
_START_TIME_DIGITS = 12
_VALID_KEY = re.compile(r"[A-Za-z0-9._:~-]+\Z")
_HOMED_KEY = re.compile(
    rf"{_KEY_FORMAT}\.(?P<home>[A-Za-z0-9_-]+)\.(?P<issued>\d{{1,15}})"
    r"\.(?P<nonce>[0-9a-f]+)\.(?P<suffix>.+)\Z"
)


@dataclasses.dataclass(frozen=True, slots=True)
class HomedKey:
    """A key whose prefix was issued by a process incarnation."""

    # The complete key, as received.
    text: str
    # The incarnation that may run the request.
    home: str
    # Time of issue of the prefix, on the home's monotonic clock.
    issued_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnprefixedKey:
    """A key without an issued prefix."""

    # The complete key, as received.
    text: str


RequestKey = HomedKey | UnprefixedKey


def create_incarnation(node: str, wall_ms: int) -> str:
    """Returns a unique name for a run of a node's process.

    Args:
        node: The node's name; letters, digits and hyphens.
        wall_ms: Wall-clock time, by which the incarnations of a node sort.
    """
    started = f"{wall_ms:0{_START_TIME_DIGITS}x}"
    return f"{node}_{started}{secrets.token_hex(_INCARNATION_BYTES)}"


def node_of(incarnation: str) -> str:
    """Returns the name of the node of an incarnation."""
    return incarnation.rpartition("_")[0]


def issue_key_prefix(incarnation: str, now_ms: int) -> str:
    """Returns a new prefix, to which a caller appends its own suffix.

    Args:
        incarnation: The home of every key with the prefix.
        now_ms: Time on the home's monotonic clock.
    """
    nonce = secrets.token_hex(_NONCE_BYTES)
    parts = (_KEY_FORMAT, incarnation, str(now_ms), nonce, "")
    return _SEPARATOR.join(parts)


def parse_request_key(text: str) -> Result[RequestKey, MalformedKeyError]:
    """Parses the value of an ``Idempotency-Key`` header.

    Returns:
        The key, or an error if it is empty, longer than ``MAX_KEY_LENGTH``
        characters or has characters other than letters, digits and
        ``._:~-``.
    """
    if len(text) > MAX_KEY_LENGTH:
        message = f"the key is longer than {MAX_KEY_LENGTH} characters"
        return Failure(MalformedKeyError(message))
    if not _VALID_KEY.match(text):
        message = "the key must consist of letters, digits and ._:~-"
        return Failure(MalformedKeyError(message))
    homed = _HOMED_KEY.match(text)
    if homed is None:
        return Success(UnprefixedKey(text))
    return Success(HomedKey(text, homed["home"], int(homed["issued"])))
