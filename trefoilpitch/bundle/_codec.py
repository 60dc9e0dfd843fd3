"""Bundles as TOML, as operators write them, and as canonical MessagePack."""

from __future__ import annotations

import dataclasses
import hashlib
import tomllib
from collections.abc import Iterator

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.bundle._check import check_bundle
from trefoilpitch.bundle._exceptions import BundleError, Fault
from trefoilpitch.bundle._nodes import Bundle
from trefoilpitch.bundle._shape import ShapeReader

FORMAT_VERSION = 1
# The store holds values of up to a megabyte; the rest is left for the key.
MAX_ENCODED_BYTES = 900_000
_MAX_TEXT_BYTES = 4_000_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Envelope:
    # The version of the encoding.
    format: int
    # The bundle itself.
    bundle: Bundle


_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
_DECODER = msgspec.msgpack.Decoder(_Envelope)


def decode_bundle(text: str) -> Result[Bundle, BundleError]:
    """Reads and checks a bundle that operators wrote in TOML.

    Args:
        text: The whole file.

    Returns:
        The bundle, or every fault found in it.
    """
    if len(text) > _MAX_TEXT_BYTES:
        return _refused("", f"the file exceeds {_MAX_TEXT_BYTES} bytes")
    try:
        raw = tomllib.loads(text)
    except RecursionError:
        return _refused("", "the file nests too deeply")
    except ValueError as error:
        return _refused("", f"the file is not TOML: {error}")
    reader = ShapeReader()
    bundle = reader.read(raw, Bundle)
    faults = reader.faults + _without_echoes(
        check_bundle(bundle), reader.faults
    )
    if faults:
        return Failure(BundleError(faults=faults))
    return _within_size(bundle)


def encode_bundle(bundle: Bundle) -> bytes:
    """Returns the bundle's canonical encoding; equal bundles, equal bytes."""
    return _ENCODER.encode(_Envelope(format=FORMAT_VERSION, bundle=bundle))


def decode_encoded_bundle(data: bytes) -> Result[Bundle, BundleError]:
    """Reads what ``encode_bundle`` returned; its meaning is not checked."""
    try:
        envelope = _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        return _refused("", f"the encoded bundle is damaged: {error}")
    if envelope.format != FORMAT_VERSION:
        return _refused("format", f"{envelope.format} is not known")
    return Success(envelope.bundle)


def bundle_digest(bundle: Bundle) -> str:
    """Returns the SHA-256 of the canonical encoding, in hexadecimal."""
    return hashlib.sha256(encode_bundle(bundle)).hexdigest()


def token_digest(token: str) -> str:
    """Returns what ``Workspace.token_sha256`` holds for a bearer token."""
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).hexdigest()


def _refused(place: str, message: str) -> Result[Bundle, BundleError]:
    fault = Fault(place=place, message=message)
    return Failure(BundleError(faults=(fault,)))


def _without_echoes(
    faults: tuple[Fault, ...], earlier: tuple[Fault, ...]
) -> tuple[Fault, ...]:
    """Leaves out faults of placeholders, which stand for earlier faults."""
    places = {fault.place for fault in earlier}

    return tuple(
        fault
        for fault in faults
        if places.isdisjoint(_enclosing_places(fault.place))
    )


def _enclosing_places(place: str) -> Iterator[str]:
    """Yields ``a[0].b``, ``a[0]`` and ``a`` for the place ``a[0].b``."""
    yield place
    for index in range(len(place) - 1, 0, -1):
        if place[index] in ".[":
            yield place[:index]


def _within_size(bundle: Bundle) -> Result[Bundle, BundleError]:
    size = len(encode_bundle(bundle))
    if size > MAX_ENCODED_BYTES:
        return _refused(
            "", f"the bundle takes {size} bytes; at most {MAX_ENCODED_BYTES}"
        )
    return Success(bundle)
