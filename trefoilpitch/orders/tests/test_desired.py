from __future__ import annotations

import pytest

from trefoilpitch.configuration import (
    EMPTY_CONFIGURATION,
    Configuration,
    RolloutPhase,
    RolloutState,
)
from trefoilpitch.orders import desired_targets, engine_scopes
from trefoilpitch.orders.tests.fleet import NEW, OLD, fleet_configuration


def _rollout(phase: RolloutPhase) -> tuple[RolloutState, ...]:
    return (
        RolloutState(
            model=NEW.model, to_version=NEW.version, step=0, phase=phase
        ),
    )


@pytest.mark.parametrize(
    ("configuration", "versions"),
    [
        (fleet_configuration(), (OLD,)),
        (
            fleet_configuration(rollouts=_rollout(RolloutPhase.RUNNING)),
            (NEW, OLD),
        ),
        (
            fleet_configuration(rollouts=_rollout(RolloutPhase.ROLLED_BACK)),
            (OLD, NEW),
        ),
        (
            fleet_configuration(
                rollouts=_rollout(RolloutPhase.RUNNING),
                withdrawn=frozenset({NEW}),
            ),
            (OLD,),
        ),
    ],
)
def test_versions_follow_roll_outs_and_withdrawals(
    configuration: Configuration, versions: tuple[object, ...]
) -> None:
    (target,) = desired_targets(configuration).values()
    assert target.versions == versions


@pytest.mark.parametrize(
    "configuration",
    [
        EMPTY_CONFIGURATION,
        fleet_configuration(vms_out=frozenset({"engine-0"})),
        fleet_configuration(failure_domains_out=frozenset({"suva"})),
    ],
)
def test_engines_out_of_service_get_no_orders(
    configuration: Configuration,
) -> None:
    assert not desired_targets(configuration)


def test_scopes_cover_every_engine_once() -> None:
    configuration = fleet_configuration(engines=40)
    scopes = engine_scopes(("suva", "nadi"), 4)
    covered = [desired_targets(configuration, scope) for scope in scopes]
    names = sorted(name for targets in covered for name in targets)
    assert names == sorted(desired_targets(configuration))
    assert all(covered[:4])
    assert len({scope.lease_key for scope in scopes}) == len(scopes)
