"""Work, memory and speeds of upstreams as a daemon and its peers know them."""

from __future__ import annotations

import dataclasses
import random
from collections import Counter

import msgspec
import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import FleetView, ItemBatch, Service
from trefoilpitch.fleet.tests.fakes import (
    InMemoryCodec,
    configuration,
    upstream,
)
from trefoilpitch.gateway import CallerRequest, HttpRequest, LoadReport
from trefoilpitch.gateway._dispatcher import Dispatcher, NoUpstream
from trefoilpitch.gateway._peer_work import PeerWork, PeerWorkTable
from trefoilpitch.gateway._peers import (
    Heartbeat,
    PeerTable,
    encode_heartbeat,
)
from trefoilpitch.gateway._placement import Candidate, choose_from
from trefoilpitch.gateway._request_work import RequestWork
from trefoilpitch.gateway._state_dump import describe_state
from trefoilpitch.gateway._upstream_digest import upstream_digest
from trefoilpitch.gateway._upstream_speeds import UpstreamSpeeds
from trefoilpitch.gateway._work_tracking import WorkTracker
from trefoilpitch.metrics import Metrics

_ENTRY = upstream("u", slots=16)
_DIGEST = upstream_digest("u")


def _heartbeat(sequence: int, **fields: object) -> Heartbeat:
    values: dict[str, object] = {
        "node": "peer",
        "incarnation": "0123456789ab",
        "sequence": sequence,
        "revision": 1,
        "current": True,
        "store_reachable": True,
        "ready": True,
        "versions": (),
    }
    return Heartbeat(**{**values, **fields})  # type: ignore[arg-type]


