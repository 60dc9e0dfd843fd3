"""Which links to upstreams count as lost."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import CachedUpstream, UpstreamEntry, UpstreamState
from trefoilpitch.gateway import ExchangeError, HttpConnection
from trefoilpitch.gateway._upstream_links import Reachability, UpstreamLinks
from trefoilpitch.retries import FailureKind

_ENTRY = UpstreamEntry(
    upstream_id="u0",
    service="s",
    host="h",
    port=0,
    failure_domain="domain-a",
    version="v1",
    slots=8,
    state=UpstreamState.READY,
    cold_left_ms=0,
    started_wall_ms=0,
)


class _Network:
    """Links to upstreams, by their ports."""

    def __init__(self, upstreams: int = 6) -> None:
        self.clock = ManualClock(10_000)
        self.cut: set[int] = set()
        self.attempts = 0
        self.restored: list[str] = []
        self.restarted: list[str] = []
        self.links = UpstreamLinks(
            self.clock,
            self.restored.append,
            self._open,
            on_restarted=lambda entry: self.restarted.append(entry.upstream_id),
        )
        self.failure = FailureKind.CONNECT_REFUSED
        self.upstreams = {
            f"u{number}": CachedUpstream(
                entry=dataclasses.replace(
                    _ENTRY, upstream_id=f"u{number}", port=number
                ),
                cold_until_ms=0,
            )
            for number in range(upstreams)
        }

    async def _open(
        self, host: str, port: int, timeout_ms: float
    ) -> HttpConnection:
        self.attempts += 1
        if port in self.cut:
            raise ExchangeError(self.failure, "cut")
        return HttpConnection()

    def probe(self, number: int) -> Reachability:
        entry = self.upstreams[f"u{number}"].entry
        return asyncio.run(self.links.probe(entry))

    def run_trials(self, duration_ms: int, interval_ms: int = 250) -> None:
        for _ in range(duration_ms // interval_ms):
            self.clock.advance(interval_ms)
            for entry in self.links.due_trials(self.upstreams, 4):
                asyncio.run(self.links.probe(entry))


@pytest.mark.parametrize(
    ("lost", "others", "doubted"),
    [
        ([], 6, False),
        ([0], 2, False),
        ([0, 1], 6, False),
        ([0, 1, 2], 6, True),
        ([0, 1], 3, True),
    ],
)
def test_daemon_doubts_its_links_if_half_of_a_service_is_lost(
    lost: list[int], others: int, doubted: bool
) -> None:
    network = _Network(others)
    network.cut.update(lost)
    for number in lost:
        assert network.probe(number) is Reachability.REFUSED
    # A connection in between shows that not all links are lost.
    network.probe(others - 1)
    assert network.links.are_doubted(network.upstreams) is doubted
    assert not network.links.all_doubted


def test_all_links_are_doubted_after_failures_in_a_row() -> None:
    network = _Network()
    network.cut.update({0, 1})
    network.probe(0)
    network.probe(0)
    assert not network.links.all_doubted
    network.probe(1)
    assert network.links.all_doubted
    # The trial of another link shows that the doubt is not justified.
    network.run_trials(250)
    assert not network.links.all_doubted
    assert set(network.links.lost) == {"u0", "u1"}


def test_lost_links_are_tried_ever_less_often() -> None:
    """A daemon that stays cut off must not flood upstreams with trials."""
    network = _Network()
    network.cut.update(range(6))
    for number in range(6):
        network.probe(number)
    network.run_trials(3_500)
    before = network.attempts
    network.run_trials(10_000)
    # Every 2 s each.
    assert network.attempts - before <= 6 * 5 + 6


def test_one_restored_link_leads_to_trials_of_the_others() -> None:
    network = _Network()
    network.cut.update(range(6))
    for number in range(6):
        network.probe(number)
    network.run_trials(10_000)
    network.cut.clear()
    network.run_trials(2_500)
    assert not network.links.lost
    assert sorted(network.restored) == sorted(network.upstreams)


def test_removed_upstreams_are_forgotten() -> None:
    network = _Network()
    network.cut.update({0, 1})
    network.probe(0)
    network.probe(1)
    network.links.retain({"u1": None, "u2": None})
    assert set(network.links.lost) == {"u1"}
    assert not network.links.all_doubted


@pytest.mark.parametrize(
    ("failure", "restarted"),
    [
        (FailureKind.CONNECT_REFUSED, ["u0"]),
        # Its VM did not respond, which a lost link explains.
        (FailureKind.CONNECT_TIMEOUT, []),
    ],
)
def test_connection_after_a_refused_one_shows_a_restart(
    failure: FailureKind, restarted: list[str]
) -> None:
    network = _Network()
    network.failure = failure
    network.cut.add(0)
    network.probe(0)
    network.cut.clear()
    network.probe(0)
    network.probe(0)
    assert network.restarted == restarted
