"""Simulates a fleet of replicas with an in-memory store."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterable

from returns.result import Failure, Result, Success

from trefoilpitch.clock import ManualClock
from trefoilpitch.configuration import (
    HEAD_KEY,
    Change,
    CommitError,
    Committed,
    Configuration,
    configuration_writer,
)
from trefoilpitch.configuration.replication import (
    ApplyConfiguration,
    HeadRead,
    HeadReadFailed,
    HeadWatched,
    MessageReceived,
    PeerNode,
    PeersChanged,
    ReadHead,
    ReadSnapshot,
    ReplicaAction,
    ReplicaEvent,
    ReplicaSettings,
    ReplicaState,
    SendMessage,
    SnapshotRead,
    SnapshotReadFailed,
    Standing,
    StartWatch,
    StopWatch,
    Tick,
    WatchEnded,
    create_replica,
    standing,
    step,
)
from trefoilpitch.store import MemoryStore, Watch, memory_store

_LATENCY_MS = 1


class Fleet:
    """Runs replicas; every message and store call takes a millisecond."""

    def __init__(self, domains: Iterable[str], nodes_per_domain: int) -> None:
        self.now_ms = 1_000
        self.tick_ms = 100
        self.domains = tuple(domains)
        self.nodes = {
            f"{domain}-{number}": PeerNode(
                name=f"{domain}-{number}",
                failure_domain=domain,
                address=f"{domain}-{number}",
            )
            for domain in self.domains
            for number in range(nodes_per_domain)
        }
        self.store: MemoryStore = memory_store(ManualClock())
        self.states: dict[str, ReplicaState] = {}
        self.in_force: dict[str, list[Configuration]] = {}
        # Whether the settings list the failure domains with entry VMs.
        self.configures_domains = True
        # Size limit of the deltas in the nodes' logs and in the head.
        self.max_delta_bytes = 32_768
        # Failure domains in the same group can reach each other.
        self.groups: list[set[str]] = [set(self.domains)]
        # Nodes that can reach neither peers nor the store.
        self.isolated: set[str] = set()
        # Failure domains from which the store is unreachable.
        self.store_unreachable_from: set[str] = set()
        self._watches: dict[str, Watch] = {}
        self._queue: list[tuple[int, int, str, ReplicaEvent]] = []
        self._order = itertools.count()

    def start(self, *names: str) -> None:
        """Starts nodes, all by default; a restarted node loses its state."""
        for name in names or tuple(self.nodes):
            node = self.nodes[name]
            settings = ReplicaSettings(
                name=name,
                failure_domain=node.failure_domain,
                address=node.address,
                failure_domains=self.domains if self.configures_domains else (),
                max_log_bytes=self.max_delta_bytes,
            )
            self._watches.pop(name, None)
            self.in_force[name] = []
            self.states[name] = create_replica(settings)
        for name in self.states:
            self.update_peers(name)

    def start_with_peers(self, name: str, *peers: str) -> None:
        """Restarts a node whose membership view contains only some peers."""
        self.start(name)
        visible = tuple(self.nodes[peer] for peer in peers)
        fresh = create_replica(self.states[name].settings)
        self.states[name] = fresh
        self.handle(name, PeersChanged(visible))

    def stop(self, name: str) -> None:
        del self.states[name]
        self._watches.pop(name, None)
        for other in self.states:
            self.update_peers(other)

    def update_peers(self, name: str) -> None:
        peers = tuple(self.nodes[p] for p in self.states if p != name)
        self.handle(name, PeersChanged(peers))

    def run(self, duration_ms: int) -> None:
        """Advances the time, with a regular tick of every node."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            next_tick_ms = (self.now_ms // self.tick_ms + 1) * self.tick_ms
            while self._queue and self._queue[0][0] <= next_tick_ms:
                due_ms, _, name, event = heapq.heappop(self._queue)
                self.now_ms = max(self.now_ms, due_ms)
                self.handle(name, event)
            self.now_ms = next_tick_ms
            for name in tuple(self.states):
                self._poll_watch(name)
                self.handle(name, Tick())

    def handle(self, name: str, event: ReplicaEvent) -> None:
        if name not in self.states:
            return
        before = self.states[name]
        after, actions = step(before, event, self.now_ms)
        assert after.revision >= before.revision
        self.states[name] = after
        for action in actions:
            self._carry_out(name, action)

    def commit(
        self, name: str, change: Change
    ) -> Result[Committed, CommitError]:
        """Commits through a node's own writer and updates its replica."""
        client = self.store.new_client()
        client.set_down(not self._reaches_store(name))
        writer = configuration_writer(
            client, max_delta_bytes=self.max_delta_bytes
        )
        outcome = writer.commit(
            change, known_revision=self.states[name].revision
        )
        if isinstance(outcome, Success):
            value = outcome.unwrap().head_value
            self.handle(name, HeadRead(value=value, sent_ms=self.now_ms))
        return outcome

    def standings(self) -> dict[str, Standing]:
        return {
            name: standing(state, self.now_ms)
            for name, state in self.states.items()
        }

    def revisions(self) -> set[int]:
        return {state.revision for state in self.states.values()}

    def _reaches(self, sender: str, receiver: str) -> bool:
        if sender in self.isolated or receiver in self.isolated:
            return False
        if receiver not in self.nodes:
            return False
        ends = {
            self.nodes[sender].failure_domain,
            self.nodes[receiver].failure_domain,
        }
        return any(ends <= group for group in self.groups)

    def _reaches_store(self, name: str) -> bool:
        domain = self.nodes[name].failure_domain
        return (
            name not in self.isolated
            and domain not in self.store_unreachable_from
        )

    def _schedule(self, name: str, event: ReplicaEvent) -> None:
        due_ms = self.now_ms + _LATENCY_MS
        heapq.heappush(self._queue, (due_ms, next(self._order), name, event))

    def _carry_out(self, name: str, action: ReplicaAction) -> None:
        match action:
            case SendMessage():
                if self._reaches(name, action.address):
                    event = MessageReceived(
                        address=name, message=action.message
                    )
                    self._schedule(action.address, event)
            case ReadHead():
                self._schedule(name, self._read_head(name))
            case ReadSnapshot():
                self._schedule(name, self._read_snapshot(name, action))
            case StartWatch():
                self._start_watch(name)
            case StopWatch():
                self._watches.pop(name, None)
            case ApplyConfiguration():
                self.in_force[name].append(action.configuration)

    def _read_head(self, name: str) -> ReplicaEvent:
        read = self.store.get(HEAD_KEY)
        if not self._reaches_store(name) or isinstance(read, Failure):
            return HeadReadFailed()
        entry = read.unwrap()
        value = entry.value if entry else None
        return HeadRead(value=value, sent_ms=self.now_ms)

    def _read_snapshot(self, name: str, action: ReadSnapshot) -> ReplicaEvent:
        read = self.store.get(action.ref.key)
        if not self._reaches_store(name) or isinstance(read, Failure):
            return SnapshotReadFailed()
        entry = read.unwrap()
        return SnapshotRead(
            ref=action.ref, value=entry.value if entry else None
        )

    def _start_watch(self, name: str) -> None:
        # From the first revision on, so that every new watch repeats old
        # events.
        opened = self.store.watch(HEAD_KEY, 1)
        if not self._reaches_store(name) or isinstance(opened, Failure):
            self._schedule(name, WatchEnded())
        else:
            self._watches[name] = opened.unwrap()

    def _poll_watch(self, name: str) -> None:
        watch = self._watches.get(name)
        if watch is None:
            return
        batch = watch.receive(0)
        if not self._reaches_store(name) or isinstance(batch, Failure):
            del self._watches[name]
            self._schedule(name, WatchEnded())
            return
        for event in batch.unwrap().events:
            self._schedule(name, HeadWatched(event.value))


def ready_fleet(domains: str = "abc", nodes_per_domain: int = 3) -> Fleet:
    """Returns a fleet that is ready, with the empty configuration."""
    fleet = Fleet(domains, nodes_per_domain)
    fleet.start()
    fleet.run(3_000)
    return fleet
