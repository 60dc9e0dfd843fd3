"""Partitions the engines into scopes, each with a lease of its own."""

from __future__ import annotations

import dataclasses

import xxhash

from trefoilpitch.bundle import Upstream


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineScope:
    """The engines that are controlled by the holder of one lease.

    The number of shards must be the same on every node. Scopes with different
    numbers of shards overlap, and their holders would send conflicting orders
    to the same engines.
    """

    # The engines' failure domain.
    failure_domain: str
    # Index of the shard in the failure domain, from 0.
    shard: int = 0
    # Number of shards in the failure domain.
    shards: int = 1

    @property
    def lease_key(self) -> str:
        """Key of the scope's lease in the store."""
        return f"leases/orders/{self.failure_domain}/{self.shard}"

    def covers(self, upstream: Upstream) -> bool:
        """Returns whether an engine is in the scope."""
        if upstream.failure_domain != self.failure_domain:
            return False
        digest = xxhash.xxh64_intdigest(upstream.name.encode())
        return bool(digest % self.shards == self.shard)


def engine_scopes(
    failure_domains: tuple[str, ...], shards: int
) -> tuple[EngineScope, ...]:
    """Returns scopes that together cover every engine exactly once."""
    return tuple(
        EngineScope(failure_domain=domain, shard=shard, shards=shards)
        for domain in failure_domains
        for shard in range(shards)
    )
