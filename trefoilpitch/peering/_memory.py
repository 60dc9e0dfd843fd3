"""An in-memory network with fault injection, for tests and measurements.

Single-threaded and driven by a clock: frames are delivered only by
``deliver_due``.
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
    """One direction of the path between two addresses."""

    # The sender's address.
    source: str
    # The recipient's address.
    target: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkFaults:
    """Faults and delays of a link."""

    # Probability that a frame is lost.
    drop: float = 0.0
    # Probability that a frame is delivered twice.
    duplicate: float = 0.0
    # Range of the random delay; unequal values reorder frames.
    min_delay_ms: int = 1
    max_delay_ms: int = 1
    # Whether all frames are lost.
    cut: bool = False


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _InFlightFrame:
    due_ms: int
    order: int
    source: str = dataclasses.field(compare=False)
    target: str = dataclasses.field(compare=False)
    data: bytes = dataclasses.field(compare=False)


class MemoryNetwork:
    """Delivers frames between transports in one process, with faults.

    Args:
        clock: Determines when frames are due.
        seed: Seed of the random losses, delays and duplicates.
        faults: Faults of links without faults of their own.
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
        self._transports: dict[str, MemoryTransport] = {}
        self._in_flight: list[_InFlightFrame] = []
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
        """Opens a transport; replaces an earlier one at the same address."""
        codec = create_frame_codec(
            identity=identity,
            keys=keys,
            registry=registry,
            limit_bytes=limit_bytes,
        )
        transport = MemoryTransport(self, codec, handler)
        self._transports[identity.address] = transport
        return transport

    def set_faults(self, link: Link, faults: LinkFaults) -> None:
        """Sets the faults of one link."""
        self._faults[link] = faults

    def set_default_faults(self, faults: LinkFaults) -> None:
        """Sets the faults of every link without faults of its own."""
        self._default_faults = faults

    def partition(self, *groups: tuple[str, ...]) -> None:
        """Cuts all links between different groups of addresses.

        The addresses that are in none of the groups form a further group.
        """
        self._groups = {
            address: number
            for number, group in enumerate(groups, start=1)
            for address in group
        }

    def heal(self) -> None:
        """Ends the partition and removes the faults set on single links."""
        self._groups = {}
        self._faults = {}

    def next_due_ms(self) -> int | None:
        """Returns when the next frame is due; None if none is in flight."""
        return self._in_flight[0].due_ms if self._in_flight else None

    def deliver_due(self) -> int:
        """Delivers every frame that is due; returns their number."""
        delivered = 0
        now_ms = self._clock.now_ms()
        while self._in_flight and self._in_flight[0].due_ms <= now_ms:
            in_flight = heapq.heappop(self._in_flight)
            transport = self._transports.get(in_flight.target)
            if transport is None or self._is_cut(
                in_flight.source, in_flight.target
            ):
                continue
            transport.deliver(in_flight.data)
            delivered += 1
        return delivered

    def transmit(self, source: str, target: str, data: bytes) -> None:
        """Schedules a transport's frame for delivery, applying faults."""
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
                self._in_flight,
                _InFlightFrame(due_ms, self._order, source, target, data),
            )

    def detach(self, address: str, transport: MemoryTransport) -> None:
        """Removes a closed transport unless it was already replaced."""
        if self._transports.get(address) is transport:
            del self._transports[address]

    def _faults_of(self, source: str, target: str) -> LinkFaults:
        return self._faults.get(Link(source, target), self._default_faults)

    def _is_cut(self, source: str, target: str) -> bool:
        if self._groups.get(source, 0) != self._groups.get(target, 0):
            return True
        return self._faults_of(source, target).cut


class MemoryTransport:
    """A ``PeerTransport`` on a ``MemoryNetwork``; one message per frame.

    Args:
        network: Delivers the frames.
        codec: Seals and opens the frames.
        handler: Called with each accepted message.
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
        """This process's identity, sent in every frame."""
        return self._codec.identity

    def send(
        self, address: str, payload: object, *, urgent: bool = False
    ) -> Result[None, PeeringError]:
        """Sends a message into the network; see ``PeerTransport.send``."""
        del urgent  # Messages are never queued.
        if self._is_closed:
            return Failure(TransportClosedError("transport is closed"))
        return self._codec.encode(payload).map(
            lambda message: self._transmit(address, message)
        )

    def disconnect(self, address: str) -> None:
        """Does nothing, since the network has no connections."""

    def counters(self) -> PeeringCounters:
        """Returns a snapshot of the transport's counters."""
        return self._counters.snapshot(dialers=0)

    def close(self) -> None:
        """Detaches the transport from the network."""
        self._is_closed = True
        self._network.detach(self.identity.address, self)

    def deliver(self, data: bytes) -> None:
        """Opens a frame from the network and handles its messages."""
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

    def _transmit(self, address: str, message: bytes) -> None:
        frame = self._codec.seal(address, (message,))
        self._counters.add_sent(size_bytes=len(frame), messages=1)
        self._network.transmit(self.identity.address, address, frame)
