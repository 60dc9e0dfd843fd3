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
_both_kinds = pytest.mark.parametrize("checks_fencing", [True, False])
_ROLLING = (
    RolloutState(
        model=NEW.model,
        to_version=NEW.version,
        step=0,
        phase=RolloutPhase.RUNNING,
    ),
)


@_both_kinds
@pytest.mark.parametrize("fault", ["lose", "lose_reply", "hold", "down"])
def test_engines_converge_whatever_becomes_of_orders(
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


def test_old_holders_late_order_is_refused_or_put_right() -> None:
    seen = {}
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
        late = EngineOrder(versions=frozenset({NEW}), fencing_number=9)
        result = fleet.engines.send_order(upstream, late)
        seen[checks_fencing] = fleet.loaded()
        if checks_fencing:
            assert isinstance(result.failure(), StaleFencingError)
        fleet.run(2 * _MINUTE_MS)
        assert fleet.loaded() == {OLD}
    assert seen == {True: {OLD}, False: {NEW}}


def test_engine_with_a_higher_number_gets_no_orders_until_the_next_term() -> (
    None
):
    fleet = Fleet()
    fleet.number = 10
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
    fleet.number = 12
    fleet.run(_MINUTE_MS)
    assert fleet.loaded("engine-0") == {OLD}


@pytest.mark.parametrize("lapses", [True, False])
def test_order_is_not_sent_late_or_without_a_lease(lapses: bool) -> None:
    fleet = Fleet()
    waiting: list[Callable[[], None]] = []
    subject = reconciler(
        control=fleet.engines,
        clock=fleet.clock,
        fencing_number=lambda: fleet.number,
        submit=waiting.append,
    )
    subject.set_configuration(fleet_configuration())
    while subject.state.counters.orders == 0:
        fleet.clock.advance(STEP_MS)
        subject.poll()
        if subject.state.counters.orders == 0 and waiting:
            waiting.pop(0)()
    if lapses:
        fleet.number = None
    else:
        # All threads were taken up by engines that do not answer.
        fleet.clock.advance(ReconcilerSettings().max_status_age_ms + 1)
    for send in waiting:
        send()
    subject.poll()
    assert not fleet.engines.status("engine-0").present


def test_loads_stay_within_the_weight_stores_share() -> None:
    terms = ReconcilerSettings(
        max_concurrent_loads=3, load_interval_ms=4_000, load_burst=2
    )
    fleet = Fleet(load_ms=20_000, terms=terms)
    names = [f"engine-{index}" for index in range(12)]
    fleet.reconciler.set_configuration(fleet_configuration(engines=12))
    begun_ms: dict[str, int] = {}
    for _ in range(4 * _MINUTE_MS // STEP_MS):
        fleet.run(STEP_MS)
        loading = [n for n in names if fleet.engines.status(n).loading]
        assert len(loading) <= terms.max_concurrent_loads
        for name in loading:
            begun_ms.setdefault(name, fleet.clock.now_ms())
    begun = sorted(begun_ms.values())
    assert len(begun) == 12
    gaps = [late - early for early, late in zip(begun, begun[2:], strict=False)]
    assert min(gaps) >= terms.load_interval_ms - STEP_MS
    assert fleet.reconciler.state.counters.deferred_loads > 0


def test_withdrawn_version_goes_once_it_is_idle() -> None:
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


def test_unwanted_version_stays_for_a_while() -> None:
    """Other nodes may still send it work while they learn of the change."""
    terms = ReconcilerSettings()
    fleet = Fleet()
    fleet.reconciler.set_configuration(fleet_configuration())
    fleet.run(_MINUTE_MS)
    fleet.reconciler.set_configuration(
        fleet_configuration(withdrawn=frozenset({OLD}))
    )
    fleet.run(terms.unload_after_ms)
    assert fleet.loaded() == {OLD}
    fleet.run(terms.poll_interval_ms)
    assert fleet.loaded() == set()


def test_engine_that_serves_what_the_bundle_says_gets_no_order() -> None:
    """Also before the roll-out of a version that it has already."""
    fleet = Fleet()
    fleet.reconciler.set_configuration(fleet_configuration(rollouts=_ROLLING))
    fleet.run(_MINUTE_MS)
    successor = fleet.successor(lambda: 11)
    successor.set_configuration(fleet_configuration())
    for _ in range(2 * _MINUTE_MS // STEP_MS):
        fleet.clock.advance(STEP_MS)
        successor.poll()
    assert successor.state.counters.orders == 0
    assert fleet.loaded() == {OLD, NEW}


def test_restarted_engine_gets_its_versions_back() -> None:
    fleet = Fleet()
    fleet.reconciler.set_configuration(fleet_configuration())
    fleet.run(_MINUTE_MS)
    fleet.engines.restart("engine-0")
    fleet.run(_MINUTE_MS)
    assert fleet.loaded() == {OLD}


def test_load_that_failed_unseen_is_ordered_again_after_its_timeout() -> None:
    terms = ReconcilerSettings()
    fleet = Fleet(load_ms=1_000)
    fleet.engines.set_reports_loading(False)
    fleet.engines.fail_loads(1)
    fleet.reconciler.set_configuration(fleet_configuration())
    fleet.run(terms.load_timeout_ms)
    assert fleet.loaded() == set()
    assert fleet.reconciler.state.counters.loads == 1
    fleet.run(_MINUTE_MS)
    assert fleet.loaded() == {OLD}


def test_engine_that_rejects_orders_is_retried_ever_more_rarely() -> None:
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
    fleet.number = None
    fleet.reconciler.set_configuration(fleet_configuration())
    fleet.run(_MINUTE_MS)
    assert fleet.reconciler.state.counters.orders == 0
    fleet.number = 10
    fleet.run(_MINUTE_MS)
    assert fleet.loaded() == {OLD}
