from __future__ import annotations

import dataclasses

import msgspec
import pytest

from trefoilpitch.configuration import HEAD_KEY, SetFailureDomain
from trefoilpitch.configuration._codec import decode_head, encode_head
from trefoilpitch.configuration.replication import (
    HeadRead,
    MessageReceived,
    NodeRevision,
    PeerNode,
    ReplicaEvent,
    RevisionProbe,
    RevisionReply,
    SendMessage,
    Standing,
    Tick,
    plan_links,
    revision_coverage,
    standing,
    step,
)
from trefoilpitch.configuration.replication._freshness import (
    expected_domains,
)
from trefoilpitch.configuration.replication._state import ReplicaState
from trefoilpitch.configuration.replication.tests.fleet import (
    Fleet,
    ready_fleet,
)
from trefoilpitch.configuration.tests.examples import sign_off, vm_out


def _signed_fleet() -> Fleet:
    fleet = ready_fleet(nodes_per_domain=2)
    fleet.commit("a-0", sign_off()).unwrap()
    fleet.run(1_000)
    return fleet


def _next_probe(
    state: ReplicaState, now_ms: int
) -> tuple[ReplicaState, SendMessage]:
    """Ticks a replica until it sends a probe."""
    for later_ms in range(now_ms, now_ms + 1_000, 100):
        state, actions = step(state, Tick(), later_ms)
        for action in actions:
            if isinstance(action, SendMessage):
                return state, action
    raise AssertionError("no probe was sent")


def _reply_to(fleet: Fleet, name: str, probe: SendMessage) -> RevisionReply:
    event = MessageReceived(address="x", message=probe.message)
    _, actions = step(fleet.states[name], event, fleet.now_ms)
    (action,) = (a for a in actions if isinstance(a, SendMessage))
    assert isinstance(action.message, RevisionReply)
    return action.message


def test_deltas_with_a_digest_mismatch_are_rejected() -> None:
    fleet = _signed_fleet()
    behind, probe = _next_probe(fleet.states["b-0"], fleet.now_ms)
    fleet.commit("a-0", vm_out("x")).unwrap()
    reply = msgspec.structs.replace(
        _reply_to(fleet, "a-0", probe), digest="0" * 64
    )
    event = MessageReceived(address=probe.address, message=reply)
    state, _ = step(behind, event, fleet.now_ms)
    assert state.revision == 1
    assert state.counters.digest_mismatches == 1
    fleet.states["b-0"] = state
    fleet.run(3_000)
    assert fleet.states["b-0"].revision == 2


@pytest.mark.parametrize("delay_ms", [0, 900, 4_000])
def test_delayed_reply_proves_nothing_later_than_its_probe(
    delay_ms: int,
) -> None:
    fleet = _signed_fleet()
    state, probe = _next_probe(fleet.states["b-0"], fleet.now_ms)
    sent_ms = state.outstanding[-1].sent_ms
    reply = msgspec.structs.replace(
        _reply_to(fleet, "a-0", probe), proof_age_ms=0
    )
    state = dataclasses.replace(state, proven_ms=None, head_read_ms=None)
    arrival_ms = sent_ms + delay_ms
    state, _ = step(state, Tick(), arrival_ms)
    event = MessageReceived(address=probe.address, message=reply)
    state, _ = step(state, event, arrival_ms)
    expected = sent_ms if delay_ms < 1_000 else None
    assert state.proven_ms == expected


def test_node_that_cannot_get_a_known_revision_is_behind() -> None:
    fleet = _signed_fleet()
    fleet.store.set_down(True)
    fleet.run(6_000)
    assert fleet.standings()["b-0"] is Standing.STORE_LOST
    probe = RevisionProbe(nonce=0, revision=2)
    event: ReplicaEvent = MessageReceived(address="gone", message=probe)
    fleet.handle("b-0", event)
    fleet.run(1_500)
    assert fleet.standings()["b-0"] is Standing.STORE_LOST
    fleet.run(1_000)
    assert fleet.standings()["b-0"] is Standing.BEHIND


def test_node_started_in_a_partitioned_domain_learns_of_the_others() -> None:
    fleet = Fleet("abc", 2)
    fleet.configures_domains = False
    fleet.start()
    fleet.run(2_000)
    fleet.commit("a-0", sign_off()).unwrap()
    fleet.run(1_000)
    fleet.groups = [{"a"}, {"b", "c"}]
    fleet.store_unreachable_from = {"a"}
    fleet.run(8_000)
    fleet.start_with_peers("a-1", "a-0")
    fleet.run(3_000)
    assert fleet.states["a-1"].revision == 1
    assert expected_domains(fleet.states["a-1"]) == frozenset("abc")
    assert not fleet.standings()["a-1"].admits_new_work


def test_failure_domain_that_the_bundle_does_not_name_is_not_counted() -> None:
    fleet = Fleet(("suva", "nadi", "lautoka"), 2)
    fleet.start()
    fleet.run(2_000)
    fleet.commit("suva-0", sign_off()).unwrap()
    fleet.run(1_000)
    state = fleet.states["suva-0"]
    state = dataclasses.replace(
        state, known_domains=state.known_domains | {"nady"}
    )
    assert expected_domains(state) == {"suva", "nadi", "lautoka"}
    fleet.states["suva-0"] = state
    change = SetFailureDomain(
        change_id="1", author="mere", failure_domain="nadi", in_service=False
    )
    fleet.commit("suva-0", change).unwrap()
    fleet.run(1_000)
    for state in fleet.states.values():
        assert expected_domains(state) == {"suva", "lautoka"}


