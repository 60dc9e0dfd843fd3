"""A simulated fleet of membership hosts on the in-memory network."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Iterable

from trefoilpitch.clock import ManualClock
from trefoilpitch.membership import (
    PAYLOAD_KINDS,
    Endpoints,
    MembershipHost,
    MembershipSettings,
    MembershipView,
    MemberState,
    MessageReceived,
    SeedsChanged,
    Tick,
    create_membership,
)
from trefoilpitch.peering import (
    LinkFaults,
    MemoryNetwork,
    MemoryTransport,
    PeerIdentity,
    PeerKeys,
    ReceivedMessage,
    create_payload_registry,
)

REGISTRY = create_payload_registry(PAYLOAD_KINDS)
KEYS = PeerKeys(current=b"key")


def address_of(name: str) -> str:
    return f"{name}:1"


@dataclasses.dataclass
class Node:
    host: MembershipHost
    transport: MemoryTransport
    next_tick_ms: int
    paused_until_ms: int = 0
    backlog: list[ReceivedMessage] = dataclasses.field(default_factory=list)


class Fleet:
    """Membership hosts that share one manual clock and network."""

    def __init__(
        self,
        size: int,
        *,
        seed: int = 0,
        settings: MembershipSettings | None = None,
        faults: LinkFaults | None = None,
    ) -> None:
        self.clock = ManualClock(1_000)
        self.network = MemoryNetwork(self.clock, seed=seed, faults=faults)
        self.nodes: dict[str, Node] = {}
        self.superseded: list[tuple[str, str]] = []
        self._settings = settings or MembershipSettings()
        self._names = [f"vm{index}" for index in range(size)]
        for name in self._names:
            self.start(name)

    def start(self, name: str) -> None:
        """Starts a new process incarnation of a VM."""
        incarnation = f"{self.clock.wall_ms():012x}-{len(self.nodes):08x}"
        address = address_of(name)
        transport = self.network.attach(
            PeerIdentity(
                deployment="test",
                name=name,
                incarnation=incarnation,
                address=address,
            ),
            keys=KEYS,
            registry=REGISTRY,
            handler=functools.partial(self._receive, name),
        )
        state = create_membership(
            name=name,
            incarnation=incarnation,
            failure_domain=f"fd{int(name[2:]) % 3}",
            endpoints=Endpoints(
                caller_address=f"{name}:2",
                admin_address=f"{name}:3",
                peer_address=address,
            ),
            now_ms=self.clock.now_ms(),
            seeds=tuple(address_of(other) for other in self._names),
            settings=self._settings,
        )
        host = MembershipHost(
            self.clock,
            state,
            transport,
            functools.partial(self._record_superseded, name),
        )
        self.nodes[name] = Node(
            host, transport, self.clock.now_ms() + len(self.nodes) * 7 % 200
        )

    def set_vm_list(self, names: Iterable[str]) -> None:
        """Sends every VM the addresses of a new VM list."""
        addresses = tuple(address_of(name) for name in names)
        for node in self.nodes.values():
            node.host.handle(SeedsChanged(addresses))

    def crash(self, name: str) -> None:
        """Stops a VM without announcing it."""
        del self.nodes[name]

    def pause(self, name: str, for_ms: int) -> None:
        """Suspends a VM; messages to it are queued until it resumes."""
        self.nodes[name].paused_until_ms = self.clock.now_ms() + for_ms

    def run(self, for_ms: int, step_ms: int = 10) -> None:
        """Advances the clock, delivering messages and ticking the hosts."""
        for _ in range(for_ms // step_ms):
            self.clock.advance(step_ms)
            self.network.deliver_due()
            for node in list(self.nodes.values()):
                self._advance(node)

    def view(self, name: str) -> MembershipView:
        """Builds and returns a VM's current view."""
        return self.nodes[name].host.refresh_view()

    def observed_state(self, observer: str, name: str) -> MemberState | None:
        """Returns a VM's state in another one's view; None if unknown."""
        member = self.view(observer).get(name)
        return None if member is None else member.state

    def observed_states(self, name: str) -> set[MemberState | None]:
        """Returns the distinct states of a VM in all other VMs' views."""
        return {
            self.observed_state(observer, name)
            for observer in self.nodes
            if observer != name
        }

    def _advance(self, node: Node) -> None:
        now_ms = self.clock.now_ms()
        if now_ms < node.paused_until_ms:
            return
        backlog, node.backlog = node.backlog, []
        for message in backlog:
            self._handle(node, message)
        if now_ms >= node.next_tick_ms:
            node.next_tick_ms = now_ms + self._settings.tick_interval_ms
            node.host.handle(Tick())

    def _receive(self, name: str, message: ReceivedMessage) -> None:
        node = self.nodes.get(name)
        if node is None:
            return
        if self.clock.now_ms() < node.paused_until_ms:
            node.backlog.append(message)
            return
        self._handle(node, message)

    def _handle(self, node: Node, message: ReceivedMessage) -> None:
        node.host.handle(
            MessageReceived(
                message.sender,
                message.address,
                message.payload,  # type: ignore[arg-type]
            )
        )

    def _record_superseded(self, name: str, incarnation: str) -> None:
        self.superseded.append((name, incarnation))
