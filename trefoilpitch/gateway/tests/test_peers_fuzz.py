"""Property tests of heartbeats that are well-formed but wrong."""

from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpitch.gateway._peers import Heartbeat, PeerSocket, PeerTable

_counts = st.integers(min_value=-(1 << 63), max_value=(1 << 64) - 1)
_heartbeats = st.builds(
    Heartbeat,
    node=st.sampled_from(["a", "b", "own"]),
    incarnation=st.sampled_from(["x", "y"]),
    sequence=_counts,
    revision=_counts,
    current=st.booleans(),
    store_reachable=st.booleans(),
    ready=st.booleans(),
    versions=st.just(()),
    in_flight=st.dictionaries(st.sampled_from([1, 2]), _counts),
    era=_counts,
    configuration=_counts,
    unreachable=st.lists(st.sampled_from([1, 2])).map(tuple),
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(_heartbeats, max_size=8))
def test_figures_of_any_peers_end_with_their_heartbeats(
    heartbeats: list[Heartbeat],
) -> None:
    table = PeerTable("own")
    socket = PeerSocket(
        lambda heartbeat: table.record(heartbeat, 0), lambda _: None
    )
    for heartbeat in heartbeats:
        data = msgspec.msgpack.encode(heartbeat)
        socket.datagram_received(data, ("10.0.0.1", 1))
        assert all(count >= 0 for count in table.in_flight().values())
    table.expire(1_000_000)
    assert not table.alive()
    assert not table.in_flight()
    assert not table.unreachable()
