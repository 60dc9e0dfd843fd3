"""Which upstreams are believed to hold the prefix of a prompt."""

from __future__ import annotations

import collections
import dataclasses

import xxhash

DEFAULT_BLOCK_CHARACTERS = 512
DEFAULT_MAX_BLOCKS = 32


def prefix_blocks(
    prompt: str,
    block_characters: int = DEFAULT_BLOCK_CHARACTERS,
    max_blocks: int = DEFAULT_MAX_BLOCKS,
) -> tuple[int, ...]:
    """Returns a hash for each whole block of a prompt, shortest prefix first.

    Each hash covers the block and all before it, so equal hashes mean equal
    prefixes. A last block that is not full is left out.
    """
    digest = xxhash.xxh64()
    blocks = []
    whole = min(len(prompt) // block_characters, max_blocks)
    for index in range(whole):
        start = index * block_characters
        digest.update(prompt[start : start + block_characters].encode())
        blocks.append(digest.intdigest())
    return tuple(blocks)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """A change of an upstream's prefix cache, as it published it."""

    # The upstream.
    upstream: str
    # The upstream's incarnation.
    incarnation: str
    # Grows by one with each event of the incarnation.
    sequence: int
    # Hashes of the prefixes that it stored.
    stored: tuple[int, ...] = ()
    # Hashes of the prefixes that it evicted.
    evicted: tuple[int, ...] = ()


class _Cache:
    """What is believed of one upstream's cache, newest entries last."""

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
    """Follows the prefix caches of upstreams from late and lossy events.

    A wrong belief costs a cache miss, never a wrong answer. After a gap in
    the events evictions may have been missed, so what was believed is
    dropped. Prompts that this node sends are believed to be cached at once,
    without waiting for the event.

    Args:
        max_blocks: Most prefixes to remember of one upstream.
    """

    def __init__(self, max_blocks: int = 1_024) -> None:
        self._max_blocks = max_blocks
        self._caches: dict[str, _Cache] = {}
        self._gaps = 0

    @property
    def gaps(self) -> int:
        """Gaps seen in the events of all upstreams."""
        return self._gaps

    def observe(self, event: CacheEvent) -> None:
        """Takes in an event; late duplicates change nothing."""
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
        """Notes a prompt that this node sent to an upstream."""
        cache = self._cache(upstream, incarnation)
        for block in blocks:
            cache.store(block, self._max_blocks)

    def remove_upstream(self, upstream: str) -> None:
        """Drops what is believed of an upstream that left."""
        self._caches.pop(upstream, None)

    def holders(self, blocks: tuple[int, ...]) -> frozenset[str]:
        """Returns the upstreams that hold the longest part of a prompt.

        Args:
            blocks: The prompt's hashes, shortest prefix first.
        """
        for block in reversed(blocks):
            found = frozenset(
                name
                for name, cache in self._caches.items()
                if block in cache.blocks
            )
            if found:
                return found
        return frozenset()

    def _cache(self, upstream: str, incarnation: str) -> _Cache:
        cache = self._caches.get(upstream)
        if cache is None or cache.incarnation != incarnation:
            cache = _Cache(incarnation)
            self._caches[upstream] = cache
        return cache
