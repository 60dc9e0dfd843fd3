"""Short identifiers of upstreams for the daemons' heartbeats.

Load pattern: each of hundreds of daemons tells all others about dozens of
upstreams every second, partly over links between failure domains.
"""

from __future__ import annotations

import functools
import zlib

from trefoilpitch.fleet import UpstreamEntry

# More than the upstreams that a daemon follows at a time.
_CACHED_DIGESTS = 8_192


@functools.lru_cache(maxsize=_CACHED_DIGESTS)
def upstream_digest(upstream_id: str) -> int:
    """Returns a 32-bit digest of an upstream's id.

    Two upstreams with the same digest share their peers' figures, which only
    makes a placement less exact.
    """
    return zlib.crc32(upstream_id.encode())


def run_digest(entry: UpstreamEntry) -> int:
    """Returns a 32-bit digest of one run of an upstream."""
    run = f"{entry.upstream_id}@{entry.started_wall_ms}"
    return zlib.crc32(run.encode())
