"""Decodes bundles from TOML and encodes them as canonical MessagePack."""

from __future__ import annotations

import dataclasses
import hashlib
import tomllib
from collections.abc import Iterator

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.bundle._check import check_bundle
from trefoilpitch.bundle._exceptions import BundleError, Fault
from trefoilpitch.bundle._schema import Bundle
from trefoilpitch.bundle._schema_reader import SchemaReader

FORMAT_VERSION = 1
# The store accepts values of up to 1 MB; the rest is left for the key.
MAX_ENCODED_BYTES = 900_000
_MAX_TEXT_BYTES = 4_000_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Envelope:
    # The version of the encoding.
    format: int
    bundle: Bundle


_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
_DECODER = msgspec.msgpack.Decoder(_Envelope)


def decode_bundle(text: str) -> Result[Bundle, BundleError]:
    """Decodes and validates a bundle in TOML, as operators write it.

    Args:
        text: The content of the file.

    Returns:
        The bundle, or every fault found in it.
    """
    if len(text) > _MAX_TEXT_BYTES:
        return _failure("", f"the file exceeds {_MAX_TEXT_BYTES} bytes")
    try:
        raw = tomllib.loads(text)
    except RecursionError:
        return _failure("", "the file is nested too deeply")
    except ValueError as error:
        return _failure("", f"the file is not TOML: {error}")
    reader = SchemaReader()
    bundle = reader.read(raw, Bundle)
    faults = reader.faults + _without_placeholder_faults(
        check_bundle(bundle), reader.faults
    )
    if faults:
        return Failure(BundleError(faults=faults))
    return _check_size(bundle)


def encode_bundle(bundle: Bundle) -> bytes:
    """Returns the canonical encoding: equal bundles give equal bytes."""
    return _ENCODER.encode(_Envelope(format=FORMAT_VERSION, bundle=bundle))


def decode_encoded_bundle(data: bytes) -> Result[Bundle, BundleError]:
    """Decodes the output of ``encode_bundle``, without semantic validation."""
    try:
        envelope = _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        return _failure("", f"the encoded bundle is malformed: {error}")
    if envelope.format != FORMAT_VERSION:
        return _failure("format", f"unknown encoding version {envelope.format}")
    return Success(envelope.bundle)


def bundle_digest(bundle: Bundle) -> str:
    """Returns the SHA-256 of the canonical encoding, in hexadecimal."""
    return hashlib.sha256(encode_bundle(bundle)).hexdigest()


def token_digest(token: str) -> str:
    """Returns the ``Workspace.token_sha256`` of a bearer token."""
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).hexdigest()


def _failure(place: str, message: str) -> Result[Bundle, BundleError]:
    fault = Fault(place=place, message=message)
    return Failure(BundleError(faults=(fault,)))


def _without_placeholder_faults(
    faults: tuple[Fault, ...], earlier: tuple[Fault, ...]
) -> tuple[Fault, ...]:
    """Drops faults at a place, or inside a place, with an earlier fault.

    Such a place holds a placeholder, whose value may be invalid itself.
    """
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


def _check_size(bundle: Bundle) -> Result[Bundle, BundleError]:
    size = len(encode_bundle(bundle))
    if size > MAX_ENCODED_BYTES:
        return _failure(
            "",
            f"the encoded bundle has {size} bytes; at most "
            f"{MAX_ENCODED_BYTES} are allowed",
        )
    return Success(bundle)
