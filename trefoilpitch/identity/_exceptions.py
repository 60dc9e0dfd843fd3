"""Errors of idempotency keys and signed tokens."""


class IdentityError(Exception):
    """A key or token from a caller is invalid."""


class MalformedKeyError(IdentityError):
    """An idempotency key is empty, too long or has invalid characters."""


class InvalidTokenError(IdentityError):
    """A token is malformed, of another type or signed with an unknown key."""
