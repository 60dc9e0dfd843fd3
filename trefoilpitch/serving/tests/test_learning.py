import dataclasses

from trefoilpitch.bundle import RolloutPlan, VersionRef
from trefoilpitch.configuration import RolloutPhase, RolloutState
from trefoilpitch.routing import RoutingTable, routing_table
from trefoilpitch.serving.tests.harness import ServingHarness, completion_items

_NEW = VersionRef("cheap", "2")


def _table(harness: ServingHarness) -> RoutingTable:
    configuration = harness.configuration
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


def test_breaker_of_a_failing_version_opens_at_once_and_probes_later() -> None:
    harness = ServingHarness()
    table = _table(harness)
    for _ in range(20):
        harness.version_monitor.record_result(
            table, VersionRef("cheap", "1"), failed=False
        )
        harness.version_monitor.record_result(table, _NEW, failed=True)
    assert harness.version_monitor.weight_factors(table) == {_NEW: 0.0}
    harness.clock.advance(60_000)
    assert 0.0 < harness.version_monitor.weight_factors(table)[_NEW] < 1.0


def test_failures_outside_a_rollout_open_no_breaker() -> None:
    harness = ServingHarness()
    table = routing_table(harness.configuration)
    for _ in range(20):
        harness.version_monitor.record_result(table, _NEW, failed=True)
    assert not harness.version_monitor.weight_factors(table)


def test_delivered_responses_are_sampled_and_rated() -> None:
    harness = ServingHarness()
    for engine in harness.engines.values():
        engine.script(*completion_items("text"))
    response = harness.send_chat().unwrap()
    list(response)
    response.close()
    delivered = harness.version_monitor.take_sample()
    assert delivered is not None
    assert delivered.text == "text"
    harness.version_monitor.record_rating(harness.table(), delivered, 0.9)
    assert harness.version_monitor.take_sample() is None


def _at(table: RoutingTable, revision: int) -> RoutingTable:
    configuration = dataclasses.replace(table.configuration, revision=revision)
    return routing_table(configuration)


def test_evidence_of_harm_outlives_a_revision_but_not_skipped_revisions() -> (
    None
):
    harness = ServingHarness()
    table = _table(harness)
    version_monitor = harness.version_monitor
    version_monitor.apply(_at(table, 1))
    for _ in range(20):
        version_monitor.record_result(table, _NEW, failed=True)
    version_monitor.apply(_at(table, 2))
    assert [harm.revision for harm in version_monitor.harmful_rollouts(1)] == [
        2
    ]
    # Operators may have paused and resumed the roll-out in revision 3.
    version_monitor.apply(_at(table, 4))
    assert not version_monitor.harmful_rollouts(1)


def test_each_of_many_nodes_needs_more_evidence() -> None:
    harness = ServingHarness()
    table = _table(harness)
    harness.version_monitor.apply(_at(table, 1))
    while not harness.version_monitor.harmful_rollouts(1):
        harness.version_monitor.record_result(table, _NEW, failed=True)
    assert not harness.version_monitor.harmful_rollouts(10_000)
