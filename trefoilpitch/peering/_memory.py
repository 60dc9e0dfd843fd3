"""An in-memory network for tests and measurements, driven by a clock.

Single-threaded: nothing is delivered until ``deliver_due`` is called.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from types import TracebackType
from typing import Self

from returns.result import Failure, Result, Success

from trefoilpitch.clock import Clock
from trefoilpitch.peering._codec import (
    DEFAULT_FRAME_LIMIT_BYTES,
    FrameCodec,
    create_frame_codec,
)
from trefoilpitch.peering._counters import (
    CounterSet,
    PeeringCounters,
)
from trefoilpitch.peering._exceptions import (
    PeeringError,
    TransportClosedError,
)
from trefoilpitch.peering._registry import PayloadRegistry
from trefoilpitch.peering._transport import (
    MessageHandler,
    PeerIdentity,
    PeerKeys,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Link:
    """One direction between two addresses."""

    # The sender's address.
    source: str
    # The recipient's address.
    target: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkFaults:
    """How a link treats the frames that it carries."""

    # Share of frames lost, from 0 to 1.
    drop: float = 0.0
    # Share of frames delivered twice, from 0 to 1.
    duplicate: float = 0.0
    # Shortest and longest delay; unequal values reorder frames.
    min_delay_ms: int = 1
    max_delay_ms: int = 1
    # Whether nothing gets through.
    cut: bool = False


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Flight:
    due_ms: int
    order: int
    source: str = dataclasses.field(compare=False)
    target: str = dataclasses.field(compare=False)
    data: bytes = dataclasses.field(compare=False)


class MemoryNetwork:
    """Carries frames between transports in one process, with faults.

    Args:
        clock: Tells when frames are due.
        seed: Seeds the losses, delays and duplicates.
        faults: What links do unless set otherwise.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        seed: int = 0,
        faults: LinkFaults | None = None,
    ) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._default_faults = faults or LinkFaults()
        self._faults: dict[Link, LinkFaults] = {}
        self._groups: dict[str, int] = {}
        self._endpoints: dict[str, MemoryTransport] = {}
        self._flights: list[_Flight] = []
        self._order = 0

    def attach(
        self,
        identity: PeerIdentity,
        *,
        keys: PeerKeys,
        registry: PayloadRegistry,
        handler: MessageHandler,
        limit_bytes: int = DEFAULT_FRAME_LIMIT_BYTES,
    ) -> MemoryTransport:
        """Opens a transport; it replaces an earlier one at its address."""
        codec = create_frame_codec(
            identity=identity,
            keys=keys,
            registry=registry,
            limit_bytes=limit_bytes,
        )
        transport = MemoryTransport(self, codec, handler)
        self._endpoints[identity.address] = transport
        return transport

    def set_faults(self, link: Link, faults: LinkFaults) -> None:
        """Sets what one direction of one pair does from now on."""
        self._faults[link] = faults

    def set_default_faults(self, faults: LinkFaults) -> None:
        """Sets what every link without faults of its own does."""
        self._default_faults = faults

    def partition(self, *groups: tuple[str, ...]) -> None:
        """Lets only addresses of the same group reach each other.

        Addresses in no group form one group of their own.
        """
        self._groups = {
            address: number
            for number, group in enumerate(groups, start=1)
            for address in group
        }

    def heal(self) -> None:
        """Ends the partition and every fault that was set on a link."""
        self._groups = {}
        self._faults = {}

    def next_due_ms(self) -> int | None:
        """Returns when the next frame is due, if one is under way."""
        return self._flights[0].due_ms if self._flights else None

    def deliver_due(self) -> int:
        """Delivers every frame that is due by now; returns how many."""
        delivered = 0
        now_ms = self._clock.now_ms()
        while self._flights and self._flights[0].due_ms <= now_ms:
            flight = heapq.heappop(self._flights)
            endpoint = self._endpoints.get(flight.target)
            if endpoint is None or self._is_cut(flight.source, flight.target):
                continue
            endpoint.deliver(flight.data)
            delivered += 1
        return delivered

    def carry(self, source: str, target: str, data: bytes) -> None:
        """Takes a frame from a transport."""
        faults = self._faults_of(source, target)
        if faults.cut or self._random.random() < faults.drop:
            return
        copies = 2 if self._random.random() < faults.duplicate else 1
        for _ in range(copies):
            delay_ms = self._random.randint(
                faults.min_delay_ms, faults.max_delay_ms
            )
            self._order += 1
            due_ms = self._clock.now_ms() + delay_ms
            heapq.heappush(
                self._flights,
                _Flight(due_ms, self._order, source, target, data),
            )

    def detach(self, address: str, transport: MemoryTransport) -> None:
        """Removes a closed transport unless it was replaced already."""
        if self._endpoints.get(address) is transport:
            del self._endpoints[address]

    def _faults_of(self, source: str, target: str) -> LinkFaults:
        return self._faults.get(Link(source, target), self._default_faults)

    def _is_cut(self, source: str, target: str) -> bool:
        if self._groups.get(source, 0) != self._groups.get(target, 0):
            return True
        return self._faults_of(source, target).cut


class MemoryTransport:
    """A ``PeerTransport`` on a ``MemoryNetwork``; each message is a frame.

    Args:
        network: Carries the frames.
        codec: Seals and opens them.
        handler: Gets each message that was accepted.
    """

    def __init__(
        self,
        network: MemoryNetwork,
        codec: FrameCodec,
        handler: MessageHandler,
    ) -> None:
        self._network = network
        self._codec = codec
        self._handler = handler
        self._counters = CounterSet()
        self._is_closed = False

    @property
    def identity(self) -> PeerIdentity:
        """Who this process is towards its peers."""
        return self._codec.identity

    def send(
        self, address: str, payload: object, *, urgent: bool = False
    ) -> Result[None, PeeringError]:
        """Gives a message to the network; see ``PeerTransport.send``."""
        del urgent  # There is no queue to overtake.
        if self._is_closed:
            return Failure(TransportClosedError("transport is closed"))
        return self._codec.encode(payload).map(
            lambda message: self._carry(address, message)
        )

    def disconnect(self, address: str) -> None:
        """Does nothing: the network has no connections."""

    def counters(self) -> PeeringCounters:
        """Returns what was sent, received and dropped so far."""
        return self._counters.snapshot(dialers=0)

    def close(self) -> None:
        """Leaves the network."""
        self._is_closed = True
        self._network.detach(self.identity.address, self)

    def deliver(self, data: bytes) -> None:
        """Takes a frame from the network."""
        opened = self._codec.open(data)
        if not isinstance(opened, Success):
            self._counters.add_dropped(opened.failure())
            return
        frame = opened.unwrap()
        self._counters.add_received(
            size_bytes=len(data), messages=len(frame.messages)
        )
        for reason in frame.dropped:
            self._counters.add_dropped(reason)
        for message in frame.messages:
            self._handler(message)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def _carry(self, address: str, message: bytes) -> None:
        frame = self._codec.seal(address, (message,))
        self._counters.add_sent(size_bytes=len(frame), messages=1)
        self._network.carry(self.identity.address, address, frame)
