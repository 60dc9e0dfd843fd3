from __future__ import annotations

import dataclasses
import queue
import time
from collections.abc import Callable, Iterator

import pykka
import pytest

from trefoilpitch.bundle import Bundle
from trefoilpitch.clock import SystemClock
from trefoilpitch.configuration import (
    Configuration,
    SignOffBundle,
    configuration_writer,
)
from trefoilpitch.configuration.replication import (
    PAYLOAD_KINDS,
    HeadRead,
    HeadWatchActor,
    HeadWatched,
    MessageReceived,
    PeerNode,
    PeersChanged,
    ReplicaEvent,
    ReplicaHost,
    ReplicaMessage,
    ReplicaSettings,
    StartWatch,
    StopWatch,
    StoreReadActor,
    Tick,
    WatchEnded,
)
from trefoilpitch.configuration.tests.examples import (
    BUNDLE,
    sign_off,
    vm_out,
)
from trefoilpitch.peering import (
    LinkFaults,
    MemoryNetwork,
    PeerIdentity,
    PeerKeys,
    ReceivedMessage,
    create_payload_registry,
)
from trefoilpitch.store import MemoryStore, memory_store

_TIMEOUT_S = 30
_NAMES = ("a", "b")


@pytest.fixture(autouse=True)
def _stop_actors() -> Iterator[None]:
    yield
    pykka.ActorRegistry.stop_all()


class _Node:
    """A host whose events wait in a queue for the test's own thread."""

    def __init__(
        self,
        name: str,
        network: MemoryNetwork,
        store: MemoryStore,
        incarnation: str = "1",
    ) -> None:
        self.inbox: queue.Queue[ReplicaEvent] = queue.Queue()
        self.in_force: list[Configuration] = []
        identity = PeerIdentity(
            deployment="test",
            name=name,
            incarnation=incarnation,
            address=name,
        )
        transport = network.attach(
            identity,
            keys=PeerKeys(current=b"0" * 32),
            registry=create_payload_registry(PAYLOAD_KINDS),
            handler=self._on_message,
        )
        clock = SystemClock()
        reader = StoreReadActor.start(store, clock, self.inbox.put)
        watcher = HeadWatchActor.start(store, self.inbox.put)

        def ask_store(request: object) -> None:
            reader.tell(request)
            watcher.tell(request)

        self.host = ReplicaHost(
            clock=clock,
            settings=ReplicaSettings(
                name=name, failure_domain=name, address=name
            ),
            transport=transport,
            ask_store=ask_store,
            on_configuration=self.in_force.append,
        )

    def work(self) -> None:
        while not self.inbox.empty():
            self.host.handle(self.inbox.get())
        self.host.handle(Tick())

    def _on_message(self, received: ReceivedMessage) -> None:
        payload = received.payload
        assert isinstance(payload, ReplicaMessage)
        self.inbox.put(
            MessageReceived(address=received.address, message=payload)
        )


def _wait(step: Callable[[], None], condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + _TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        step()
        time.sleep(0.001)


def _large_bundle() -> Bundle:
    pool = BUNDLE.pools[0]
    upstreams = tuple(
        dataclasses.replace(
            pool.upstreams[0],
            name=f"engine-{number}",
            address=f"127.1.{number // 250}.{number % 250}:9000",
        )
        for number in range(1_000)
    )
    pool = dataclasses.replace(pool, upstreams=upstreams)
    return dataclasses.replace(BUNDLE, pools=(pool, *BUNDLE.pools[1:]))


def test_hosts_agree_over_a_lossy_network() -> None:
    store = memory_store(SystemClock())
    network = MemoryNetwork(SystemClock(), faults=LinkFaults(drop=0.1))
    nodes = {name: _Node(name, network, store.new_client()) for name in _NAMES}
    for name, node in nodes.items():
        others = (
            PeerNode(name=other, failure_domain=other, address=other)
            for other in _NAMES
            if other != name
        )
        node.host.handle(PeersChanged(tuple(others)))

    def work() -> None:
        network.deliver_due()
        for node in nodes.values():
            node.work()

    def agree(revision: int) -> bool:
        return all(n.host.state.revision == revision for n in nodes.values())

    _wait(
        work, lambda: all(n.host.may_accept_changes() for n in nodes.values())
    )
    change = SignOffBundle(change_id="1", author="mere", bundle=_large_bundle())
    sent_ms = SystemClock().now_ms()
    committed = configuration_writer(store).commit(change).unwrap()
    nodes["a"].host.handle(
        HeadRead(value=committed.head_value, sent_ms=sent_ms)
    )
    _wait(work, lambda: agree(1))
    _wait(work, lambda: nodes["a"].host.is_confirmed(1))
    store.set_down(True)
    configuration = nodes["b"].in_force[-1]
    late = _Node("b", network, store, incarnation="2")
    nodes["b"] = late
    peer = PeerNode(name="a", failure_domain="a", address="a")
    late.host.handle(PeersChanged((peer,)))
    _wait(work, lambda: late.host.standing().admits_new_work)
    assert late.in_force == [configuration]
    assert late.host.describe().revision == 1
    assert late.host.state.counters.peer_snapshots == 1


def test_watch_tells_changes_and_its_end() -> None:
    store = memory_store(SystemClock())
    writer = configuration_writer(store.new_client())
    writer.commit(sign_off()).unwrap()
    events: queue.Queue[ReplicaEvent] = queue.Queue()
    actor = HeadWatchActor.start(store, events.put)
    assert isinstance(events.get(timeout=_TIMEOUT_S), WatchEnded)
    actor.tell(StartWatch())
    assert isinstance(events.get(timeout=_TIMEOUT_S), HeadWatched)
    committed = writer.commit(vm_out("x")).unwrap()
    told = events.get(timeout=_TIMEOUT_S)
    assert told == HeadWatched(committed.head_value)
    store.cut_watches()
    assert isinstance(events.get(timeout=_TIMEOUT_S), WatchEnded)
    actor.tell(StartWatch())
    assert events.get(timeout=_TIMEOUT_S) == told
    actor.tell(StopWatch())
    actor.stop()
    assert store.counters.watches_waiting == 0
