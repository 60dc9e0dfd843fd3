"""Automatic pauses of roll-outs on a simulated fleet of node cores."""

import pytest

from trefoilpitch.bundle import VersionRef
from trefoilpitch.configuration import (
    AdvanceRollout,
    Change,
    HeadReader,
    PauseRollout,
    ResumeRollout,
    RolloutPhase,
    RolloutState,
    SignOffBundle,
    StartRollout,
    WithdrawVersion,
    configuration_writer,
)
from trefoilpitch.daemon._rollouts import AUTHOR, MAX_ATTEMPTS, RolloutGuard
from trefoilpitch.daemon.tests.stateful.fleet import (
    Fleet,
    SimNode,
    make_bundle,
)

_NEW, _OLD = VersionRef("cheap", "2"), VersionRef("cheap", "1")
_START = StartRollout(
    change_id="start", author="me", model="cheap", to_version="2"
)
_PAUSE = PauseRollout(change_id="pause", author="me", model="cheap")
_RESUME = ResumeRollout(change_id="resume", author="me", model="cheap")
_ADVANCE = AdvanceRollout(
    change_id="advance", author="me", model="cheap", from_step=0
)
_WITHDRAW = WithdrawVersion(change_id="withdraw", author="me", ref=_NEW)


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet(1)
    fleet.advance(5_000)
    sign_off = SignOffBundle(
        change_id="bundle", author="me", bundle=make_bundle(1)
    )
    for change in (sign_off, _START):
        assert _node(fleet, "a").commit(change)
    fleet.advance(5_000)
    return fleet


def _node(fleet: Fleet, domain: str) -> SimNode:
    return fleet.nodes[f"entry-{domain}"]


def _record_results(node: SimNode, *, failed: bool, count: int = 20) -> None:
    table = node.core.current.table()
    for _ in range(count):
        node.core.version_monitor.record_result(table, _OLD, failed=False)
        node.core.version_monitor.record_result(table, _NEW, failed=failed)


def _commit_directly(fleet: Fleet, *changes: Change) -> None:
    """Commits changes to the store that no node has received yet."""
    writer = configuration_writer(fleet.store.new_client())
    for change in changes:
        writer.commit(change).unwrap()


def _states(fleet: Fleet) -> set[RolloutState]:
    return {
        state
        for node in fleet.live_nodes()
        for state in node.core.current.table().configuration.rollouts
    }


def _phases(fleet: Fleet) -> set[RolloutPhase]:
    return {state.phase for state in _states(fleet)}


def _pauses(fleet: Fleet) -> list[str]:
    """Returns the change ids of the pauses that nodes committed."""
    head = HeadReader(fleet.store.new_client()).read().unwrap().head
    return [
        delta.change_id
        for delta in head.deltas
        if delta.change.author == AUTHOR
    ]


def _count(node: SimNode, name: str) -> float:
    return node.core.metrics.counters().get(name, 0)


def test_harm_on_one_node_pauses_the_roll_out_everywhere(fleet: Fleet) -> None:
    _record_results(_node(fleet, "b"), failed=True)
    fleet.advance(5_000)
    assert _phases(fleet) == {RolloutPhase.PAUSED}
    assert len(_pauses(fleet)) == 1
    assert _pauses(fleet)[0].endswith(":cheap:step-0:more_errors")
    assert _count(_node(fleet, "b"), "rollout_pauses") == 1


def test_a_version_that_is_no_worse_is_not_paused(fleet: Fleet) -> None:
    for node in fleet.live_nodes():
        _record_results(node, failed=False, count=500)
    fleet.advance(5_000)
    assert _phases(fleet) == {RolloutPhase.RUNNING}


