"""Tests of what daemons learn from each other's heartbeats."""

from __future__ import annotations

import asyncio
from typing import cast

import msgspec

from trefoilpitch.fleet import Member
from trefoilpitch.gateway._crash_evidence import EvidenceReport
from trefoilpitch.gateway._peers import (
    Heartbeat,
    PaceReport,
    PeerSocket,
    PeerTable,
    VersionCount,
)
from trefoilpitch.gateway._upstream_digest import upstream_digest

_UPSTREAMS = [f"i-{number:010x}" for number in range(90)]
_VERSIONS = tuple(
    VersionCount(
        service="dego62a",
        version=version,
        order_revision=300,
        good=120,
        failed=3,
        slow=2,
        off_target=9,
    )
    for version in ("v1", "v2")
)


def _heartbeat(node: str, sequence: int, **fields: object) -> Heartbeat:
    values: dict[str, object] = {
        "node": node,
        "incarnation": "0123456789ab",
        "sequence": sequence,
        "revision": 321,
        "current": True,
        "store_reachable": True,
        "ready": True,
        "versions": (),
    }
    return Heartbeat(**{**values, **fields})  # type: ignore[arg-type]


def test_peers_figures_are_replaced_and_end_with_their_heartbeats() -> None:
    table = PeerTable("own")
    first, second = (upstream_digest(name) for name in _UPSTREAMS[:2])
    table.record(
        _heartbeat("a", 1, in_flight={first: 3}, unreachable=(second,)), 0
    )
    table.record(
        _heartbeat("b", 1, in_flight={first: 2}, unreachable=(second,)), 0
    )
    assert (table.in_flight()[first], table.unreachable()[second]) == (5, 2)
    table.record(_heartbeat("a", 2, in_flight={first: 1}), 1_000)
    assert (table.in_flight()[first], table.unreachable()[second]) == (3, 1)
    table.expire(3_000)
    assert table.in_flight() == {first: 1}
    assert table.unreachable() == {}


def test_demand_of_peers_is_that_of_their_last_heartbeats() -> None:
    """A peer of the build before reports none, which is not a demand of 0."""
    table = PeerTable("own")
    table.record(_heartbeat("a", 1, demand={"s": 3}), 0)
    table.record(_heartbeat("b", 1, demand={"other": 3}), 0)
    table.record(_heartbeat("old", 1), 0)
    table.record(_heartbeat("wrong", 1, demand={"s": 1 << 63}), 0)
    assert table.demand("s") == {"a": 3, "b": 0, "wrong": 100_000}
    table.record(_heartbeat("a", 2, demand={}), 2_000)
    table.expire(4_000)
    assert table.demand("s") == {"a": 0}


def test_reordered_heartbeat_is_ignored() -> None:
    table = PeerTable("own")
    digest = upstream_digest(_UPSTREAMS[0])
    table.record(_heartbeat("a", 2, in_flight={digest: 3}), 0)
    table.record(_heartbeat("a", 1, in_flight={digest: 9}), 1)
    assert table.in_flight() == {digest: 3}


def test_heartbeat_round_trips() -> None:
    in_flight = {upstream_digest(name): 1 for name in _UPSTREAMS[:9]}
    heartbeat = _heartbeat(
        "front-suva-central-12",
        900,
        in_flight=in_flight,
        versions=_VERSIONS,
        era=2,
        configuration=58,
        paces=(
            PaceReport(
                service="dego62a",
                order_revision=300,
                target={5: {13: 2}},
                others={4: {9: 7, 10: 1}},
            ),
        ),
    )
    encoded = msgspec.msgpack.encode(heartbeat)
    assert msgspec.msgpack.decode(encoded, type=Heartbeat) == heartbeat


def test_paces_of_another_order_are_ignored() -> None:
    table = PeerTable("own")
    for node, revision in (("a", 3), ("b", 4)):
        report = PaceReport("s", revision, {1: {2: 3}}, {4: {5: 6}})
        table.record(_heartbeat(node, 1, paces=(report,)), 0)
    assert table.paces("s", 4) == ([{1: {2: 3}}], [{4: {5: 6}}])
    assert table.paces("other", 4) == ([], [])


def test_digests_of_a_large_fleets_upstreams_differ() -> None:
    names = [
        f"i-{number * 2_654_435_761 % 2**40:010x}" for number in range(999)
    ]
    assert len({upstream_digest(name) for name in names}) == len(names)


class _Datagrams:
    """Collects the datagrams that a socket sends."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def sendto(self, data: bytes, address: object) -> None:
        del address
        self.sent.append(data)


def test_evidence_is_reported_beside_the_paces_of_a_rollout() -> None:
    digests = [upstream_digest(name) for name in _UPSTREAMS]
    evidence = EvidenceReport(
        ended=tuple((digest, 60_000) for digest in digests[:24]),
        traits=tuple((digest, 1 << 23, 1 << 23) for digest in digests[:24]),
        sound=tuple((digest, 60_000) for digest in digests[:16]),
        newest_sound_age_ms=100,
    )
    strata = {digest >> 4: dict.fromkeys(range(8), 9) for digest in digests[:8]}
    paces = (PaceReport("dego62a", 300, strata, strata),)
    heartbeat = _heartbeat(
        "front-suva-central-12",
        900,
        versions=_VERSIONS,
        in_flight=dict.fromkeys(digests[:9], 1),
        unreachable=tuple(digests[:6]),
        traits=evidence,
        paces=paces,
    )
    datagrams = _Datagrams()
    sender = PeerSocket(lambda _: None, lambda _: None)
    sender.connection_made(cast(asyncio.BaseTransport, datagrams))
    member = Member(
        name="b",
        incarnation="x",
        caller_address="",
        peer_host="h",
        peer_port=1,
        heartbeat_port=1,
        failure_domain="",
    )
    sender.send(heartbeat, [member])

    heartbeats: list[Heartbeat] = []
    reports: list[EvidenceReport] = []
    receiver = PeerSocket(heartbeats.append, reports.append)
    for data in datagrams.sent:
        assert len(data) <= 1_200
        receiver.datagram_received(data, ("10.0.0.1", 1))
    (received,) = heartbeats
    assert received.paces == paces
    assert evidence in (received.traits, *reports)
