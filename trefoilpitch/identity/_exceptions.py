"""Errors of request keys and of signed tokens."""


class IdentityError(Exception):
    """A key or token that a caller sent cannot be used."""


class MalformedKeyError(IdentityError):
    """An idempotency key is empty, too long or has invalid characters."""


class InvalidTokenError(IdentityError):
    """A token is damaged, foreign or signed with an unknown key."""
