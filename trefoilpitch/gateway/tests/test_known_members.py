"""Which daemons share the fleet's limits after an outage or a start."""

from __future__ import annotations

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import FleetView, ItemBatch, Member
from trefoilpitch.fleet.tests.fakes import InMemoryCodec
from trefoilpitch.gateway._cold_share import share_per_window
from trefoilpitch.gateway._known_members import KnownMembers
from trefoilpitch.gateway._peers import Heartbeat, PeerTable


class _Harness:
    def __init__(self, *, expects_peers: bool = True) -> None:
        self.clock = ManualClock(100_000)
        self.codec = InMemoryCodec()
        self.view = FleetView(self.codec, lambda change: None)
        self.peers = PeerTable("vm-1")
        self.is_current = True
        self.members = KnownMembers(
            self.view,
            self.peers,
            self.clock,
            own_name="vm-1",
            expects_peers=expects_peers,
            is_current=lambda: self.is_current,
        )

    def hear(self, name: str) -> None:
        heartbeat = Heartbeat(
            node=name,
            incarnation="start-1",
            sequence=1,
            revision=1,
            current=True,
            store_reachable=True,
            ready=True,
            versions=(),
        )
        self.peers.record(heartbeat, self.clock.now_ms())

    def list_member(self, name: str) -> None:
        member = Member(
            name=name,
            incarnation="start-1",
            caller_address="10.0.0.1:80",
            peer_host="10.0.0.1",
            peer_port=81,
            heartbeat_port=82,
            failure_domain="zone-a",
        )
        item = self.codec.item(name, member, 1)
        self.view.apply(ItemBatch(items=(item,), revision=1), 0)

    def pass_time(self, by_ms: int) -> None:
        self.clock.advance(by_ms)
        self.peers.expire(self.clock.now_ms())


def test_daemon_that_has_heard_nobody_takes_next_to_nothing() -> None:
    """All daemons start while the store lists none of them."""
    names = {f"vm-{n}" for n in range(83)}
    harness = _Harness()
    presumed = set(harness.members.names()) - {"vm-1"}
    shares = [share_per_window("u", 12.0, n, {n, *presumed}) for n in names]
    assert sum(shares) < 23


def test_daemon_counts_the_members_once_it_hears_a_peer() -> None:
    harness = _Harness()
    harness.list_member("vm-2")
    harness.list_member("vm-3")
    assert harness.members.are_uncertain
    harness.hear("vm-2")
    assert set(harness.members.names()) == {"vm-1", "vm-2", "vm-3"}


def test_daemon_whose_peers_fell_silent_is_not_the_only_one() -> None:
    """The peers' entries have expired, and their heartbeats are lost."""
    harness = _Harness()
    harness.hear("vm-2")
    assert not harness.members.are_uncertain
    harness.pass_time(5_000)
    assert harness.members.are_uncertain


def test_cut_off_daemon_takes_the_share_that_the_listing_gives_it() -> None:
    harness = _Harness()
    harness.list_member("vm-2")
    harness.hear("vm-2")
    assert not harness.members.are_uncertain
    harness.pass_time(5_000)
    assert set(harness.members.names()) == {"vm-1", "vm-2"}


@pytest.mark.parametrize("is_current", [False, True])
def test_only_a_store_that_responds_shows_that_there_are_no_others(
    is_current: bool,
) -> None:
    harness = _Harness()
    harness.is_current = is_current
    assert harness.members.are_uncertain
    harness.pass_time(60_000)
    assert harness.members.are_uncertain is not is_current


def test_daemon_without_any_peer_in_its_settings_is_the_only_one() -> None:
    harness = _Harness(expects_peers=False)
    assert set(harness.members.names()) == {"vm-1"}


def test_daemon_that_hears_nobody_does_not_decide_for_the_fleet() -> None:
    """It would complete a roll-out on its own evidence alone."""
    harness = _Harness(expects_peers=False)
    assert harness.members.may_decide
    harness.list_member("vm-2")
    assert not harness.members.may_decide
    harness.hear("vm-2")
    assert harness.members.may_decide
    harness.pass_time(5_000)
    assert not harness.members.may_decide
