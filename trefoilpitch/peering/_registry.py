"""Registry of the payload types that daemons send to each other."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import Any

import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class PayloadKind:
    """Maps a kind name on the wire to the type of its payload."""

    # Name on the wire, ``package.message``; never reused for another type.
    name: str
    # A frozen data class or a frozen ``msgspec.Struct``.
    payload_type: type[Any]


class PayloadRegistry:
    """Encodes and decodes the payloads of registered kinds.

    Args:
        kinds: Every kind that the process sends or receives.

    Raises:
        ValueError: If a name or a type is registered twice.
    """

    def __init__(self, kinds: Iterable[PayloadKind]) -> None:
        self._names: dict[type[Any], str] = {}
        self._decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}
        self._encoder = msgspec.msgpack.Encoder()
        for kind in kinds:
            self._add(kind)

    def kind_of(self, payload: object) -> str:
        """Returns the kind of a payload.

        Raises:
            KeyError: If the payload's type was never registered.
        """
        return self._names[type(payload)]

    def is_registered(self, kind: str) -> bool:
        """Returns whether a kind name is registered."""
        return kind in self._decoders

    def encode(self, payload: object) -> bytes:
        """Encodes a payload as MessagePack."""
        return self._encoder.encode(payload)

    def decode(self, kind: str, data: bytes | msgspec.Raw) -> object:
        """Decodes a payload of a registered kind.

        Raises:
            msgspec.MsgspecError: If the data does not match the kind's type.
            KeyError: If the kind is not registered.
        """
        return self._decoders[kind].decode(data)

    def _add(self, kind: PayloadKind) -> None:
        if kind.name in self._decoders:
            raise ValueError(f"payload kind {kind.name} is registered twice")
        if kind.payload_type in self._names:
            raise ValueError(
                f"payload type {kind.payload_type.__name__} is registered twice"
            )
        self._names[kind.payload_type] = kind.name
        self._decoders[kind.name] = msgspec.msgpack.Decoder(kind.payload_type)


def create_payload_registry(
    *groups: Iterable[PayloadKind],
) -> PayloadRegistry:
    """Builds a registry from the payload kinds of several packages.

    Raises:
        ValueError: If a name or a type is registered twice.
    """
    return PayloadRegistry(kind for group in groups for kind in group)
