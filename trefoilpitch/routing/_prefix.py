"""Index of the prompt prefixes that upstreams have cached."""

from __future__ import annotations

import collections
import dataclasses

import xxhash

DEFAULT_BLOCK_CHARACTERS = 512
# Only the first 16,384 characters of a prompt are indexed by default.
DEFAULT_MAX_BLOCKS = 32


def prefix_blocks(
    prompt: str,
    block_characters: int = DEFAULT_BLOCK_CHARACTERS,
    max_blocks: int = DEFAULT_MAX_BLOCKS,
) -> tuple[int, ...]:
    """Returns a hash for each full block of a prompt, shortest prefix first.

    Each hash covers its block and all blocks before it, so equal hashes mean
    equal prefixes. A partial last block is omitted.
    """
    digest = xxhash.xxh64()
    blocks = []
    full_blocks = min(len(prompt) // block_characters, max_blocks)
    for index in range(full_blocks):
        start = index * block_characters
        digest.update(prompt[start : start + block_characters].encode())
        blocks.append(digest.intdigest())
    return tuple(blocks)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """A change of an upstream's prefix cache that the upstream published."""

    # Name of the upstream.
    upstream: str
    # The upstream's incarnation; a restart begins with an empty cache.
    incarnation: str
    # Increases by one with each event of the incarnation.
    sequence: int
    # Hashes of the prefixes that were added to the cache.
    stored: tuple[int, ...] = ()
    # Hashes of the prefixes that were evicted.
    evicted: tuple[int, ...] = ()


class _CachedBlocks:
    """Last known content of one upstream's cache, newest entries last."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.sequence: int | None = None
        self.blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def store(self, block: int, max_blocks: int) -> None:
        self.blocks[block] = None
        self.blocks.move_to_end(block)
        if len(self.blocks) > max_blocks:
            self.blocks.popitem(last=False)


class PrefixIndex:
    """Tracks the prefix caches of upstreams from delayed and lossy events.

    The index only guides the choice of an upstream: a stale entry costs a
    cache miss, never a wrong response. After a gap in the events, evictions
    may have been missed, so all entries of that upstream are discarded.
    Prompts that this node sends are indexed at once, without waiting for the
    upstream's event.

    Args:
        max_blocks: Most prefixes to keep of one upstream.
    """

    def __init__(self, max_blocks: int = 1_024) -> None:
        self._max_blocks = max_blocks
        self._caches: dict[str, _CachedBlocks] = {}
        self._gaps = 0

    @property
    def gaps(self) -> int:
        """Number of gaps in the event sequences of all upstreams so far."""
        return self._gaps

    def observe(self, event: CacheEvent) -> None:
        """Applies an event; duplicates and out-of-order events are ignored."""
        cache = self._cache(event.upstream, event.incarnation)
        last = cache.sequence
        if last is not None and event.sequence <= last:
            return
        if last is not None and event.sequence > last + 1:
            self._gaps += 1
            cache.blocks.clear()
        cache.sequence = event.sequence
        for block in event.evicted:
            cache.blocks.pop(block, None)
        for block in event.stored:
            cache.store(block, self._max_blocks)

    def record_sent(
        self, upstream: str, incarnation: str, blocks: tuple[int, ...]
    ) -> None:
        """Records that this node sent a prompt to an upstream."""
        cache = self._cache(upstream, incarnation)
        for block in blocks:
            cache.store(block, self._max_blocks)

    def remove_upstream(self, upstream: str) -> None:
        """Discards the entries of an upstream."""
        self._caches.pop(upstream, None)

    def holders(self, blocks: tuple[int, ...]) -> frozenset[str]:
        """Returns the upstreams that cache the longest prefix of a prompt.

        Args:
            blocks: The prompt's hashes, shortest prefix first.
        """
        for block in reversed(blocks):
            upstreams = frozenset(
                name
                for name, cache in self._caches.items()
                if block in cache.blocks
            )
            if upstreams:
                return upstreams
        return frozenset()

    def _cache(self, upstream: str, incarnation: str) -> _CachedBlocks:
        cache = self._caches.get(upstream)
        if cache is None or cache.incarnation != incarnation:
            cache = _CachedBlocks(incarnation)
            self._caches[upstream] = cache
        return cache
