"""Choice of upstreams whose links are lost."""

from __future__ import annotations

import asyncio
import random

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import (
    Document,
    FleetView,
    ItemBatch,
    Member,
    UpstreamEntry,
)
from trefoilpitch.fleet.tests.fakes import (
    InMemoryCodec,
    configuration,
    upstream,
)
from trefoilpitch.gateway import (
    CallerRequest,
    ExchangeError,
    HttpConnection,
    HttpRequest,
)
from trefoilpitch.gateway._dispatcher import Dispatcher, NoUpstream
from trefoilpitch.gateway._peers import Heartbeat, PeerTable
from trefoilpitch.gateway._relays import Relays
from trefoilpitch.gateway._upstream_digest import upstream_digest
from trefoilpitch.gateway._upstream_links import UpstreamLinks
from trefoilpitch.retries import FailureKind


async def _refuse(host: str, port: int, timeout_ms: float) -> HttpConnection:
    raise ExchangeError(FailureKind.CONNECT_REFUSED, "cut")


def _choose(*, reached_by_peer: bool) -> UpstreamEntry | NoUpstream:
    """Chooses for a request at a daemon that has lost its only link."""
    clock = ManualClock(10_000)
    codec = InMemoryCodec()
    view = FleetView(codec, lambda change: None)
    entry = upstream("u")
    documents: dict[str, Document] = {
        "config": configuration(),
        "u": entry,
        "peer": Member(
            name="vm-1",
            incarnation="1",
            caller_address="127.0.0.1:1",
            peer_host="127.0.0.1",
            peer_port=2,
            heartbeat_port=3,
            failure_domain="domain-a",
        ),
    }
    for revision, (key, document) in enumerate(documents.items(), 1):
        item = codec.item(key, document, revision)
        batch = ItemBatch(items=(item,), revision=revision)
        view.apply(batch, clock.now_ms())
    peers = PeerTable("vm-0")
    heartbeat = Heartbeat(
        node="vm-1",
        incarnation="1",
        sequence=1,
        revision=1,
        current=True,
        store_reachable=True,
        ready=True,
        versions=(),
        unreachable=() if reached_by_peer else (upstream_digest("u"),),
        relay_room=1,
    )
    peers.record(heartbeat, clock.now_ms())
    links = UpstreamLinks(clock, open_connection=_refuse)
    relays = Relays(
        view,
        peers,
        links,
        clock,
        random.Random(1),
        failure_domain="domain-a",
    )
    dispatcher = Dispatcher(
        view,
        clock,
        random.Random(1),
        own_name="vm-0",
        failure_domain="domain-a",
        members=lambda: {"vm-0", "vm-1"},
        peers_in_flight=dict,
        relays=relays,
    )
    asyncio.run(links.probe(entry))
    http = HttpRequest(
        method=b"GET", target=b"/a/x", headers=(), body=b"", arrived_ms=0
    )
    request = CallerRequest(
        http=http,
        request_id="id",
        host="host.example",
        path="/a/x",
        api_key="key",
        wait_ms=1_000,
    )
    return dispatcher.choose(request, "s", model=None, excluded=())


@pytest.mark.parametrize("reached_by_peer", [True, False])
def test_upstream_without_any_link_gets_no_request(
    reached_by_peer: bool,
) -> None:
    """Its link is tried in the background; no request has to wait for that."""
    found = _choose(reached_by_peer=reached_by_peer)
    assert isinstance(found, UpstreamEntry) is reached_by_peer
