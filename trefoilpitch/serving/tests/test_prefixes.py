from trefoilpitch.serving import PrefixCaches
from trefoilpitch.serving.tests.harness import ServingHarness, answer
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


def _events(*events: CacheEvent, incarnation: str = "a") -> CacheEvents:
    return CacheEvents(incarnation=incarnation, events=events, gap=False)


def test_engines_that_stored_a_prefix_hold_it_until_they_evict_it() -> None:
    caches = PrefixCaches()
    caches.observe("engine-a", _events(_event(1, _SERMON)))
    caches.observe("engine-b", _events(_event(1, _HYMN)))
    assert caches.holders(_SERMON) == {"engine-a"}
    assert caches.last_event("engine-a") == 1
    evicted = _event(2, _SERMON, stored=False)
    caches.observe("engine-a", _events(evicted))
    assert not caches.holders(_SERMON)


def test_a_gap_resets_that_engine_alone() -> None:
    caches = PrefixCaches()
    caches.observe("engine-a", _events(_event(1, _SERMON)))
    caches.observe("engine-b", _events(_event(1, _SERMON)))
    caches.observe("engine-a", _events(_event(3, _HYMN)))
    assert caches.gaps == 1
    assert caches.holders(_SERMON) == {"engine-b"}
    assert caches.holders(_HYMN) == {"engine-a"}


def test_a_restarted_engine_is_followed_from_its_first_event() -> None:
    caches = PrefixCaches()
    caches.observe("engine-a", _events(_event(7, _SERMON)))
    # Its log is shorter than the position asked for.
    caches.observe("engine-a", _events(incarnation="b"))
    assert caches.last_event("engine-a") == 0
    assert not caches.holders(_SERMON)
    caches.observe("engine-a", _events(_event(1, _HYMN), incarnation="b"))
    assert caches.holders(_HYMN) == {"engine-a"}


def test_engines_that_are_no_longer_followed_are_forgotten() -> None:
    caches = PrefixCaches()
    caches.sent("engine-a", _SERMON)
    caches.retain(frozenset({"engine-b"}))
    assert not caches.holders(_SERMON)


def test_a_prompt_goes_to_the_engine_that_holds_its_prefix() -> None:
    for holder in ("engine-a", "engine-b"):
        harness = ServingHarness()
        for engine in harness.engines.values():
            for _ in range(4):
                engine.script(*answer("text"))
        first = Message(role="user", content="hymn")
        harness.prefixes.observe(holder, _events(_event(1, (first,))))
        for _ in range(4):
            given = harness.ask().unwrap()
            list(given)
            given.close()
        assert len(harness.engines[holder].requests) == 4


def test_after_a_gap_the_last_load_report_is_believed() -> None:
    caches = PrefixCaches()
    caches.observe("engine-a", _events(_event(1, _HYMN)))
    reported = frozenset({prompt_prefix_hash(_SERMON[0].content)})
    caches.observe("engine-a", _events(_event(2, _HYMN)), reported)
    assert not caches.holders(_SERMON)
    caches.observe("engine-a", _events(_event(4, _HYMN)), reported)
    assert caches.holders(_SERMON) == {"engine-a"}
