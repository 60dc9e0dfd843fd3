from __future__ import annotations

from collections.abc import Iterator

import pytest
from returns.pipeline import is_successful
from returns.result import Result

from trefoilpitch.bundle import Upstream, VersionRef
from trefoilpitch.clock import ManualClock
from trefoilpitch.orders import (
    EngineClientControl,
    EngineOrder,
    OrderError,
    OrderNotSentError,
    ReconcilerSettings,
    StaleFencingError,
    VersionsUnknownError,
    engine_client_control,
    reconciler,
)
from trefoilpitch.orders.tests.fleet import NEW, OLD, fleet_configuration
from trefoilpitch.standins import (
    EngineSettings,
    EngineStandIn,
    open_engine_stand_in,
)
from trefoilpitch.upstreams import (
    DeadlineMonitor,
    FakeEngineClient,
    LoadReport,
    open_engine_client,
)

_LOAD_MS = 10_000


class _EngineHarness:
    """An engine stand-in, its control and the clock of its loads."""

    def __init__(
        self,
        engine: EngineStandIn,
        clock: ManualClock,
        deadline_monitor: DeadlineMonitor,
    ) -> None:
        self.clock = clock
        self.upstream = Upstream(
            name="engine-0",
            address=engine.address,
            failure_domain="suva",
            capacity=4,
        )
        client = open_engine_client(
            upstream="engine-0",
            address=engine.address,
            clock=clock,
            deadline_monitor=deadline_monitor,
        )
        self.control: EngineClientControl = engine_client_control(
            lambda _: client, clock
        )

    def send(
        self, fencing_number: int, *versions: VersionRef
    ) -> Result[None, OrderError]:
        order = EngineOrder(
            versions=frozenset(versions),
            observed_versions=frozenset(self.loaded()),
            fencing_number=fencing_number,
        )
        return self.control.send_order(self.upstream, order)

    def loaded(self) -> set[VersionRef]:
        return set(self.control.read_status(self.upstream).unwrap().loaded)


@pytest.fixture(params=[True, False], ids=["checks", "ignores"])
def checks_fencing(request: pytest.FixtureRequest) -> bool:
    return bool(request.param)


@pytest.fixture
def harness(checks_fencing: bool) -> Iterator[_EngineHarness]:
    clock = ManualClock()
    settings = EngineSettings(
        versions=[str(OLD)], checks_fencing=checks_fencing, load_ms=_LOAD_MS
    )
    with (
        open_engine_stand_in(settings, clock=clock) as engine,
        DeadlineMonitor(clock) as deadline_monitor,
    ):
        yield _EngineHarness(engine, clock, deadline_monitor)


def test_order_loads_and_unloads_the_difference(
    harness: _EngineHarness,
) -> None:
    assert is_successful(harness.send(10, OLD, NEW))
    harness.clock.advance(_LOAD_MS)
    assert harness.loaded() == {OLD, NEW}
    harness.send(10, NEW)
    assert harness.loaded() == {NEW}


def test_version_loaded_after_the_order_was_decided_is_not_unloaded(
    harness: _EngineHarness,
) -> None:
    observed_versions = frozenset(harness.loaded())
    harness.send(10, OLD, NEW)
    harness.clock.advance(_LOAD_MS)
    order = EngineOrder(
        versions=frozenset({OLD}),
        observed_versions=observed_versions,
        fencing_number=10,
    )
    assert is_successful(harness.control.send_order(harness.upstream, order))
    assert harness.loaded() == {OLD, NEW}


def test_only_an_engine_with_fencing_refuses_a_stale_number(
    harness: _EngineHarness, checks_fencing: bool
) -> None:
    harness.send(10, OLD, NEW)
    result = harness.send(9, NEW)
    assert is_successful(result) != checks_fencing
    if checks_fencing:
        assert isinstance(
            result.failure(),
            StaleFencingError,
        )


def test_load_that_the_engine_does_not_report_is_ordered_once(
    harness: _EngineHarness, checks_fencing: bool
) -> None:
    configuration = fleet_configuration(checks_fencing=checks_fencing)
    engine = reconciler(
        control=harness.control,
        clock=harness.clock,
        fencing_number=lambda: 10,
        settings=ReconcilerSettings(
            load_interval_ms=500, confirm_interval_ms=500
        ),
    )
    harness.send(10)
    engine.set_configuration(configuration)
    for _ in range(2 * _LOAD_MS // 500):
        harness.clock.advance(500)
        engine.poll()
    assert harness.loaded() == {OLD}
    assert engine.state.counters.loads == 1


def test_engine_that_does_not_report_its_versions_gets_no_orders() -> None:
    client = FakeEngineClient()
    control = engine_client_control(lambda _: client, ManualClock())
    report = LoadReport(
        upstream="engine-0",
        incarnation="a",
        running=0,
        waiting=0,
        capacity=4,
        warm=True,
        leaving=False,
        cached_prefixes=frozenset(),
        versions=None,
        reported_ms=0,
    )
    client.set_load_report(report)
    order = EngineOrder(versions=frozenset({OLD}), fencing_number=10)
    configuration = fleet_configuration()
    assert configuration.bundle is not None
    upstream = configuration.bundle.pools[0].upstreams[0]
    result = control.send_order(upstream, order)
    assert isinstance(result.failure(), VersionsUnknownError)
    assert not client.orders


def test_order_to_an_unreachable_engine_is_reported_as_not_sent() -> None:
    clock = ManualClock()
    with (
        open_engine_stand_in(EngineSettings(), clock=clock) as engine,
        DeadlineMonitor(clock) as deadline_monitor,
    ):
        harness = _EngineHarness(engine, clock, deadline_monitor)
    order = EngineOrder(versions=frozenset({OLD}), fencing_number=10)
    error = harness.control.send_order(harness.upstream, order).failure()
    assert isinstance(error, OrderNotSentError)
