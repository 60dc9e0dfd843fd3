"""What a daemon takes for its part of scarce capacity."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import FleetView, ItemBatch
from trefoilpitch.fleet.tests.fakes import (
    InMemoryCodec,
    configuration,
    upstream,
)
from trefoilpitch.gateway._dispatcher import Dispatcher
from trefoilpitch.gateway._service_load import PLACES_PER_SLOT, ServiceLoads

_SLOTS = 64
_PLACES = round(_SLOTS * PLACES_PER_SLOT)


def _loads(
    peer_demands: list[int], in_flight: int = 0, cold_left_ms: int = 0
) -> tuple[ServiceLoads, ManualClock]:
    clock = ManualClock(10_000)
    codec = InMemoryCodec()
    view = FleetView(codec, lambda change: None)
    items = (
        codec.item("config", configuration(), 1),
        codec.item(
            "u", upstream("u", slots=_SLOTS, cold_left_ms=cold_left_ms), 2
        ),
    )
    view.apply(ItemBatch(items=items, revision=2), clock.now_ms())
    dispatcher = Dispatcher(
        view,
        clock,
        random.Random(1),
        own_name="vm-0",
        failure_domain="domain-a",
        members=lambda: frozenset({"vm-0"}),
        peers_in_flight=dict,
    )
    dispatcher.health("u").in_flight = in_flight
    loads = ServiceLoads(view, dispatcher, clock, lambda service: peer_demands)
    return loads, clock


def test_no_daemon_is_limited_while_there_is_enough_for_all() -> None:
    loads, _ = _loads([_PLACES - 10], in_flight=10)
    assert loads.describe("s", Counter()).share is None


@pytest.mark.parametrize("peers", [[], [0, 0, 0]])
def test_peers_without_demand_keep_no_places(peers: list[int]) -> None:
    loads, _ = _loads(peers, in_flight=_PLACES)
    assert loads.describe("s", Counter({1: 50})).share == _PLACES


def test_cold_upstreams_are_left_to_their_own_limits() -> None:
    """After a restart of all of them there would be no places at all."""
    loads, _ = _loads([], in_flight=5, cold_left_ms=3_000)
    assert loads.describe("s", Counter({1: 50})).share is None


def test_daemon_whose_requests_only_wait_has_its_part() -> None:
    """The others' requests in flight would otherwise keep all places."""
    loads, _ = _loads([_PLACES * 2, _PLACES], in_flight=0)
    assert loads.describe("s", Counter({1: _PLACES})).share == _PLACES // 4
    loads, _ = _loads([1_000] * 82, in_flight=0)
    assert loads.describe("s", Counter({1: 1})).share == 1


def test_places_come_as_fast_as_requests_end() -> None:
    loads, clock = _loads([], in_flight=_PLACES)
    assert loads.describe("s", Counter()).places_per_s == 0.0
    for _ in range(300):
        clock.advance(10)
        loads.record_completion("s", 960)
        loads.record_arrival("s", 2)
    load = loads.describe("s", Counter())
    assert load.places_per_s == pytest.approx(100, rel=0.1)
    assert load.arrivals_per_s[2] == pytest.approx(100, rel=0.1)
