"""What connects a request with other requests that harm upstreams like it.

A defect of an upstream's program may strike whenever a prompt holds a certain
part, or only for one request that comes again under new ids. The shared parts
of a prompt and the request as a whole are the traits that such requests have in
common; each trait is known by its digest.
"""

from __future__ import annotations

import dataclasses
import zlib
from collections.abc import Iterator

from trefoilpitch.gateway._messages import CallerRequest, PrefixPart

# Tells digests of whole requests from the 32-bit digests of prompt parts.
_WHOLE_REQUEST_BIT = 1 << 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestTraits:
    """The traits of one request."""

    request_id: str
    # The parts of its prompt that other prompts may share.
    parts: tuple[PrefixPart, ...]
    # Digest of its method, host, target, caller and body.
    fingerprint: int

    @property
    def digests(self) -> tuple[int, ...]:
        """Digests of all traits."""
        shared = (part_digest(part.part_id) for part in self.parts)
        return (*shared, self.fingerprint)

    def names(self) -> Iterator[tuple[str, int]]:
        """Yields each trait's name, for the log, and its digest."""
        for part in self.parts:
            yield part.part_id, part_digest(part.part_id)
        yield "request", self.fingerprint


def request_traits(
    request: CallerRequest, workspace: str | None
) -> RequestTraits:
    """Returns the traits of a request.

    Args:
        request: The request.
        workspace: The caller's workspace; None if the request has none.
    """
    digest = 0
    for field in (
        request.http.method,
        request.host.encode(),
        request.http.target,
        (workspace or "").encode(),
        request.http.body,
    ):
        # The length keeps fields apart that would be the same if joined.
        digest = zlib.crc32(b"%d:" % len(field), digest)
        digest = zlib.crc32(field, digest)
    return traits_with_fingerprint(request, digest | _WHOLE_REQUEST_BIT)


def traits_with_fingerprint(
    request: CallerRequest, fingerprint: int
) -> RequestTraits:
    """Returns the traits of a request whose digest is known.

    Args:
        request: The request; a peer that relays it does not know the caller.
        fingerprint: Its digest.
    """
    return RequestTraits(
        request_id=request.request_id,
        parts=request.prefix[:-1],
        fingerprint=fingerprint,
    )


def part_digest(part_id: str) -> int:
    """Returns a 32-bit digest of a prompt part's id."""
    return zlib.crc32(part_id.encode())


def is_whole_request(digest: int) -> bool:
    """Returns whether a trait's digest is that of a whole request."""
    return bool(digest & _WHOLE_REQUEST_BIT)


def trait_name(digest: int) -> str:
    """Returns a trait's digest as the log shows it."""
    return f"{digest:08x}"
