"""Orders to engines on a simulated fleet of node cores."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from trefoilpitch.bundle import VersionRef
from trefoilpitch.configuration import (
    Change,
    SignOffBundle,
    StartRollout,
    WithdrawVersion,
)
from trefoilpitch.daemon._draining import NodePhase
from trefoilpitch.daemon.tests.stateful.fleet import (
    DOMAINS,
    STEP_MS,
    Fleet,
    SimNode,
    make_bundle,
)
from trefoilpitch.daemon.tests.stateful.upstreams import Backend
from trefoilpitch.peering import Link, LinkFaults
from trefoilpitch.upstreams import Order, OrderKind

_OLD = {VersionRef("cheap", "1"), VersionRef("dear", "1")}
_NEW = VersionRef("cheap", "2")
_LEASE_MS = 20_000
_MINUTE_MS = 60_000


class _OrderHarness:
    """A fleet whose engines have loaded the old versions."""

    def __init__(self, *, checks_fencing: bool = False) -> None:
        self.fleet = Fleet(seed=7)
        bundle = make_bundle(1, checks_fencing=checks_fencing)
        nodes = {node.name: node for node in bundle.pools[0].upstreams}
        self.engines = [self.fleet.backends[name] for name in nodes]
        for engine in self.engines:
            engine.node = nodes[engine.name]
            engine.versions = set(_OLD)
        self.fleet.advance(5_000)
        self.commit(SignOffBundle(change_id="1", author="me", bundle=bundle))
        self.fleet.advance(_MINUTE_MS)

    def commit(self, change: Change) -> None:
        operated = self.fleet.live_nodes()[0]
        assert operated.commit(change) is not None

    def start_rollout(self) -> None:
        self.commit(
            StartRollout(
                change_id="2",
                author="me",
                model=_NEW.model,
                to_version=_NEW.version,
            )
        )

    def advance_until(self, condition: Any) -> None:
        for _ in range(_MINUTE_MS // STEP_MS):
            if condition():
                return
            self.fleet.advance(STEP_MS)
        raise AssertionError("condition not met within a minute")

    def scope(self, node: SimNode, engine: Backend) -> dict[str, Any]:
        key = f"leases/orders/{engine.node.failure_domain}/0"
        return {one["lease"]: one for one in node.core.orders.dump()}[key]

    def holders(self, engine: Backend) -> list[SimNode]:
        key = f"leases/orders/{engine.node.failure_domain}/0"
        return [
            node
            for node in self.fleet.live_nodes()
            for one in node.core.orders.dump()
            if one["lease"] == key and one["is_holder"]
        ]

    def holder(self, engine: Backend) -> SimNode:
        (holder,) = self.holders(engine)
        return holder

    def loads(self, engine: Backend) -> list[VersionRef | None]:
        return [order.version for order in engine.orders]


def _assert_rolled_out(harness: _OrderHarness) -> None:
    for engine in harness.engines:
        assert engine.versions == _OLD | {_NEW}
        numbers = [order.fencing_number for order in engine.orders]
        assert numbers == sorted(numbers)


def test_rollout_loads_its_version_once_and_orders_nothing_else() -> None:
    harness = _OrderHarness()
    for engine in harness.engines:
        assert not engine.orders
        assert harness.holder(engine)
    harness.start_rollout()
    harness.fleet.advance(_MINUTE_MS)
    _assert_rolled_out(harness)
    for engine in harness.engines:
        assert harness.loads(engine) == [_NEW]
    counters = [
        node.core.metrics.counters() for node in harness.fleet.live_nodes()
    ]
    assert sum(one.get("orders", 0) for one in counters) == len(harness.engines)
    assert sum(one.get("lease_terms", 0) for one in counters) == len(DOMAINS)


def test_paused_holder_does_not_send_its_pending_order() -> None:
    harness = _OrderHarness()
    engine = harness.engines[0]
    first = harness.holder(engine)

    def has_open_order() -> bool:
        orders = harness.scope(first, engine)["open_orders"]
        return any(one["is_on_its_way"] for one in orders)

    harness.start_rollout()
    harness.advance_until(has_open_order)
    assert not engine.orders
    first.is_paused = True
    harness.fleet.advance(2 * _LEASE_MS)
    assert harness.holder(engine) is not first
    assert harness.loads(engine) == [_NEW]
    harness.commit(WithdrawVersion(change_id="3", author="me", ref=_NEW))
    harness.fleet.advance(_MINUTE_MS)
    first.is_paused = False
    harness.fleet.advance(_MINUTE_MS)
    assert len(harness.holders(engine)) == 1
    assert engine.versions == _OLD
    kinds = [order.kind for order in engine.orders]
    assert kinds == [OrderKind.LOAD, OrderKind.UNLOAD]


def test_lost_order_response_is_resolved_by_reading_the_state() -> None:
    harness = _OrderHarness()
    engine = harness.engines[0]
    engine.order_responses_to_lose = 1
    holder = harness.holder(engine)
    harness.start_rollout()
    harness.advance_until(lambda: engine.orders)
    harness.fleet.advance(STEP_MS * 10)
    (failure,) = harness.scope(holder, engine)["failures"]
    assert failure["engine"] == engine.name
    assert failure["kind"] == "OrderOutcomeUnknownError"
    harness.fleet.advance(_MINUTE_MS)
    _assert_rolled_out(harness)
    assert harness.loads(engine) == [_NEW]


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_late_order_of_a_former_holder_is_refused_or_reverted(
    checks_fencing: bool,
) -> None:
    harness = _OrderHarness(checks_fencing=checks_fencing)
    engine = harness.engines[0]
    harness.start_rollout()
    harness.fleet.advance(_MINUTE_MS)
    late = Order(
        request_id="late",
        kind=OrderKind.UNLOAD,
        fencing_number=1,
        version=_NEW,
    )
    engine.order(late)
    assert engine.versions is not None
    assert (_NEW in engine.versions) is checks_fencing
    harness.fleet.advance(_MINUTE_MS)
    assert engine.versions == _OLD | {_NEW}


def test_leaving_node_releases_its_leases_at_once() -> None:
    harness = _OrderHarness()
    engine = harness.engines[0]
    first = harness.holder(engine)
    first.core.draining.begin()
    assert first.core.draining.phase is not NodePhase.SERVING
    # Less than the lease validity of 9 s.
    harness.fleet.advance(4_000)
    assert not first.core.orders.dump()
    assert harness.holder(engine) is not first


def test_isolated_node_releases_its_leases() -> None:
    """An outdated configuration would unload versions that others rely on."""
    harness = _OrderHarness()
    engine = harness.engines[0]
    first = harness.holder(engine)
    for other in harness.fleet.live_nodes():
        for link in (
            Link(first.address, other.address),
            Link(other.address, first.address),
        ):
            harness.fleet.network.set_faults(link, LinkFaults(cut=True))
    first.store.set_read_lag(100)
    harness.advance_until(lambda: not first.core.is_fresh())
    harness.fleet.advance(STEP_MS * 10)
    assert not first.core.orders.dump()


def test_leases_expire_while_the_store_is_down_and_are_reacquired() -> None:
    harness = _OrderHarness()
    engine = harness.engines[0]
    for node in harness.fleet.live_nodes():
        node.store.set_down(True)
    harness.fleet.advance(_LEASE_MS)
    assert not harness.holders(engine)
    for node in harness.fleet.live_nodes():
        node.store.set_down(False)
    harness.fleet.advance(_LEASE_MS)
    harness.start_rollout()
    harness.fleet.advance(_MINUTE_MS)
    _assert_rolled_out(harness)


def test_withdrawn_version_is_unloaded() -> None:
    harness = _OrderHarness()
    harness.start_rollout()
    harness.fleet.advance(_MINUTE_MS)
    harness.commit(WithdrawVersion(change_id="3", author="me", ref=_NEW))
    harness.fleet.advance(_MINUTE_MS)
    for engine in harness.engines:
        assert engine.versions == _OLD
        kinds = [order.kind for order in engine.orders]
        assert kinds == [OrderKind.LOAD, OrderKind.UNLOAD]


@pytest.mark.parametrize("candidates", [0, 1, 2])
def test_only_candidates_have_scopes(candidates: int) -> None:
    harness = _OrderHarness()
    for node in harness.fleet.live_nodes():
        orders = node.core.orders
        orders._settings = dataclasses.replace(
            orders._settings, candidates=candidates
        )
        orders._scope_inputs = None
    harness.fleet.advance(1_000)
    dumps = [node.core.orders.dump() for node in harness.fleet.live_nodes()]
    assert sum(map(len, dumps)) == candidates * len(DOMAINS)
