import dataclasses

from trefoilpitch.bundle import RolloutPlan, VersionRef
from trefoilpitch.configuration import RolloutPhase, RolloutState
from trefoilpitch.routing import RoutingTable, routing_table
from trefoilpitch.serving.tests.world import World, answer

_NEW = VersionRef("cheap", "2")


def _table(world: World) -> RoutingTable:
    configuration = world.configuration
    assert configuration.bundle is not None
    bundle = dataclasses.replace(
        configuration.bundle,
        rollouts=(RolloutPlan(model="cheap", to_version="2"),),
    )
    state = RolloutState(
        model="cheap", to_version="2", step=0, phase=RolloutPhase.RUNNING
    )
    return routing_table(
        dataclasses.replace(configuration, bundle=bundle, rollouts=(state,))
    )


def test_a_version_that_fails_is_narrowed_at_once_and_probed_later() -> None:
    world = World()
    table = _table(world)
    for _ in range(20):
        world.learner.answered(table, VersionRef("cheap", "1"), failed=False)
        world.learner.answered(table, _NEW, failed=True)
    assert world.learner.weight_factors(table) == {_NEW: 0.0}
    world.clock.advance(60_000)
    assert 0.0 < world.learner.weight_factors(table)[_NEW] < 1.0


def test_outcomes_of_a_version_not_rolled_out_open_no_breaker() -> None:
    world = World()
    table = routing_table(world.configuration)
    for _ in range(20):
        world.learner.answered(table, _NEW, failed=True)
    assert not world.learner.weight_factors(table)


def test_delivered_answers_are_sampled_and_their_ratings_learnt() -> None:
    world = World()
    for engine in world.engines.values():
        engine.script(*answer("text"))
    given = world.ask().unwrap()
    list(given)
    given.close()
    delivered = world.learner.take_sample()
    assert delivered is not None
    assert delivered.text == "text"
    world.learner.rated(world.table(), delivered, 0.9)
    assert world.learner.take_sample() is None


def _at(table: RoutingTable, revision: int) -> RoutingTable:
    configuration = dataclasses.replace(table.configuration, revision=revision)
    return routing_table(configuration)


def test_harm_outlives_a_revision_but_not_revisions_that_were_missed() -> None:
    world = World()
    table = _table(world)
    learner = world.learner
    learner.follow(_at(table, 1))
    for _ in range(20):
        learner.answered(table, _NEW, failed=True)
    learner.follow(_at(table, 2))
    assert [harm.revision for harm in learner.harms(1)] == [2]
    # Operators may have paused and resumed at the revision between.
    learner.follow(_at(table, 4))
    assert not learner.harms(1)


def test_many_nodes_need_more_evidence_each() -> None:
    world = World()
    table = _table(world)
    world.learner.follow(_at(table, 1))
    while not world.learner.harms(1):
        world.learner.answered(table, _NEW, failed=True)
    assert not world.learner.harms(10_000)
