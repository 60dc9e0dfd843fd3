from __future__ import annotations

import itertools

import pytest

from trefoilpitch.configuration.replication import (
    Standing,
    is_confirmed,
    may_accept_changes,
)
from trefoilpitch.configuration.replication.tests.fleet import (
    Fleet,
    ready_fleet,
)
from trefoilpitch.configuration.tests.examples import (
    many_changes,
    sign_off,
    vm_out,
)

_HOUR_MS = 3_600_000
_ADMITTING = {Standing.CURRENT, Standing.STORE_LOST}


def _signed_fleet(nodes_per_domain: int = 3) -> Fleet:
    fleet = ready_fleet(nodes_per_domain=nodes_per_domain)
    fleet.commit("a-0", sign_off()).unwrap()
    fleet.run(1_000)
    return fleet


def test_change_is_in_force_on_every_node_within_a_second() -> None:
    fleet = ready_fleet(nodes_per_domain=8)
    reads = fleet.store.counters.reads
    relays = sum(s.links.is_relay for s in fleet.states.values())
    assert relays == 12
    for change in itertools.islice(many_changes(), 20):
        fleet.commit("a-0", change).unwrap()
        fleet.run(1_000)
        assert fleet.revisions() == {fleet.states["a-0"].revision}
    assert set(fleet.standings().values()) == {Standing.CURRENT}
    per_second = (fleet.store.counters.reads - reads) / 20
    assert per_second < relays, "only relays read the store"


@pytest.mark.parametrize(
    ("is_relay", "within_ms"), [(True, 100), (False, 1_200)]
)
def test_change_is_confirmed_through_any_node(
    is_relay: bool, within_ms: int
) -> None:
    fleet = _signed_fleet(nodes_per_domain=8)
    name = next(
        name
        for name, state in fleet.states.items()
        if state.links.is_relay is is_relay
    )
    fleet.commit(name, vm_out("x")).unwrap()
    assert not is_confirmed(fleet.states[name], 2)
    fleet.run(within_ms)
    assert is_confirmed(fleet.states[name], 2)


def test_missed_changes_are_sent_as_deltas() -> None:
    fleet = _signed_fleet(nodes_per_domain=6)
    snapshots = {n: s.counters.peer_snapshots for n, s in fleet.states.items()}
    for number in range(20):
        fleet.commit("a-0", vm_out(f"x-{number}")).unwrap()
        fleet.run(37)
    fleet.run(1_000)
    assert fleet.revisions() == {21}
    assert snapshots == {
        n: s.counters.peer_snapshots for n, s in fleet.states.items()
    }


