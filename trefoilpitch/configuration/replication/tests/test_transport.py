from __future__ import annotations

import dataclasses
from collections.abc import Callable, Sequence

from returns.result import Success

from trefoilpitch.bundle import Bundle
from trefoilpitch.clock import ManualClock
from trefoilpitch.configuration import (
    HEAD_KEY,
    Configuration,
    SignOffBundle,
    configuration_writer,
)
from trefoilpitch.configuration.replication import (
    PAYLOAD_KINDS,
    ApplyConfiguration,
    HeadRead,
    HeadReadFailed,
    MessageReceived,
    PeerNode,
    PeersChanged,
    ReadHead,
    ReadSnapshot,
    ReplicaAction,
    ReplicaEvent,
    ReplicaMessage,
    ReplicaSettings,
    SendMessage,
    SnapshotRead,
    SnapshotReadFailed,
    Tick,
    create_replica,
    standing,
    step,
)
from trefoilpitch.configuration.tests.examples import BUNDLE, vm_out
from trefoilpitch.peering import (
    LinkFaults,
    MemoryNetwork,
    PeerIdentity,
    PeerKeys,
    ReceivedMessage,
    create_payload_registry,
)
from trefoilpitch.store import MemoryStore, memory_store


class _Node:
    """A replica connected to a transport and a store."""

    def __init__(
        self,
        name: str,
        peer: str,
        clock: ManualClock,
        network: MemoryNetwork,
        store: MemoryStore,
    ) -> None:
        self.in_force: list[Configuration] = []
        self.oversized = 0
        self._clock = clock
        self._store = store
        self.state = create_replica(
            ReplicaSettings(name=name, failure_domain=name, address=name)
        )
        identity = PeerIdentity(
            deployment="test", name=name, incarnation="1", address=name
        )
        self._transport = network.attach(
            identity,
            keys=PeerKeys(current=b"0" * 32),
            registry=create_payload_registry(PAYLOAD_KINDS),
            handler=self._on_message,
        )
        node = PeerNode(name=peer, failure_domain=peer, address=peer)
        self.handle(PeersChanged((node,)))

    def handle(self, event: ReplicaEvent) -> None:
        self.state, actions = step(self.state, event, self._clock.now_ms())
        for action in actions:
            self._carry_out(action)

    def _on_message(self, received: ReceivedMessage) -> None:
        payload = received.payload
        assert isinstance(payload, ReplicaMessage)
        self.handle(MessageReceived(address=received.address, message=payload))

    def _carry_out(self, action: ReplicaAction) -> None:
        match action:
            case SendMessage():
                sent = self._transport.send(action.address, action.message)
                self.oversized += not isinstance(sent, Success)
            case ReadHead():
                value = self._read(HEAD_KEY)
                now_ms = self._clock.now_ms()
                self.handle(
                    HeadRead(value=value, sent_ms=now_ms)
                    if value
                    else HeadReadFailed()
                )
            case ReadSnapshot():
                value = self._read(action.ref.key)
                self.handle(
                    SnapshotRead(ref=action.ref, value=value)
                    if value
                    else SnapshotReadFailed()
                )
            case ApplyConfiguration():
                self.in_force.append(action.configuration)

    def _read(self, key: str) -> bytes | None:
        entry = self._store.get(key).value_or(None)
        return entry.value if entry else None


def _large_bundle() -> Bundle:
    pool = BUNDLE.pools[0]
    upstreams = tuple(
        dataclasses.replace(
            pool.upstreams[0],
            name=f"engine-{number}",
            address=f"127.1.{number // 250}.{number % 250}:9000",
        )
        for number in range(3_000)
    )
    pool = dataclasses.replace(pool, upstreams=upstreams)
    return dataclasses.replace(BUNDLE, pools=(pool, *BUNDLE.pools[1:]))


def test_large_snapshot_crosses_a_lossy_network_in_pages() -> None:
    clock = ManualClock(1)
    network = MemoryNetwork(
        clock, seed=3, faults=LinkFaults(drop=0.1, duplicate=0.1)
    )
    store = memory_store(clock)
    change = SignOffBundle(change_id="1", author="mere", bundle=_large_bundle())
    configuration_writer(store).commit(change).unwrap()
    configuration_writer(store).commit(vm_out("x")).unwrap()
    first = _Node("a", "b", clock, network, store)

    def run(nodes: Sequence[_Node], until: Callable[[], bool]) -> None:
        for _ in range(1_000):
            clock.advance(10)
            network.deliver_due()
            for node in nodes:
                node.handle(Tick())
            if until():
                return
        raise AssertionError("the condition was not met within 10 s")

    run([first], lambda: first.state.revision == 2)
    store.set_down(True)
    second = _Node("b", "a", clock, network, store)
    run(
        [first, second],
        lambda: standing(second.state, clock.now_ms()).admits_new_work,
    )
    assert second.in_force == [first.state.configuration]
    assert second.state.counters.peer_snapshots == 1
    assert second.state.counters.abandoned_fetches == 0
    assert first.oversized + second.oversized == 0
