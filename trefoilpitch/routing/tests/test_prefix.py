from __future__ import annotations

from trefoilpitch.routing import CacheEvent, PrefixIndex, prefix_blocks

_BLOCKS = prefix_blocks("sermon " * 400, block_characters=512)


def _event(
    sequence: int,
    *,
    stored: tuple[int, ...] = (),
    evicted: tuple[int, ...] = (),
    incarnation: str = "a",
) -> CacheEvent:
    return CacheEvent(
        upstream="engine-0",
        incarnation=incarnation,
        sequence=sequence,
        stored=stored,
        evicted=evicted,
    )


def test_prompts_share_blocks_up_to_where_they_differ() -> None:
    first = prefix_blocks("a" * 1_000 + "b" * 1_000)
    second = prefix_blocks("a" * 1_000 + "c" * 1_000)
    assert first[:1] == second[:1]
    assert not set(first[1:]) & set(second[1:])


def test_holders_are_those_of_the_longest_prefix() -> None:
    index = PrefixIndex()
    index.record_sent("engine-0", "a", _BLOCKS[:2])
    index.record_sent("engine-1", "a", _BLOCKS[:4])
    assert index.holders(_BLOCKS) == {"engine-1"}
    assert index.holders(_BLOCKS[:1]) == {"engine-0", "engine-1"}


def test_gap_discards_entries_that_may_have_been_evicted() -> None:
    index = PrefixIndex()
    index.observe(_event(1, stored=_BLOCKS[:2]))
    index.observe(_event(4, stored=_BLOCKS[2:3]))
    assert index.gaps == 1
    assert index.holders(_BLOCKS[:2]) == frozenset()
    assert index.holders(_BLOCKS[:3]) == {"engine-0"}


def test_late_duplicate_does_not_restore_an_evicted_prefix() -> None:
    index = PrefixIndex()
    index.observe(_event(1, stored=_BLOCKS))
    index.observe(_event(2, evicted=_BLOCKS))
    index.observe(_event(1, stored=_BLOCKS))
    assert index.holders(_BLOCKS) == frozenset()


def test_restart_discards_the_cached_prefixes() -> None:
    index = PrefixIndex()
    index.observe(_event(9, stored=_BLOCKS))
    index.observe(_event(1, incarnation="b"))
    assert index.holders(_BLOCKS) == frozenset()


def test_oldest_prefix_is_evicted_at_the_size_limit() -> None:
    index = PrefixIndex(max_blocks=3)
    index.record_sent("engine-0", "a", (1, 2, 3, 4))
    assert index.holders((1,)) == frozenset()
    assert index.holders((4,)) == {"engine-0"}
