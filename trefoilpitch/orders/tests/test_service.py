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


class _ServiceHarness:
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


def _held_scopes(service: OrderService) -> set[EngineScope]:
    return {
        scope
        for scope, state in service.states.items()
        if state.lease.term is not None
    }


def test_remaining_service_acquires_all_leases_and_restores_versions() -> None:
    harness = _ServiceHarness()
    first, second = harness.service("a"), harness.service("b")
    harness.run(_MINUTE_MS, first, second)
    assert harness.loaded() == [{OLD}] * _ENGINES
    assert _held_scopes(first) | _held_scopes(second) == set(_SCOPES)
    for index in range(_ENGINES):
        harness.engines.restart(f"engine-{index}")
    harness.run(_MINUTE_MS, second)
    assert _held_scopes(second) == set(_SCOPES)
    assert harness.loaded() == [{OLD}] * _ENGINES


def test_leases_of_removed_scopes_are_released_at_once() -> None:
    harness = _ServiceHarness()
    with harness.service("a") as first:
        harness.run(1_000, first)
        assert _held_scopes(first) == set(_SCOPES)
        first.set_scopes(_SCOPES[:1])
    second = harness.service("b")
    second.set_configuration(
        fleet_configuration(engines=_ENGINES, withdrawn=frozenset({NEW}))
    )
    harness.run(_POLL_MS, second)
    assert _held_scopes(second) == set(_SCOPES)


def test_new_candidacy_does_not_treat_the_old_lease_record_as_its_own() -> None:
    harness = _ServiceHarness()
    service = harness.service("a")
    harness.run(1_000, service)
    (before, _) = service.states.values()
    assert before.lease.term is not None
    harness.clients["a"].set_down(True)
    service.set_scopes(())
    harness.clients["a"].set_down(False)
    service.set_scopes(_SCOPES)
    harness.run(1_000, service)
    assert not _held_scopes(service)
    harness.run(_MINUTE_MS, service)
    for scope, state in service.states.items():
        assert state.lease.term is not None, scope
        assert state.lease.terms.holder != before.lease.terms.holder


def test_each_scope_has_two_candidates_and_removals_keep_the_others() -> None:
    scopes = engine_scopes(("suva", "nadi", "lautoka"), 8)
    members = [f"vm-{index}" for index in range(12)]
    chosen = collections.Counter(
        scope
        for member in members
        for scope in candidate_scopes(scopes, members, member, candidates=2)
    )
    assert chosen == dict.fromkeys(scopes, 2)
    remaining = members[1:]
    for member in remaining:
        before = candidate_scopes(scopes, members, member, candidates=2)
        after = candidate_scopes(scopes, remaining, member, candidates=2)
        assert set(before) <= set(after)
