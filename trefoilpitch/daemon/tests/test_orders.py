"""Node cores that order engines, on one clock, store and network."""

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


class _World:
    """A fleet whose engines have the old versions, and its operator."""

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
        raise AssertionError("it did not happen in a minute")

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


def _assert_rolled_out(world: _World) -> None:
    for engine in world.engines:
        assert engine.versions == _OLD | {_NEW}
        numbers = [order.fencing_number for order in engine.orders]
        assert numbers == sorted(numbers)


def test_roll_out_loads_its_version_once_and_nothing_else_is_ordered() -> None:
    world = _World()
    for engine in world.engines:
        assert not engine.orders
        assert world.holder(engine)
    world.start_rollout()
    world.fleet.advance(_MINUTE_MS)
    _assert_rolled_out(world)
    for engine in world.engines:
        assert world.loads(engine) == [_NEW]
    counters = [
        node.core.metrics.counters() for node in world.fleet.live_nodes()
    ]
    assert sum(one.get("orders", 0) for one in counters) == len(world.engines)
    assert sum(one.get("lease_terms", 0) for one in counters) == len(DOMAINS)


def test_holder_paused_with_an_order_in_hand_sends_it_no_more() -> None:
    world = _World()
    engine = world.engines[0]
    first = world.holder(engine)

    def has_decided() -> bool:
        orders = world.scope(first, engine)["open_orders"]
        return any(one["is_on_its_way"] for one in orders)

    world.start_rollout()
    world.advance_until(has_decided)
    assert not engine.orders
    first.is_paused = True
    world.fleet.advance(2 * _LEASE_MS)
    assert world.holder(engine) is not first
    assert world.loads(engine) == [_NEW]
    world.commit(WithdrawVersion(change_id="3", author="me", ref=_NEW))
    world.fleet.advance(_MINUTE_MS)
    first.is_paused = False
    world.fleet.advance(_MINUTE_MS)
    assert len(world.holders(engine)) == 1
    assert engine.versions == _OLD
    kinds = [order.kind for order in engine.orders]
    assert kinds == [OrderKind.LOAD, OrderKind.UNLOAD]


def test_order_whose_reply_was_lost_is_settled_by_a_read() -> None:
    world = _World()
    engine = world.engines[0]
    engine.order_replies_to_lose = 1
    holder = world.holder(engine)
    world.start_rollout()
    world.advance_until(lambda: engine.orders)
    world.fleet.advance(STEP_MS * 10)
    (failure,) = world.scope(holder, engine)["failures"]
    assert failure["engine"] == engine.name
    assert failure["kind"] == "OrderOutcomeUnknownError"
    world.fleet.advance(_MINUTE_MS)
    _assert_rolled_out(world)
    assert world.loads(engine) == [_NEW]


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_late_order_of_a_former_holder_is_refused_or_put_right(
    checks_fencing: bool,
) -> None:
    world = _World(checks_fencing=checks_fencing)
    engine = world.engines[0]
    world.start_rollout()
    world.fleet.advance(_MINUTE_MS)
    late = Order(
        request_id="late",
        kind=OrderKind.UNLOAD,
        fencing_number=1,
        version=_NEW,
    )
    engine.order(late)
    assert engine.versions is not None
    assert (_NEW in engine.versions) is checks_fencing
    world.fleet.advance(_MINUTE_MS)
    assert engine.versions == _OLD | {_NEW}


def test_node_that_leaves_hands_its_leases_on_at_once() -> None:
    world = _World()
    engine = world.engines[0]
    first = world.holder(engine)
    first.core.draining.begin()
    assert first.core.draining.phase is not NodePhase.SERVING
    # A validity of 9 s is not waited out.
    world.fleet.advance(4_000)
    assert not first.core.orders.dump()
    assert world.holder(engine) is not first


def test_node_cut_off_from_all_gives_its_leases_up() -> None:
    """Its configuration may be old, and old orders unload what others use."""
    world = _World()
    engine = world.engines[0]
    first = world.holder(engine)
    for other in world.fleet.live_nodes():
        for link in (
            Link(first.address, other.address),
            Link(other.address, first.address),
        ):
            world.fleet.network.set_faults(link, LinkFaults(cut=True))
    first.store.set_read_lag(100)
    world.advance_until(lambda: not first.core.is_fresh())
    world.fleet.advance(STEP_MS * 10)
    assert not first.core.orders.dump()


def test_leases_lapse_while_the_store_is_down_and_come_back() -> None:
    world = _World()
    engine = world.engines[0]
    for node in world.fleet.live_nodes():
        node.store.set_down(True)
    world.fleet.advance(_LEASE_MS)
    assert not world.holders(engine)
    for node in world.fleet.live_nodes():
        node.store.set_down(False)
    world.fleet.advance(_LEASE_MS)
    world.start_rollout()
    world.fleet.advance(_MINUTE_MS)
    _assert_rolled_out(world)


def test_withdrawn_version_is_unloaded() -> None:
    world = _World()
    world.start_rollout()
    world.fleet.advance(_MINUTE_MS)
    world.commit(WithdrawVersion(change_id="3", author="me", ref=_NEW))
    world.fleet.advance(_MINUTE_MS)
    for engine in world.engines:
        assert engine.versions == _OLD
        kinds = [order.kind for order in engine.orders]
        assert kinds == [OrderKind.LOAD, OrderKind.UNLOAD]


@pytest.mark.parametrize("candidates", [0, 1, 2])
def test_only_candidates_take_part(candidates: int) -> None:
    world = _World()
    for node in world.fleet.live_nodes():
        orders = node.core.orders
        orders._settings = dataclasses.replace(
            orders._settings, candidates=candidates
        )
        orders._decided_on = None
    world.fleet.advance(1_000)
    dumps = [node.core.orders.dump() for node in world.fleet.live_nodes()]
    assert sum(map(len, dumps)) == candidates * len(DOMAINS)