def test_diverged_replica_is_repaired_from_the_store() -> None:
    fleet = _signed_fleet()
    state = fleet.states["b-0"]
    wrong = dataclasses.replace(state.configuration, vms_out=frozenset("z"))
    fleet.states["b-0"] = dataclasses.replace(
        state, configuration=wrong, digest="0" * 64
    )
    fleet.run(3_000)
    repaired = fleet.states["b-0"]
    assert repaired.counters.divergences > 0
    assert repaired.configuration == fleet.states["a-0"].configuration


def test_peers_do_not_take_over_a_diverged_configuration() -> None:
    fleet = _signed_fleet()
    fleet.store.set_down(True)
    state = fleet.states["b-0"]
    wrong = dataclasses.replace(state.configuration, vms_out=frozenset("z"))
    fleet.states["b-0"] = dataclasses.replace(
        state, configuration=wrong, digest="0" * 64
    )
    fleet.run(8_000)
    others = [s for n, s in fleet.states.items() if n != "b-0"]
    assert {s.configuration.vms_out for s in others} == {frozenset()}


def test_corrupted_head_is_no_proof_and_stops_no_node() -> None:
    fleet = _signed_fleet()
    entry = fleet.store.get(HEAD_KEY).unwrap()
    assert entry is not None
    fleet.store.put_if(HEAD_KEY, b"x", entry.revision).unwrap()
    fleet.run(8_000)
    assert set(fleet.standings().values()) == {Standing.STORE_LOST}
    assert fleet.states["a-0"].counters.damaged > 0


def test_store_data_loss_decreases_no_revision() -> None:
    fleet = _signed_fleet()
    first = fleet.store.get(HEAD_KEY).unwrap()
    assert first is not None
    fleet.commit("a-0", vm_out("x")).unwrap()
    fleet.run(1_000)
    entry = fleet.store.get(HEAD_KEY).unwrap()
    assert entry is not None
    fleet.store.put_if(HEAD_KEY, first.value, entry.revision).unwrap()
    fleet.run(8_000)
    assert fleet.revisions() == {2}
    assert fleet.commit("a-0", vm_out("y")).failure()


def test_head_with_a_digest_mismatch_is_not_applied() -> None:
    fleet = _signed_fleet()
    state = fleet.states["b-0"]
    fleet.commit("a-0", vm_out("x")).unwrap()
    entry = fleet.store.get(HEAD_KEY).unwrap()
    assert entry is not None
    head = decode_head(entry.value).unwrap()
    wrong = dataclasses.replace(head, digest="0" * 64)
    event = HeadRead(value=encode_head(wrong), sent_ms=fleet.now_ms)
    state, _ = step(state, event, fleet.now_ms)
    assert state.revision == 1
    assert state.counters.digest_mismatches == 1


def test_links_spread_clients_over_relays_and_reach_every_domain() -> None:
    nodes = [
        PeerNode(name=f"{d}-{n}", failure_domain=d, address=f"{d}-{n}")
        for d in "abcdefghi"
        for n in range(43)
    ]
    links = {
        node.name: plan_links(node, [n for n in nodes if n != node], 4)
        for node in nodes
    }
    relays = {name: each for name, each in links.items() if each.is_relay}
    assert len(relays) == 36
    for name, each in relays.items():
        assert {n.failure_domain for n in each.relays} == set("abcdefghi")
        assert len(each.relays) + len(each.clients) < 48
        assert all(links[c.name].relays[0].name == name for c in each.clients)
    assert sum(len(each.clients) for each in relays.values()) == 387 - 36


def test_revision_coverage_groups_nodes_by_revision() -> None:
    reports = [
        NodeRevision(name="c", revision=6, age_ms=60_000),
        NodeRevision(name="b", revision=6, age_ms=100),
        NodeRevision(name="a", revision=7, age_ms=60_000),
        NodeRevision(name="d", revision=8, age_ms=100),
    ]
    status = revision_coverage(7, reports)
    assert status.in_force == ("a", "d")
    assert [report.name for report in status.behind] == ["b"]
    assert [report.name for report in status.silent] == ["c"]
    assert not status.is_everywhere
    assert revision_coverage(6, reports).is_everywhere


def test_standing_before_the_first_view_is_starting() -> None:
    fleet = Fleet("a", 1)
    fleet.start()
    state = dataclasses.replace(fleet.states["a-0"], joined_ms=None)
    for later_ms in range(0, 5_000, 100):
        head = HeadRead(value=None, sent_ms=later_ms)
        state, _ = step(state, head, later_ms)
        assert standing(state, later_ms) is Standing.STARTING


@pytest.mark.parametrize("max_delta_bytes", [0, 32_768])
def test_node_that_missed_a_change_in_a_cut_admits_nothing_before_it(
    max_delta_bytes: int,
) -> None:
    fleet = Fleet("abc", 2)
    fleet.max_delta_bytes = max_delta_bytes
    fleet.start()
    fleet.run(3_000)
    fleet.commit("a-0", sign_off()).unwrap()
    fleet.run(3_000)
    assert fleet.revisions() == {1}
    fleet.store_unreachable_from = {"b"}
    fleet.isolated = {"b-0", "b-1"}
    fleet.run(6_000)
    assert fleet.standings()["b-0"] is Standing.CUT_OFF
    fleet.commit("a-0", vm_out("x")).unwrap()
    fleet.isolated = set()
    fleet.tick_ms = 1
    for _ in range(3_000):
        fleet.run(1)
        for name, node_standing in fleet.standings().items():
            if node_standing.admits_new_work and name.startswith("b"):
                assert fleet.states[name].revision == 2
    assert fleet.revisions() == {2}
