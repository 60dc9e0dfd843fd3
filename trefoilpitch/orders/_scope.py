"""Divides the engines among leases."""

from __future__ import annotations

import dataclasses

import xxhash

from trefoilpitch.bundle import Upstream


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineScope:
    """The engines that one lease's holder gives orders to.

    The number of shards is the same on every node: scopes of unlike numbers
    overlap, and their holders would take engines from each other.
    """

    # The engines' failure domain.
    failure_domain: str
    # Which of the failure domain's shards, from 0.
    shard: int = 0
    # Shards in the failure domain.
    shards: int = 1

    @property
    def lease_key(self) -> str:
        """The store's key of the scope's lease."""
        return f"leases/orders/{self.failure_domain}/{self.shard}"

    def covers(self, upstream: Upstream) -> bool:
        """Returns whether an engine belongs to the scope."""
        if upstream.failure_domain != self.failure_domain:
            return False
        digest = xxhash.xxh64_intdigest(upstream.name.encode())
        return bool(digest % self.shards == self.shard)


def engine_scopes(
    failure_domains: tuple[str, ...], shards: int
) -> tuple[EngineScope, ...]:
    """Returns scopes that cover every engine once."""
    return tuple(
        EngineScope(failure_domain=domain, shard=shard, shards=shards)
        for domain in failure_domains
        for shard in range(shards)
    )
