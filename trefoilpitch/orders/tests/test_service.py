from __future__ import annotations

import collections

from trefoilpitch.clock import ManualClock
from trefoilpitch.leases import lease_terms
from trefoilpitch.orders import (
    EngineScope,
    MemoryEngines,
    OrderService,
    ReconcilerSettings,
    candidate_scopes,
    engine_scopes,
    memory_engines,
    order_service,
)
from trefoilpitch.orders.tests.fleet import NEW, OLD, fleet_configuration
from trefoilpitch.store import MemoryStore, memory_store

_ENGINES = 8
_MINUTE_MS = 60_000
_POLL_MS = 250
_SCOPES = engine_scopes(("suva",), 2)


class _World:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.engines: MemoryEngines = memory_engines(self.clock)
        self.store: MemoryStore = memory_store(self.clock)
        self.clients: dict[str, MemoryStore] = {}

    def service(self, name: str) -> OrderService:
        self.clients[name] = self.store.new_client()
        service = order_service(
            store=self.clients[name],
            control=self.engines,
            clock=self.clock,
            lease_terms=lease_terms(name, validity_ms=3_000),
            reconciler_settings=ReconcilerSettings(load_interval_ms=500),
        )
        service.set_scopes(_SCOPES)
        service.set_configuration(fleet_configuration(engines=_ENGINES))
        return service

    def run(self, for_ms: int, *services: OrderService) -> None:
        for _ in range(for_ms // _POLL_MS):
            self.clock.advance(_POLL_MS)
            for service in services:
                service.poll()

    def loaded(self) -> list[set[object]]:
        return [
            set(self.engines.status(f"engine-{index}").loaded)
            for index in range(_ENGINES)
        ]


def _held(service: OrderService) -> set[EngineScope]:
    return {
        scope
        for scope, state in service.states.items()
        if state.lease.term is not None
    }


def test_survivor_takes_over_and_goes_on() -> None:
    world = _World()
    first, second = world.service("a"), world.service("b")
    world.run(_MINUTE_MS, first, second)
    assert world.loaded() == [{OLD}] * _ENGINES
    assert _held(first) | _held(second) == set(_SCOPES)
    for index in range(_ENGINES):
        world.engines.restart(f"engine-{index}")
    world.run(_MINUTE_MS, second)
    assert _held(second) == set(_SCOPES)
    assert world.loaded() == [{OLD}] * _ENGINES


def test_left_scopes_are_free_at_once() -> None:
    world = _World()
    with world.service("a") as first:
        world.run(1_000, first)
        assert _held(first) == set(_SCOPES)
        first.set_scopes(_SCOPES[:1])
    second = world.service("b")
    second.set_configuration(
        fleet_configuration(engines=_ENGINES, withdrawn=frozenset({NEW}))
    )
    world.run(_POLL_MS, second)
    assert _held(second) == set(_SCOPES)


def test_candidacy_begun_anew_does_not_take_the_old_record_for_its_own() -> (
    None
):
    world = _World()
    service = world.service("a")
    world.run(1_000, service)
    (before, _) = service.states.values()
    assert before.lease.term is not None
    world.clients["a"].set_down(True)
    service.set_scopes(())
    world.clients["a"].set_down(False)
    service.set_scopes(_SCOPES)
    world.run(1_000, service)
    assert not _held(service)
    world.run(_MINUTE_MS, service)
    for scope, state in service.states.items():
        assert state.lease.term is not None, scope
        assert state.lease.terms.holder != before.lease.terms.holder


def test_candidates_are_few_and_spread_over_the_members() -> None:
    scopes = engine_scopes(("suva", "nadi", "lautoka"), 8)
    members = [f"vm-{index}" for index in range(12)]
    chosen = collections.Counter(
        scope
        for member in members
        for scope in candidate_scopes(scopes, members, member, candidates=2)
    )
    assert chosen == dict.fromkeys(scopes, 2)
    gone = members[1:]
    for member in gone:
        before = candidate_scopes(scopes, members, member, candidates=2)
        after = candidate_scopes(scopes, gone, member, candidates=2)
        assert set(before) <= set(after)
