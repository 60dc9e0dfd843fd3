"""Idempotency keys, and signed tokens that clients store for the nodes."""

from trefoilpitch.identity._exceptions import (
    IdentityError,
    InvalidTokenError,
    MalformedKeyError,
)
from trefoilpitch.identity._keys import (
    MAX_KEY_LENGTH,
    HomedKey,
    RequestKey,
    UnprefixedKey,
    create_incarnation,
    issue_key_prefix,
    node_of,
    parse_request_key,
)
from trefoilpitch.identity._tokens import (
    MAX_TOKEN_LENGTH,
    ResumePoint,
    Session,
    TokenSigner,
)

__all__ = [
    "MAX_KEY_LENGTH",
    "MAX_TOKEN_LENGTH",
    "UnprefixedKey",
    "HomedKey",
    "RequestKey",
    "ResumePoint",
    "Session",
    "TokenSigner",
    "create_incarnation",
    "issue_key_prefix",
    "node_of",
    "parse_request_key",
    "IdentityError",
    "InvalidTokenError",
    "MalformedKeyError",
]
