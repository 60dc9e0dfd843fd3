from trefoilpitch.serving import PrefixCaches
from trefoilpitch.serving.tests.harness import ServingHarness, completion_items
from trefoilpitch.upstreams import (
    CacheEvent,
    CacheEvents,
    Message,
    prompt_prefix_hash,
)

_SERMON = (Message(role="system", content="a sermon"),)
_HYMN = (Message(role="system", content="a hymn"),)


def _event(
    sequence: int, messages: tuple[Message, ...], *, stored: bool = True
) -> CacheEvent:
    prefix = prompt_prefix_hash(messages[0].content)
    return CacheEvent(sequence=sequence, prefix=prefix, stored=stored)


def _cache_events(*events: CacheEvent, incarnation: str = "a") -> CacheEvents:
    return CacheEvents(incarnation=incarnation, events=events, gap=False)


def test_engine_holds_a_stored_prefix_until_it_evicts_it() -> None:
    caches = PrefixCaches()
    caches.observe("engine-a", _cache_events(_event(1, _SERMON)))
    caches.observe("engine-b", _cache_events(_event(1, _HYMN)))
    assert caches.holders(_SERMON) == {"engine-a"}
    assert caches.last_event("engine-a") == 1
    evicted = _event(2, _SERMON, stored=False)
    caches.observe("engine-a", _cache_events(evicted))
    assert not caches.holders(_SERMON)


def test_gap_clears_the_entries_of_that_engine_only() -> None:
    caches = PrefixCaches()
    caches.observe("engine-a", _cache_events(_event(1, _SERMON)))
    caches.observe("engine-b", _cache_events(_event(1, _SERMON)))
    caches.observe("engine-a", _cache_events(_event(3, _HYMN)))
    assert caches.gaps == 1
    assert caches.holders(_SERMON) == {"engine-b"}
    assert caches.holders(_HYMN) == {"engine-a"}


def test_events_of_a_restarted_engine_are_fetched_from_the_first() -> None:
    caches = PrefixCaches()
    caches.observe("engine-a", _cache_events(_event(7, _SERMON)))
    # The new event log is shorter than the requested position.
    caches.observe("engine-a", _cache_events(incarnation="b"))
    assert caches.last_event("engine-a") == 0
    assert not caches.holders(_SERMON)
    caches.observe("engine-a", _cache_events(_event(1, _HYMN), incarnation="b"))
    assert caches.holders(_HYMN) == {"engine-a"}


def test_entries_of_untracked_engines_are_removed() -> None:
    caches = PrefixCaches()
    caches.record_sent("engine-a", _SERMON)
    caches.retain(frozenset({"engine-b"}))
    assert not caches.holders(_SERMON)


def test_prompt_is_sent_to_the_engine_that_holds_its_prefix() -> None:
    for holder in ("engine-a", "engine-b"):
        harness = ServingHarness()
        for engine in harness.engines.values():
            for _ in range(4):
                engine.script(*completion_items("text"))
        first = Message(role="user", content="hymn")
        harness.prefixes.observe(holder, _cache_events(_event(1, (first,))))
        for _ in range(4):
            response = harness.send_chat().unwrap()
            list(response)
            response.close()
        assert len(harness.engines[holder].requests) == 4


def test_prefixes_of_the_last_load_report_are_used_after_a_gap() -> None:
    caches = PrefixCaches()
    caches.observe("engine-a", _cache_events(_event(1, _HYMN)))
    reported = frozenset({prompt_prefix_hash(_SERMON[0].content)})
    caches.observe("engine-a", _cache_events(_event(2, _HYMN)), reported)
    assert not caches.holders(_SERMON)
    caches.observe("engine-a", _cache_events(_event(4, _HYMN)), reported)
    assert caches.holders(_SERMON) == {"engine-a"}
