"""Errors of the peer transport."""

from __future__ import annotations


class PeeringError(Exception):
    """Base of every error that the peer transport raises or returns."""


class MessageTooLargeError(PeeringError):
    """A payload does not fit into one frame.

    Args:
        kind: The payload's kind.
        size_bytes: Its encoded size.
        limit_bytes: Maximum size of an encoded message.
    """

    def __init__(self, kind: str, size_bytes: int, limit_bytes: int) -> None:
        super().__init__(
            f"{kind} message of {size_bytes} bytes exceeds {limit_bytes} bytes"
        )
        self.kind = kind
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes


class SendQueueFullError(PeeringError):
    """The send queue to one peer is full; the message was not queued.

    Args:
        address: The peer's address.
    """

    def __init__(self, address: str) -> None:
        super().__init__(f"send queue to {address} is full")
        self.address = address


class DialFailedError(PeeringError):
    """Dialling an address failed immediately, for example a malformed one.

    Args:
        address: The peer's address.
        cause: The error message of pynng.
    """

    def __init__(self, address: str, cause: str) -> None:
        super().__init__(f"cannot dial {address}: {cause}")
        self.address = address


class ListenFailedError(PeeringError):
    """The transport can't listen on its address.

    Args:
        address: The address to listen on.
        cause: The error message of pynng.
    """

    def __init__(self, address: str, cause: str) -> None:
        super().__init__(f"cannot listen on {address}: {cause}")
        self.address = address


class TransportClosedError(PeeringError):
    """The transport was closed before the message was queued."""
