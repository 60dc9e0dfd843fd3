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
    DeadlineWatch,
    FakeEngineClient,
    LoadReport,
    open_engine_client,
)

_LOAD_MS = 10_000


class _Subject:
    """An engine, its control and the clock that times its loads."""

    def __init__(
        self, engine: EngineStandIn, clock: ManualClock, watch: DeadlineWatch
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
            watch=watch,
        )
        self.control: EngineClientControl = engine_client_control(
            lambda _: client, clock
        )

    def send(
        self, number: int, *versions: VersionRef
    ) -> Result[None, OrderError]:
        order = EngineOrder(
            versions=frozenset(versions),
            seen=frozenset(self.loaded()),
            fencing_number=number,
        )
        return self.control.send_order(self.upstream, order)

    def loaded(self) -> set[VersionRef]:
        return set(self.control.read_status(self.upstream).unwrap().loaded)


@pytest.fixture(params=[True, False], ids=["checks", "ignores"])
def checks_fencing(request: pytest.FixtureRequest) -> bool:
    return bool(request.param)


@pytest.fixture
def subject(checks_fencing: bool) -> Iterator[_Subject]:
    clock = ManualClock()
    settings = EngineSettings(
        versions=[str(OLD)], checks_fencing=checks_fencing, load_ms=_LOAD_MS
    )
    with (
        open_engine_stand_in(settings, clock=clock) as engine,
        DeadlineWatch(clock) as watch,
    ):
        yield _Subject(engine, clock, watch)


def test_order_for_a_set_loads_and_unloads_the_difference(
    subject: _Subject,
) -> None:
    assert is_successful(subject.send(10, OLD, NEW))
    subject.clock.advance(_LOAD_MS)
    assert subject.loaded() == {OLD, NEW}
    subject.send(10, NEW)
    assert subject.loaded() == {NEW}


def test_version_that_came_after_the_decision_stays(
    subject: _Subject,
) -> None:
    seen = frozenset(subject.loaded())
    subject.send(10, OLD, NEW)
    subject.clock.advance(_LOAD_MS)
    order = EngineOrder(versions=frozenset({OLD}), seen=seen, fencing_number=10)
    assert is_successful(subject.control.send_order(subject.upstream, order))
    assert subject.loaded() == {OLD, NEW}


def test_only_a_checking_engine_refuses_an_old_number(
    subject: _Subject, checks_fencing: bool
) -> None:
    subject.send(10, OLD, NEW)
    result = subject.send(9, NEW)
    assert is_successful(result) != checks_fencing
    if checks_fencing:
        assert isinstance(
            result.failure(),
            StaleFencingError,
        )


def test_load_that_the_engine_does_not_tell_of_is_ordered_once(
    subject: _Subject, checks_fencing: bool
) -> None:
    configuration = fleet_configuration(checks_fencing=checks_fencing)
    engine = reconciler(
        control=subject.control,
        clock=subject.clock,
        fencing_number=lambda: 10,
        terms=ReconcilerSettings(load_interval_ms=500, confirm_interval_ms=500),
    )
    subject.send(10)
    engine.set_configuration(configuration)
    for _ in range(2 * _LOAD_MS // 500):
        subject.clock.advance(500)
        engine.poll()
    assert subject.loaded() == {OLD}
    assert engine.state.counters.loads == 1


def test_engine_that_does_not_tell_its_versions_gets_no_orders() -> None:
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


def test_engine_that_is_gone_was_not_sent_anything() -> None:
    clock = ManualClock()
    with (
        open_engine_stand_in(EngineSettings(), clock=clock) as engine,
        DeadlineWatch(clock) as watch,
    ):
        subject = _Subject(engine, clock, watch)
    order = EngineOrder(versions=frozenset({OLD}), fencing_number=10)
    error = subject.control.send_order(subject.upstream, order).failure()
    assert isinstance(error, OrderNotSentError)
