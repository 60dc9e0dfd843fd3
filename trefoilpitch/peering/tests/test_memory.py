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


class Pair:
    """Two transports; what arrived is listed by address."""

    def __init__(self, registry: PayloadRegistry) -> None:
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock, seed=1)
        self.arrived: dict[str, list[int]] = {A: [], B: []}
        self.a = self._attach("a", 1, registry)
        self.b = self._attach("b", 2, registry)

    def exchange(self, count: int = 200) -> tuple[list[int], list[int]]:
        """Sends both ways; returns what reached the first and the second."""
        self.arrived[A].clear()
        self.arrived[B].clear()
        for number in range(count):
            self.a.send(B, Note(text="", number=number))
            self.b.send(A, Note(text="", number=number))
        self.clock.advance(1_000)
        self.network.deliver_due()
        return self.arrived[A], self.arrived[B]

    def _attach(
        self, name: str, port: int, registry: PayloadRegistry
    ) -> MemoryTransport:
        identity = create_identity(name, port)
        arrived = self.arrived[identity.address]
        return self.network.attach(
            identity,
            keys=KEYS,
            registry=registry,
            handler=lambda m: arrived.append(m.payload.number),  # type: ignore[attr-defined]
        )


@pytest.fixture
def pair(registry: PayloadRegistry) -> Pair:
    return Pair(registry)


def test_one_way_cut(pair: Pair) -> None:
    pair.network.set_faults(Link(A, B), LinkFaults(cut=True))
    to_a, to_b = pair.exchange()
    assert (len(to_a), len(to_b)) == (200, 0)
    pair.network.heal()
    assert len(pair.exchange()[1]) == 200


def test_partition_loses_what_is_under_way(pair: Pair) -> None:
    pair.a.send(B, Note(text=""))
    pair.network.partition((A,))
    assert pair.exchange() == ([], [])
    pair.network.heal()
    assert len(pair.exchange()[0]) == 200


def test_loss_reordering_and_duplicates(pair: Pair) -> None:
    pair.network.set_default_faults(
        LinkFaults(drop=0.5, duplicate=0.5, max_delay_ms=500)
    )
    to_a, _ = pair.exchange()
    assert 50 < len(to_a) < 150
    assert to_a != sorted(to_a)
    # The transport delivers nothing twice.
    assert len(to_a) == len(set(to_a))
    assert pair.a.counters().dropped[DropReason.REPLAYED] > 10


def test_nothing_arrives_before_its_time(pair: Pair) -> None:
    pair.network.set_default_faults(
        LinkFaults(min_delay_ms=30, max_delay_ms=30)
    )
    pair.a.send(B, Note(text="", number=1))
    assert pair.network.next_due_ms() == 30
    pair.clock.advance(29)
    assert pair.network.deliver_due() == 0
    pair.clock.advance(1)
    assert pair.network.deliver_due() == 1