def test_nodes_admit_work_while_the_store_is_down_for_an_hour() -> None:
    fleet = _signed_fleet(nodes_per_domain=2)
    fleet.store.set_down(True)
    fleet.tick_ms = 1_000
    for _ in range(10):
        fleet.run(_HOUR_MS // 10)
        assert set(fleet.standings().values()) == {Standing.STORE_LOST}
        assert not may_accept_changes(fleet.states["a-0"], fleet.now_ms)
    fleet.store.set_down(False)
    fleet.run(10_000)
    fleet.commit("b-0", vm_out("x")).unwrap()
    fleet.run(1_000)
    assert fleet.revisions() == {2}
    assert set(fleet.standings().values()) == {Standing.CURRENT}


def test_replaced_vm_starts_from_peers_without_the_store() -> None:
    fleet = _signed_fleet()
    fleet.store.set_down(True)
    fleet.run(20_000)
    fleet.start("b-1")
    assert fleet.standings()["b-1"] is Standing.STARTING
    fleet.run(1_000)
    assert fleet.standings()["b-1"] is Standing.STORE_LOST
    assert fleet.states["b-1"].revision == 1
    assert fleet.states["b-1"].counters.peer_snapshots == 1


def test_isolated_node_refuses_new_work_until_reconnected() -> None:
    fleet = _signed_fleet()
    fleet.isolated = {"a-0"}
    fleet.run(4_000)
    assert fleet.standings()["a-0"] in _ADMITTING
    fleet.run(2_000)
    assert fleet.standings()["a-0"] is Standing.CUT_OFF
    others = {n: s for n, s in fleet.standings().items() if n != "a-0"}
    assert set(others.values()) == {Standing.CURRENT}
    fleet.commit("b-0", vm_out("x")).unwrap()
    fleet.isolated = set()
    fleet.run(10_000)
    assert fleet.standings()["a-0"] is Standing.CURRENT
    assert fleet.states["a-0"].revision == 2


def test_partitioned_domain_without_the_store_is_cut_off() -> None:
    fleet = _signed_fleet()
    fleet.groups = [{"a"}, {"b", "c"}]
    fleet.store_unreachable_from = {"a"}
    fleet.run(8_000)
    by_domain = {
        name[0]: standing for name, standing in fleet.standings().items()
    }
    assert by_domain == {
        "a": Standing.CUT_OFF,
        "b": Standing.CURRENT,
        "c": Standing.CURRENT,
    }


def test_partitioned_domain_with_the_store_accepts_no_change() -> None:
    fleet = _signed_fleet()
    fleet.groups = [{"a"}, {"b", "c"}]
    fleet.store_unreachable_from = {"b", "c"}
    fleet.run(8_000)
    assert fleet.standings()["a-0"] is Standing.CURRENT
    assert fleet.standings()["b-0"] is Standing.STORE_LOST
    assert not may_accept_changes(fleet.states["a-0"], fleet.now_ms)


def test_change_just_after_a_partition_is_not_confirmed() -> None:
    fleet = _signed_fleet()
    fleet.groups = [{"a"}, {"b", "c"}]
    fleet.store_unreachable_from = {"b", "c"}
    assert may_accept_changes(fleet.states["a-0"], fleet.now_ms)
    fleet.commit("a-0", vm_out("x")).unwrap()
    fleet.run(8_000)
    assert not is_confirmed(fleet.states["a-0"], 2)
    fleet.groups = [{"a", "b", "c"}]
    fleet.run(2_000)
    assert is_confirmed(fleet.states["a-0"], 2)
    assert fleet.revisions() == {2}


def test_domain_without_the_store_uses_the_proofs_of_peers() -> None:
    fleet = _signed_fleet(nodes_per_domain=5)
    fleet.store_unreachable_from = {"a"}
    fleet.run(20_000)
    assert set(fleet.standings().values()) == {Standing.CURRENT}
    fleet.commit("b-0", vm_out("x")).unwrap()
    fleet.run(1_000)
    assert fleet.revisions() == {2}


@pytest.mark.parametrize("missed", [5, 300])
def test_node_that_missed_changes_catches_up(missed: int) -> None:
    fleet = _signed_fleet()
    fleet.isolated = {"c-2"}
    for change in itertools.islice(many_changes(), 1, missed + 1):
        fleet.commit("a-0", change).unwrap()
    fleet.isolated = set()
    fleet.run(3_000)
    state = fleet.states["c-2"]
    assert state.revision == missed + 1
    assert state.configuration == fleet.states["a-0"].configuration
    assert (state.counters.peer_snapshots > 1) == (missed == 300)


def test_lagging_reads_and_repeated_events_decrease_no_revision() -> None:
    fleet = _signed_fleet()
    for change in itertools.islice(many_changes(), 1, 10):
        fleet.commit("a-0", change).unwrap()
        fleet.run(200)
    fleet.run(1_000)
    fleet.store.set_read_lag(5)
    fleet.store.redeliver(8)
    fleet.run(3_000)
    assert fleet.revisions() == {10}
    stale = sum(s.counters.stale_heads for s in fleet.states.values())
    assert stale > 0


def test_new_node_takes_the_highest_of_store_and_peers() -> None:
    fleet = _signed_fleet()
    fleet.commit("a-0", vm_out("x")).unwrap()
    fleet.commit("a-0", vm_out("y")).unwrap()
    fleet.run(1_000)
    fleet.store.set_read_lag(1)
    fleet.start("b-2")
    for _ in range(30):
        fleet.run(100)
        if fleet.standings()["b-2"] is not Standing.STARTING:
            break
    assert fleet.states["b-2"].revision == 3


def test_stopped_relays_are_replaced() -> None:
    fleet = _signed_fleet(nodes_per_domain=6)
    relays = [
        name
        for name, state in fleet.states.items()
        if state.links.is_relay and name.startswith("a")
    ]
    assert len(relays) == 4
    for name in relays:
        fleet.stop(name)
    fleet.run(3_000)
    fleet.commit("b-0", vm_out("x")).unwrap()
    fleet.run(1_000)
    assert fleet.revisions() == {2}
    assert set(fleet.standings().values()) == {Standing.CURRENT}


def test_clients_of_an_unreachable_relay_use_another() -> None:
    fleet = _signed_fleet(nodes_per_domain=6)
    client = next(n for n, s in fleet.states.items() if not s.links.is_relay)
    first_relay = fleet.states[client].links.relays[0].name
    fleet.isolated = {first_relay}
    fleet.run(8_000)
    fleet.commit("b-0", vm_out("x")).unwrap()
    fleet.run(1_500)
    assert fleet.states[client].revision == 2
    assert fleet.standings()[client] is Standing.CURRENT


def test_single_node_needs_only_the_store() -> None:
    fleet = Fleet("a", 1)
    fleet.start()
    fleet.run(500)
    assert fleet.standings() == {"a-0": Standing.CURRENT}
    fleet.commit("a-0", sign_off()).unwrap()
    assert is_confirmed(fleet.states["a-0"], 1)
    fleet.run(1_000)
    assert fleet.revisions() == {1}
    fleet.store.set_down(True)
    fleet.run(60_000)
    assert fleet.standings() == {"a-0": Standing.STORE_LOST}


def test_without_deltas_every_change_is_sent_as_a_snapshot() -> None:
    fleet = Fleet("abc", 5)
    fleet.max_delta_bytes = 0
    fleet.start()
    fleet.run(3_000)
    for revision, change in enumerate(itertools.islice(many_changes(), 4), 1):
        fleet.commit("a-0", change).unwrap()
        fleet.run(2_000)
        assert fleet.revisions() == {revision}
    for state in fleet.states.values():
        counters, is_relay = state.counters, state.links.is_relay
        assert counters.deltas_applied == 0
        assert (counters.store_snapshots == 4) is is_relay
        assert (counters.peer_snapshots == 4) is not is_relay
