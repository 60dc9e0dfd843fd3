from __future__ import annotations

import pytest
from returns.result import Failure

from trefoilpitch.bundle import VersionRef
from trefoilpitch.configuration import (
    Configuration,
    RolloutPhase,
    RolloutState,
)
from trefoilpitch.routing import (
    NoEligibleVersionError,
    PinnedVersionWithdrawnError,
    TargetNotAllowedError,
    choose_versions,
    eligible_versions,
    readiness_factors,
    routing_table,
)
from trefoilpitch.routing.tests import examples


def _rollout(phase: RolloutPhase, step: int = 2) -> tuple[RolloutState, ...]:
    return (
        RolloutState(model="cheap", to_version="2", step=step, phase=phase),
    )


def _rollout_share(
    configuration: Configuration, factor: float = 1.0, workspace: str = "parish"
) -> float:
    table = routing_table(configuration)
    chosen = [
        choose_versions(
            table,
            workspace,
            "tag",
            key=f"session-{index}",
            weight_factors={examples.CHEAP_2: factor},
        ).unwrap()
        for index in range(2_000)
    ]
    return sum(examples.CHEAP_2 in versions for versions in chosen) / 2_000


def test_workspace_gets_only_the_versions_that_it_may_use() -> None:
    table = routing_table(examples.BASE)
    assert eligible_versions(table, "visitor", "tag") == (examples.CHEAP_1,)
    assert eligible_versions(table, "visitor", "other") == ()


def test_withdrawn_pin_is_refused_and_never_replaced() -> None:
    table = routing_table(
        examples.changed_configuration(withdrawn=frozenset({examples.CHEAP_2}))
    )
    result = choose_versions(
        table, "parish", "tag", key="s", pins=(examples.CHEAP_2,)
    )
    assert isinstance(result.failure(), PinnedVersionWithdrawnError)


def test_pin_to_a_forbidden_version_is_refused() -> None:
    result = choose_versions(
        routing_table(examples.BASE),
        "visitor",
        "tag",
        key="s",
        pins=(examples.EXPENSIVE_1,),
    )
    assert isinstance(result.failure(), PinnedVersionWithdrawnError)


def test_pinned_session_keeps_its_version_during_a_roll_out() -> None:
    table = routing_table(
        examples.changed_configuration(
            rollouts=_rollout(RolloutPhase.COMPLETED)
        )
    )
    result = choose_versions(
        table, "parish", "tag", key="s", pins=(examples.CHEAP_1,)
    )
    # The session is not pinned to a version of the cascade's other model, so
    # that one is chosen as usual.
    assert result.unwrap() == (examples.CHEAP_1, examples.EXPENSIVE_1)


def test_withdrawn_pin_to_a_model_of_another_task_is_ignored() -> None:
    other = VersionRef("other", "1")
    table = routing_table(
        examples.changed_configuration(withdrawn=frozenset({other}))
    )
    result = choose_versions(table, "parish", "tag", key="s", pins=(other,))
    assert other not in result.unwrap()


@pytest.mark.parametrize(
    ("phase", "step", "factor", "share"),
    [
        (RolloutPhase.RUNNING, 2, 1.0, 0.25),
        (RolloutPhase.PAUSED, 2, 1.0, 0.25),
        (RolloutPhase.RUNNING, 2, 0.2, 0.05),
        (RolloutPhase.RUNNING, 2, 0.0, 0.0),
        (RolloutPhase.ROLLED_BACK, 2, 1.0, 0.0),
        (RolloutPhase.COMPLETED, 0, 1.0, 1.0),
        (RolloutPhase.RUNNING, 99, 1.0, 1.0),
    ],
)
def test_roll_out_takes_its_share_of_new_sessions(
    phase: RolloutPhase, step: int, factor: float, share: float
) -> None:
    configuration = examples.changed_configuration(
        rollouts=_rollout(phase, step)
    )
    assert _rollout_share(configuration, factor) == pytest.approx(
        share, abs=0.02
    )


@pytest.mark.parametrize(
    ("phase", "step", "loaded", "factor"),
    [
        (RolloutPhase.RUNNING, 2, 0, 0.0),
        (RolloutPhase.RUNNING, 3, 3, 0.5),
        (RolloutPhase.RUNNING, 2, 3, None),
        (RolloutPhase.COMPLETED, 3, 0, 0.0),
        (RolloutPhase.COMPLETED, 3, 1, None),
        (RolloutPhase.ROLLED_BACK, 2, 0, None),
    ],
)
def test_roll_out_gets_no_more_than_its_share_of_ready_engines(
    phase: RolloutPhase, step: int, loaded: int, factor: float | None
) -> None:
    table = routing_table(
        examples.changed_configuration(rollouts=_rollout(phase, step))
    )
    both = frozenset({examples.CHEAP_1, examples.CHEAP_2})
    states = examples.states(versions=frozenset({examples.CHEAP_1}))
    states.update(examples.states(loaded, versions=both))
    factors = readiness_factors(table, states)
    assert factors.get(examples.CHEAP_2) == factor


def test_roll_out_skips_a_workspace_that_may_not_use_the_version() -> None:
    configuration = examples.changed_configuration(
        rollouts=_rollout(RolloutPhase.COMPLETED)
    )
    assert _rollout_share(configuration, workspace="visitor") == 0.0


def test_sessions_moved_by_a_small_step_stay_moved_at_a_larger_one() -> None:
    def moved(step: int) -> set[int]:
        rollouts = _rollout(RolloutPhase.RUNNING, step)
        table = routing_table(examples.changed_configuration(rollouts=rollouts))
        return {
            index
            for index in range(1_000)
            if examples.CHEAP_2
            in choose_versions(table, "parish", "tag", key=str(index)).unwrap()
        }

    assert moved(1) < moved(2)


def test_withdrawn_default_falls_back_to_an_older_version() -> None:
    table = routing_table(
        examples.changed_configuration(withdrawn=frozenset({examples.CHEAP_1}))
    )
    chosen = choose_versions(table, "parish", "tag", key="s").unwrap()
    assert chosen[0] == VersionRef("cheap", "0")


def test_errors_distinguish_missing_versions_from_a_forbidden_task() -> None:
    withdrawn_versions = frozenset({examples.CHEAP_1})
    table = routing_table(
        examples.changed_configuration(withdrawn=withdrawn_versions)
    )
    missing = choose_versions(table, "visitor", "tag", key="s")
    assert isinstance(missing, Failure)
    assert isinstance(missing.failure(), NoEligibleVersionError)
    forbidden = choose_versions(table, "parish", "other", key="s")
    assert isinstance(forbidden.failure(), TargetNotAllowedError)