class _Daemon:
    def __init__(self, memory_tokens: int | None = None) -> None:
        self.clock = ManualClock(10_000)
        self.peers = PeerTable("own")
        self.metrics = Metrics()
        codec = InMemoryCodec()
        self.view = FleetView(codec, lambda change: None)
        service = Service(
            name="s",
            cold_start_ms=0,
            cold_rate_per_s=0.0,
            memory_tokens=memory_tokens,
        )
        config = configuration(services={"s": service})
        items = (codec.item("config", config, 1), codec.item("u", _ENTRY, 2))
        self.view.apply(ItemBatch(items=items, revision=2), 10_000)
        self.dispatcher = Dispatcher(
            self.view,
            self.clock,
            random.Random(1),
            own_name="own",
            failure_domain="domain-a",
            members=lambda: {"own", "peer"},
            peers_in_flight=self.peers.in_flight,
            work=WorkTracker(self.clock, self.peers.work, self.metrics),
        )

    def request(self, tokens: int = 100) -> CallerRequest:
        http = HttpRequest(
            method=b"POST", target=b"/", headers=(), body=b"", arrived_ms=0
        )
        return CallerRequest(
            http=http,
            request_id="id",
            host="h",
            path="/",
            api_key=None,
            wait_ms=None,
            model="m",
            prompt_tokens=tokens,
            expected_output_tokens=100,
        )

    def work(self, tokens: int = 100) -> RequestWork:
        request = self.request(tokens)
        work = self.dispatcher.work
        return RequestWork(
            work,
            self.dispatcher.load,
            lambda: work.cost(request, "s", "r", None),
            self.clock,
            1_000,
        )

    def run(self, took_ms: int, status: int = 200) -> None:
        work = self.work()
        with work.counted(_ENTRY):
            started_ms = self.clock.now_ms()
            self.clock.advance(took_ms // 2)
            work.responded(_ENTRY, started_ms)
            self.clock.advance(took_ms // 2)
            work.events_arrived(_ENTRY, 10)
            work.completed(_ENTRY, status)

    def report(self, duration_percent: int | None) -> None:
        report = LoadReport(
            running=1, waiting=0, slots=16, duration_percent=duration_percent
        )
        self.dispatcher.record_load(_ENTRY, report)


def test_counts_decide_where_upstreams_do_not_report_their_speed() -> None:
    """Guards against another choice in deployments without the figure."""
    daemon = _Daemon()
    for _ in range(50):
        daemon.report(None)
        daemon.run(400)
    found = daemon.dispatcher.work.describe(_ENTRY, 4)
    assert (found.load, found.duration, found.slowdown) == (None, None, None)
    daemon.report(150)
    daemon.dispatcher.work.describe(_ENTRY, 4)
    found = daemon.dispatcher.work.describe(_ENTRY, 4)
    # Requests that are unknown count with the mean.
    assert found.load == pytest.approx(4.0)
    assert found.duration is not None
    assert found.slowdown is not None


def test_failed_responses_are_no_measure_of_cost_and_leave_no_work() -> None:
    daemon = _Daemon()
    for _ in range(20):
        daemon.run(5, status=404)
    with pytest.raises(ValueError, match="cut"), daemon.work().counted(_ENTRY):
        assert daemon.dispatcher.work.work_ms(_ENTRY) > 0
        raise ValueError("cut")
    assert daemon.dispatcher.work.work_ms(_ENTRY) == 0
    assert "work_estimates" not in str(daemon.metrics.counters())
    for _ in range(20):
        daemon.run(400)
    assert "work_estimates" in str(daemon.metrics.counters())


def test_peers_work_counts_until_their_next_heartbeat() -> None:
    daemon = _Daemon()
    in_flight = {_DIGEST: 2, 7: 1}
    daemon.peers.record(
        _heartbeat(1, in_flight=in_flight, work=(31, 4), kilotokens=(24, 0)), 0
    )
    assert daemon.dispatcher.work.work_ms(_ENTRY) == 3_100
    assert daemon.peers.work()[_DIGEST].kilotokens == 24
    assert daemon.peers.work_age_ms("u", 500) == 500
    daemon.peers.record(_heartbeat(2, in_flight={_DIGEST: 1}), 1_000)
    assert daemon.dispatcher.work.work_ms(_ENTRY) == 0
    assert daemon.peers.work() == {}


@pytest.mark.parametrize("work", [(), (1,), (1, 2, 3)])
def test_work_that_does_not_fit_the_requests_is_ignored(
    work: tuple[int, ...],
) -> None:
    """Guards against heartbeats of other builds, or with one digest twice."""
    table = PeerWorkTable()
    table.add({1: 3, 2: 1}, work)
    assert table.by_digest() == {}
    # Five requests of less than a tenth of a second each.
    table.add({1: 5}, (2,))
    assert table.by_digest() == {}
    table.add({1: 5}, (9,))
    assert table.by_digest() == {1: PeerWork(tenths=9, counted=5)}


def test_large_heartbeat_omits_the_work_first() -> None:
    digests = range(1 << 31, (1 << 31) + 140)
    heartbeat = _heartbeat(
        1,
        in_flight=dict.fromkeys(digests, 1),
        work=(300,) * 140,
        durations=dict.fromkeys(range(1 << 31, (1 << 31) + 32), 180),
    )
    (data,) = encode_heartbeat(heartbeat)
    found = msgspec.msgpack.decode(data, type=Heartbeat)
    assert len(found.in_flight) == 140
    assert (found.work, found.kilotokens, found.durations) == ((), (), {})


def test_prompt_that_does_not_fit_waits_and_a_small_one_is_sent() -> None:
    """Guards against preemption when the memory of an engine is full."""
    daemon = _Daemon(memory_tokens=30_000)

    def choose(tokens: int) -> object:
        return daemon.dispatcher.choose(
            daemon.request(tokens), "s", model=None, excluded=()
        )

    # A prompt that never fits is sent to an idle upstream nevertheless.
    assert choose(40_000) == _ENTRY
    daemon.peers.record(
        _heartbeat(1, in_flight={_DIGEST: 1}, work=(9,), kilotokens=(13,)), 0
    )
    with daemon.work(tokens=12_000).counted(_ENTRY):
        assert isinstance(choose(12_000), NoUpstream)
        assert choose(1_000) == _ENTRY
    assert choose(12_000) == _ENTRY


def test_speeds_are_passed_on_once_and_never_grow_without_bound() -> None:
    own, peer = UpstreamSpeeds(), UpstreamSpeeds()
    for percent in (150, 250):
        own.record_report("u", percent, 0)
    shared = own.take_unshared()
    assert shared == {_DIGEST: 200}
    assert own.take_unshared() == {}
    peer.adopt({**shared, 9: 0}, 0)
    duration = peer.duration("u", 0)
    assert duration is not None
    assert duration > 1.1
    for start in range(0, 20_000, 100):
        peer.adopt(dict.fromkeys(range(start, start + 100), 100), 0)
    assert len(peer._speeds) <= 8_192


def test_long_prompts_avoid_upstreams_with_pausing_streams() -> None:
    """Guards against pauses over the permitted ones by chunks of prompts."""
    daemon = _Daemon()
    for _ in range(40):
        daemon.report(100)
        daemon.run(400)
    work = daemon.work()
    tracker = daemon.dispatcher.work
    with work.counted(_ENTRY):
        work.responded(_ENTRY, daemon.clock.now_ms())
        daemon.clock.advance(900)
        work.events_arrived(_ENTRY, 1)
    assert tracker.describe(_ENTRY, 1).pause == pytest.approx(0.9)
    usual = Candidate(
        upstream_id="a",
        load=3,
        slots=16,
        failure_rate=0.0,
        latency_ratio=1.0,
        local=True,
        work_load=3.0,
        duration=1.0,
        slowdown=1.0,
    )
    pausing = dataclasses.replace(
        usual, upstream_id="b", load=1, work_load=1.0, pause=0.9
    )
    rng = random.Random(1)
    for reads_long, name, at_least in ((True, "a", 200), (False, "b", 110)):
        chosen = Counter(
            found.upstream_id
            for _ in range(200)
            if (
                found := choose_from(
                    [usual, pausing], [], rng, reads_long=reads_long
                )
            )
        )
        assert chosen[name] >= at_least
    daemon.clock.advance(5_000)
    assert tracker.describe(_ENTRY, 1).pause < 0.1


def test_state_shows_work_and_speed_with_their_ages() -> None:
    daemon = _Daemon()
    daemon.report(200)
    daemon.peers.record(
        _heartbeat(1, in_flight={_DIGEST: 1}, work=(12,)), 10_000
    )
    daemon.clock.advance(700)
    dump = describe_state(
        daemon.view,
        daemon.dispatcher,
        daemon.peers,
        {},
        daemon.clock.now_ms(),
    )
    found = msgspec.json.decode(dump)["upstreams"]["u"]
    assert (found["work_ms"], found["work_age_ms"]) == (1_200, 700)
    assert found["duration"] > 1.0
    assert found["duration_age_ms"] == 700