def test_concurrent_pauses_of_several_nodes_commit_one_change(
    fleet: Fleet,
) -> None:
    nodes = fleet.live_nodes()
    for node in nodes:
        _record_results(node, failed=True)
    for node in nodes:
        node.core.rollouts.attempt_due_pauses()
    fleet.advance(5_000)
    assert len(_pauses(fleet)) == 1
    assert [_count(one, "rollout_pauses") for one in nodes] == [1, 0, 0]
    repeated = [_count(one, "rollout_pauses_repeated") for one in nodes]
    assert repeated == [0, 1, 1]


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ((_PAUSE, _RESUME), (0, RolloutPhase.RUNNING)),
        ((_ADVANCE,), (1, RolloutPhase.RUNNING)),
        ((_WITHDRAW,), (0, RolloutPhase.ROLLED_BACK)),
    ],
    ids=["paused and resumed", "advanced", "withdrawn"],
)
def test_pause_is_dropped_if_an_operator_committed_first(
    fleet: Fleet,
    changes: tuple[Change, ...],
    expected: tuple[int, RolloutPhase],
) -> None:
    node = _node(fleet, "b")
    _record_results(node, failed=True)
    _commit_directly(fleet, *changes)
    node.core.rollouts.attempt_due_pauses()
    fleet.advance(10_000)
    assert {(one.step, one.phase) for one in _states(fleet)} == {expected}
    assert not _pauses(fleet)
    assert _count(node, "rollout_pauses_dropped") == 1


def test_after_operators_resumed_only_new_harm_pauses_again(
    fleet: Fleet,
) -> None:
    node = _node(fleet, "b")
    _record_results(node, failed=True)
    fleet.advance(5_000)
    assert _node(fleet, "a").commit(_RESUME)
    fleet.advance(10_000)
    assert _phases(fleet) == {RolloutPhase.RUNNING}
    _record_results(node, failed=True)
    fleet.advance(5_000)
    assert _phases(fleet) == {RolloutPhase.PAUSED}
    assert len(set(_pauses(fleet))) == 2


def test_only_the_breaker_acts_while_the_store_is_down(fleet: Fleet) -> None:
    for node in fleet.live_nodes():
        node.store.set_down(True)
    node = _node(fleet, "b")
    _record_results(node, failed=True)
    factors = node.core.version_monitor.weight_factors(
        node.core.current.table()
    )
    assert factors == {_NEW: 0.0}
    fleet.advance(120_000)
    assert _phases(fleet) == {RolloutPhase.RUNNING}
    # Attempts stop once the last successful contact with the store is too
    # old for the node to accept changes.
    assert _count(node, "rollout_pause_failures") <= 3
    for node in fleet.live_nodes():
        node.store.set_down(False)
    fleet.advance(10_000)
    assert _phases(fleet) == {RolloutPhase.PAUSED}
    assert len(_pauses(fleet)) == 1


def test_pause_whose_response_is_lost_is_committed_once(fleet: Fleet) -> None:
    node = _node(fleet, "b")
    _record_results(node, failed=True)
    node.store.lose_replies(2)
    node.core.rollouts.attempt_due_pauses()
    fleet.advance(5_000)
    assert _phases(fleet) == {RolloutPhase.PAUSED}
    assert len(_pauses(fleet)) == 1


def test_attempts_against_a_failing_store_are_bounded(fleet: Fleet) -> None:
    node = _node(fleet, "b")
    _record_results(node, failed=True)
    store = fleet.store.new_client()
    store.set_down(True)
    guard = RolloutGuard(
        node.core.version_monitor,
        writer=configuration_writer(store),
        accepts_changes=lambda: True,
        apply_commit=node.core.replica.apply_commit,
        count_nodes=lambda: 3,
        clock=fleet.clock,
        metrics=node.core.metrics,
    )
    for _ in range(1_000):
        guard.attempt_due_pauses()
        fleet.clock.advance(1_000)
    assert _count(node, "rollout_pause_failures") == MAX_ATTEMPTS
    assert _count(node, "rollout_pauses_given_up") == 1


def test_a_version_that_turns_bad_late_in_a_step_is_paused(
    fleet: Fleet,
) -> None:
    node = _node(fleet, "b")
    _record_results(node, failed=False, count=2_000)
    _record_results(node, failed=True, count=20)
    fleet.advance(5_000)
    assert _phases(fleet) == {RolloutPhase.PAUSED}
