from __future__ import annotations

from collections.abc import Callable

import pytest

from trefoilpitch.configuration import RolloutPhase, RolloutState
from trefoilpitch.orders import (
    EngineOrder,
    ReconcilerSettings,
    StaleFencingError,
    reconciler,
)
from trefoilpitch.orders.tests.fleet import (
    NEW,
    OLD,
    STEP_MS,
    Fleet,
    fleet_configuration,
)

_MINUTE_MS = 60_000
_with_and_without_fencing = pytest.mark.parametrize(
    "checks_fencing", [True, False]
)
_ROLLING = (
    RolloutState(
        model=NEW.model,
        to_version=NEW.version,
        step=0,
        phase=RolloutPhase.RUNNING,
    ),
)


@_with_and_without_fencing
@pytest.mark.parametrize("fault", ["lose", "lose_reply", "hold", "down"])
def test_engines_converge_despite_lost_or_delayed_orders(
    checks_fencing: bool, fault: str
) -> None:
    fleet = Fleet()
    if fault == "lose":
        fleet.engines.lose_orders(3)
    elif fault == "lose_reply":
        fleet.engines.lose_replies(3)
    elif fault == "hold":
        fleet.engines.hold_orders(3)
    else:
        fleet.engines.set_down(True)
    fleet.reconciler.set_configuration(
        fleet_configuration(checks_fencing=checks_fencing)
    )
    fleet.run(_MINUTE_MS // 2)
    fleet.engines.set_down(False)
    fleet.reconciler.set_configuration(
        fleet_configuration(checks_fencing=checks_fencing, rollouts=_ROLLING)
    )
    fleet.run(2 * _MINUTE_MS)
    fleet.engines.deliver_held(repeat=True)
    fleet.engines.deliver_held()
    fleet.run(_MINUTE_MS)
    assert fleet.loaded() == {OLD, NEW}


def test_late_order_of_an_old_holder_is_refused_or_corrected() -> None:
    observed_versions = {}
    for checks_fencing in (True, False):
        fleet = Fleet()
        upstream = (
            fleet_configuration(checks_fencing=checks_fencing)
            .bundle.pools[0]  # type: ignore[union-attr]
            .upstreams[0]
        )
        fleet.reconciler.set_configuration(
            fleet_configuration(
                checks_fencing=checks_fencing, withdrawn=frozenset({NEW})
            )
        )
        fleet.run(_MINUTE_MS)
        late_order = EngineOrder(versions=frozenset({NEW}), fencing_number=9)
        result = fleet.engines.send_order(upstream, late_order)
        observed_versions[checks_fencing] = fleet.loaded()
        if checks_fencing:
            assert isinstance(result.failure(), StaleFencingError)
        fleet.run(2 * _MINUTE_MS)
        assert fleet.loaded() == {OLD}
    assert observed_versions == {True: {OLD}, False: {NEW}}


def test_engine_with_a_higher_number_gets_no_orders_until_the_next_lease() -> (
    None
):
    fleet = Fleet()
    fleet.fencing_number = 10
    configuration = fleet_configuration(engines=2)
    assert configuration.bundle is not None
    upstream = configuration.bundle.pools[0].upstreams[0]
    fleet.engines.send_order(
        upstream, EngineOrder(versions=frozenset(), fencing_number=11)
    )
    fleet.reconciler.set_configuration(configuration)
    fleet.run(_MINUTE_MS)
    assert fleet.loaded("engine-0") == set()
    assert fleet.loaded("engine-1") == {OLD}
    assert fleet.reconciler.state.counters.stale_numbers > 0
    fleet.fencing_number = 12
    fleet.run(_MINUTE_MS)
    assert fleet.loaded("engine-0") == {OLD}


@pytest.mark.parametrize("lease_expires", [True, False])
def test_order_is_not_sent_late_or_without_a_lease(lease_expires: bool) -> None:
    fleet = Fleet()
    submitted_calls: list[Callable[[], None]] = []
    reconciler_under_test = reconciler(
        control=fleet.engines,
        clock=fleet.clock,
        fencing_number=lambda: fleet.fencing_number,
        submit=submitted_calls.append,
    )
    reconciler_under_test.set_configuration(fleet_configuration())
    while reconciler_under_test.state.counters.orders == 0:
        fleet.clock.advance(STEP_MS)
        reconciler_under_test.poll()
        if reconciler_under_test.state.counters.orders == 0 and submitted_calls:
            submitted_calls.pop(0)()
    if lease_expires:
        fleet.fencing_number = None
    else:
        # All threads were blocked by engines that do not respond.
        fleet.clock.advance(ReconcilerSettings().max_status_age_ms + 1)
    for send in submitted_calls:
        send()
    reconciler_under_test.poll()
    assert not fleet.engines.status("engine-0").present


def test_loads_stay_within_the_concurrency_and_rate_limits() -> None:
    settings = ReconcilerSettings(
        max_concurrent_loads=3, load_interval_ms=4_000, load_burst=2
    )
    fleet = Fleet(load_ms=20_000, settings=settings)
    names = [f"engine-{index}" for index in range(12)]
    fleet.reconciler.set_configuration(fleet_configuration(engines=12))
    load_start_ms: dict[str, int] = {}
    for _ in range(4 * _MINUTE_MS // STEP_MS):
        fleet.run(STEP_MS)
        loading = [n for n in names if fleet.engines.status(n).loading]
        assert len(loading) <= settings.max_concurrent_loads
        for name in loading:
            load_start_ms.setdefault(name, fleet.clock.now_ms())
    starts_ms = sorted(load_start_ms.values())
    assert len(starts_ms) == 12
    gaps = [
        later - earlier
        for earlier, later in zip(starts_ms, starts_ms[2:], strict=False)
    ]
    assert min(gaps) >= settings.load_interval_ms - STEP_MS
    assert fleet.reconciler.state.counters.deferred_loads > 0


def test_withdrawn_version_is_unloaded_once_it_is_idle() -> None:
    fleet = Fleet()
    fleet.reconciler.set_configuration(fleet_configuration(rollouts=_ROLLING))
    fleet.run(_MINUTE_MS)
    assert fleet.loaded() == {OLD, NEW}
    fleet.engines.set_busy("engine-0", frozenset({NEW}))
    fleet.reconciler.set_configuration(
        fleet_configuration(rollouts=_ROLLING, withdrawn=frozenset({NEW}))
    )
    fleet.run(2 * _MINUTE_MS)
    assert fleet.loaded() == {OLD, NEW}
    fleet.engines.set_busy("engine-0", frozenset())
    fleet.run(_MINUTE_MS)
    assert fleet.loaded() == {OLD}


def test_unwanted_version_is_unloaded_after_a_delay() -> None:
    """Other nodes may send it requests until they receive the change."""
    settings = ReconcilerSettings()
    fleet = Fleet()
    fleet.reconciler.set_configuration(fleet_configuration())
    fleet.run(_MINUTE_MS)
    fleet.reconciler.set_configuration(
        fleet_configuration(withdrawn=frozenset({OLD}))
    )
    fleet.run(settings.unload_after_ms)
    assert fleet.loaded() == {OLD}
    fleet.run(settings.poll_interval_ms)
    assert fleet.loaded() == set()


def test_engine_in_its_target_state_gets_no_order() -> None:
    """Also if it has a version whose roll-out has not started."""
    fleet = Fleet()
    fleet.reconciler.set_configuration(fleet_configuration(rollouts=_ROLLING))
    fleet.run(_MINUTE_MS)
    new_holder = fleet.create_reconciler(lambda: 11)
    new_holder.set_configuration(fleet_configuration())
    for _ in range(2 * _MINUTE_MS // STEP_MS):
        fleet.clock.advance(STEP_MS)
        new_holder.poll()
    assert new_holder.state.counters.orders == 0
    assert fleet.loaded() == {OLD, NEW}


def test_restarted_engine_is_ordered_to_load_its_versions_again() -> None:
    fleet = Fleet()
    fleet.reconciler.set_configuration(fleet_configuration())
    fleet.run(_MINUTE_MS)
    fleet.engines.restart("engine-0")
    fleet.run(_MINUTE_MS)
    assert fleet.loaded() == {OLD}


def test_unreported_failed_load_is_ordered_again_after_its_timeout() -> None:
    settings = ReconcilerSettings()
    fleet = Fleet(load_ms=1_000)
    fleet.engines.set_reports_loading(False)
    fleet.engines.fail_loads(1)
    fleet.reconciler.set_configuration(fleet_configuration())
    fleet.run(settings.load_timeout_ms)
    assert fleet.loaded() == set()
    assert fleet.reconciler.state.counters.loads == 1
    fleet.run(_MINUTE_MS)
    assert fleet.loaded() == {OLD}


def test_engine_that_rejects_orders_is_retried_with_backoff() -> None:
    fleet = Fleet()
    fleet.engines.reject_orders(1_000)
    fleet.reconciler.set_configuration(fleet_configuration(engines=2))
    fleet.run(_MINUTE_MS // 2)
    deferred_at_start = fleet.reconciler.state.counters.deferred_loads
    fleet.run(10 * _MINUTE_MS)
    counters = fleet.reconciler.state.counters
    assert 10 <= counters.rejections <= 40
    assert counters.deferred_loads == deferred_at_start
    fleet.engines.reject_orders(0)
    fleet.run(2 * _MINUTE_MS)
    assert fleet.loaded("engine-0") == fleet.loaded("engine-1") == {OLD}


def test_nothing_is_ordered_without_a_lease() -> None:
    fleet = Fleet()
    fleet.fencing_number = None
    fleet.reconciler.set_configuration(fleet_configuration())
    fleet.run(_MINUTE_MS)
    assert fleet.reconciler.state.counters.orders == 0
    fleet.fencing_number = 10
    fleet.run(_MINUTE_MS)
    assert fleet.loaded() == {OLD}
