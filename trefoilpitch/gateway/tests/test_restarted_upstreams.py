"""Upstreams that restart cold while the shared state calls them warm."""

from __future__ import annotations

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.fleet.tests.fakes import upstream
from trefoilpitch.gateway._peers import Heartbeat, PeerTable
from trefoilpitch.gateway._restarted_upstreams import RestartedUpstreams

_COLD_MS = 3_000


class _Daemon:
    def __init__(self, name: str, clock: ManualClock) -> None:
        self.name = name
        self.clock = clock
        self.peers = PeerTable(name)
        self.restarts = RestartedUpstreams(clock, self.peers.cold_until_ms)
        self._sequence = 0

    def notify(self, other: _Daemon) -> None:
        self._sequence += 1
        heartbeat = Heartbeat(
            node=self.name,
            incarnation="start-1",
            sequence=self._sequence,
            revision=1,
            current=True,
            store_reachable=False,
            ready=True,
            versions=(),
            cold_ms=self.restarts.own_cold_ms(),
        )
        other.peers.record(heartbeat, self.clock.now_ms())


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(100_000)


@pytest.fixture
def daemon(clock: ManualClock) -> _Daemon:
    return _Daemon("vm-1", clock)


@pytest.fixture
def peer(clock: ManualClock) -> _Daemon:
    return _Daemon("vm-2", clock)


def _entry(**fields: object) -> UpstreamEntry:
    return upstream("u", **fields)


def test_upstream_that_came_back_is_cold_for_the_time_of_its_service(
    daemon: _Daemon,
) -> None:
    daemon.restarts.record_restarted(_entry(), _COLD_MS, certain=True)
    assert daemon.restarts.is_cold(_entry())
    daemon.clock.advance(_COLD_MS)
    assert not daemon.restarts.is_cold(_entry())


@pytest.mark.parametrize("reported_ms", [0, 1_000, 20_000])
def test_report_of_the_upstream_replaces_the_presumed_time(
    daemon: _Daemon, reported_ms: int
) -> None:
    daemon.restarts.record_restarted(_entry(), _COLD_MS, certain=True)
    daemon.restarts.record_report(_entry(), reported_ms)
    assert daemon.restarts.is_cold(_entry()) is (reported_ms > 0)
    daemon.clock.advance(reported_ms)
    assert not daemon.restarts.is_cold(_entry())


def test_entry_of_the_new_start_says_how_cold_it_is(daemon: _Daemon) -> None:
    old, new = _entry(started_wall_ms=1), _entry(started_wall_ms=2)
    daemon.restarts.record_restarted(old, _COLD_MS, certain=True)
    assert not daemon.restarts.is_cold(new)


def test_peers_hold_it_for_cold_without_having_been_refused(
    daemon: _Daemon, peer: _Daemon
) -> None:
    daemon.restarts.record_restarted(_entry(), _COLD_MS, certain=True)
    daemon.notify(peer)
    assert peer.restarts.is_cold(_entry())
    peer.clock.advance(_COLD_MS)
    assert not peer.restarts.is_cold(_entry())


def test_daemon_whose_links_were_cut_alarms_nobody(
    daemon: _Daemon, peer: _Daemon
) -> None:
    """To it all upstreams seem to have restarted."""
    daemon.restarts.record_restarted(_entry(), _COLD_MS, certain=False)
    daemon.notify(peer)
    assert daemon.restarts.is_cold(_entry())
    assert not peer.restarts.is_cold(_entry())


def test_what_an_upstream_reports_outweighs_what_a_peer_presumes(
    daemon: _Daemon, peer: _Daemon
) -> None:
    peer.restarts.record_restarted(_entry(), _COLD_MS, certain=True)
    peer.restarts.record_report(_entry(), 0)
    daemon.restarts.record_restarted(_entry(), _COLD_MS, certain=True)
    daemon.notify(peer)
    assert not peer.restarts.is_cold(_entry())


def test_broken_connection_holds_an_upstream_for_cold_only_briefly(
    daemon: _Daemon,
) -> None:
    """Its health response is read meanwhile."""
    daemon.restarts.record_broken(_entry())
    assert daemon.restarts.is_cold(_entry())
    daemon.clock.advance(500)
    assert not daemon.restarts.is_cold(_entry())
    assert daemon.restarts.own_cold_ms() == {}


def test_huge_cold_time_of_a_peer_is_limited(peer: _Daemon) -> None:
    sender = _Daemon("vm-3", peer.clock)
    sender.restarts.record_restarted(_entry(), 1 << 50, certain=True)
    sender.notify(peer)
    peer.clock.advance(60_000)
    assert not peer.restarts.is_cold(_entry())
    peer.peers.expire(peer.clock.now_ms())
    assert peer.peers.cold_until_ms(0) == 0
