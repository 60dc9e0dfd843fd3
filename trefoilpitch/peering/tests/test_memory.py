import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.peering import (
    DropReason,
    Link,
    LinkFaults,
    MemoryNetwork,
    MemoryTransport,
    PayloadRegistry,
)
from trefoilpitch.peering.tests.conftest import KEYS, Note, create_identity

A, B = "127.0.0.1:1", "127.0.0.1:2"


class TransportPair:
    """Two transports; records the received note numbers by address."""

    def __init__(self, registry: PayloadRegistry) -> None:
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock, seed=1)
        self.received: dict[str, list[int]] = {A: [], B: []}
        self.a = self._attach("a", 1, registry)
        self.b = self._attach("b", 2, registry)

    def exchange(self, count: int = 200) -> tuple[list[int], list[int]]:
        """Sends both ways; returns what transports a and b received."""
        self.received[A].clear()
        self.received[B].clear()
        for number in range(count):
            self.a.send(B, Note(text="", number=number))
            self.b.send(A, Note(text="", number=number))
        self.clock.advance(1_000)
        self.network.deliver_due()
        return self.received[A], self.received[B]

    def _attach(
        self, name: str, port: int, registry: PayloadRegistry
    ) -> MemoryTransport:
        identity = create_identity(name, port)
        received = self.received[identity.address]
        return self.network.attach(
            identity,
            keys=KEYS,
            registry=registry,
            handler=lambda m: received.append(m.payload.number),  # type: ignore[attr-defined]
        )


@pytest.fixture
def pair(registry: PayloadRegistry) -> TransportPair:
    return TransportPair(registry)


def test_one_way_cut_leaves_the_other_direction_intact(
    pair: TransportPair,
) -> None:
    pair.network.set_faults(Link(A, B), LinkFaults(cut=True))
    to_a, to_b = pair.exchange()
    assert (len(to_a), len(to_b)) == (200, 0)
    pair.network.heal()
    assert len(pair.exchange()[1]) == 200


def test_partition_loses_in_flight_frames(pair: TransportPair) -> None:
    pair.a.send(B, Note(text=""))
    pair.network.partition((A,))
    assert pair.exchange() == ([], [])
    pair.network.heal()
    assert len(pair.exchange()[0]) == 200


def test_loss_reordering_and_duplicates(pair: TransportPair) -> None:
    pair.network.set_default_faults(
        LinkFaults(drop=0.5, duplicate=0.5, max_delay_ms=500)
    )
    to_a, _ = pair.exchange()
    assert 50 < len(to_a) < 150
    assert to_a != sorted(to_a)
    # The replay filter drops duplicates.
    assert len(to_a) == len(set(to_a))
    assert pair.a.counters().dropped[DropReason.REPLAYED] > 10


def test_frame_is_delivered_after_its_delay(pair: TransportPair) -> None:
    pair.network.set_default_faults(
        LinkFaults(min_delay_ms=30, max_delay_ms=30)
    )
    pair.a.send(B, Note(text="", number=1))
    assert pair.network.next_due_ms() == 30
    pair.clock.advance(29)
    assert pair.network.deliver_due() == 0
    pair.clock.advance(1)
    assert pair.network.deliver_due() == 1
