from trefoilpitch.configuration import SignOffBundle
from trefoilpitch.daemon._load import LoadActor
from trefoilpitch.daemon.tests.stateful.fleet import Fleet, make_bundle
from trefoilpitch.supervision import Tick
from trefoilpitch.upstreams import (
    CacheEvent,
    CacheEvents,
    FakeEngineClient,
    Message,
    prompt_prefix_hash,
)


def test_cache_events_of_engines_are_recorded() -> None:
    fleet = Fleet(1)
    fleet.advance(5_000)
    node = fleet.nodes["entry-a"]
    sign_off = SignOffBundle(
        change_id="bundle", author="me", bundle=make_bundle(1)
    )
    assert node.commit(sign_off)
    engine = node.core.directory.engine("engine-b")
    assert isinstance(engine, FakeEngineClient)
    event = CacheEvent(
        sequence=4, prefix=prompt_prefix_hash("a hymn"), stored=True
    )
    engine.set_cache_events(
        CacheEvents(incarnation="one", events=(event,), gap=False)
    )
    actor = LoadActor(node.core, fleet.clock)
    actor.on_receive(Tick())
    actor.on_stop()
    hymn = (Message(role="user", content="a hymn"),)
    assert node.core.prefixes.holders(hymn) == {"engine-b"}
