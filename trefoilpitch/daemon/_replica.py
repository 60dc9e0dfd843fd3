"""Runs the replication of the configuration in the daemon."""

from __future__ import annotations

import concurrent.futures
import contextlib
import threading
from collections.abc import Callable
from types import TracebackType
from typing import Protocol, Self

import pykka
from returns.result import Success

from trefoilpitch.clock import Clock
from trefoilpitch.configuration import HEAD_KEY, Committed, Configuration
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
    ReplicaMessage,
    ReplicaSettings,
    ReplicaState,
    ReplicaStatus,
    SendMessage,
    SnapshotRead,
    SnapshotReadFailed,
    Standing,
    StartWatch,
    StopWatch,
    WatchEnded,
    create_replica,
    describe_replica,
    is_confirmed,
    may_accept_changes,
    standing,
    step,
)
from trefoilpitch.configuration.replication import Tick as ReplicaTick
from trefoilpitch.membership import MembershipView, MemberState
from trefoilpitch.peering import PeerTransport, ReceivedMessage
from trefoilpitch.serving import Waiter
from trefoilpitch.store import KeyValueStore, Watch
from trefoilpitch.supervision import Tick

REPLICA_TICK_MS = 250

_WATCH_POLL_MS = 1_000
_CONFIRM_PATIENCE_MS = 3_000
_CONFIRM_POLL_MS = 20

_Report = Callable[[ReplicaEvent], None]


class Background(Protocol):
    """Runs tasks that wait for the store or for upstreams."""

    def submit(self, task: Callable[[], None]) -> None:
        """Runs a task soon; drops it once the process is ending."""

    def close(self) -> None:
        """Runs no further tasks."""


class HeadFollower(Protocol):
    """Follows the head key while that is wanted."""

    def start(self, report: _Report) -> None:
        """Begins to follow the key; ends an earlier watch."""

    def stop(self) -> None:
        """Ends the watch without a report."""


class ThreadBackground:
    """Runs tasks on a few threads.

    Args:
        name: Names the threads.
        threads: How many there are.
    """

    def __init__(self, name: str = "store", threads: int = 2) -> None:
        self._pool = concurrent.futures.ThreadPoolExecutor(
            threads, thread_name_prefix=name
        )

    def submit(self, task: Callable[[], None]) -> None:
        """Runs a task soon; drops it once the process is ending."""
        # The pool refuses tasks once it is shut down.
        with contextlib.suppress(RuntimeError):
            self._pool.submit(task)

    def close(self) -> None:
        """Runs no further tasks."""
        self._pool.shutdown(wait=False, cancel_futures=True)


class HeadWatch:
    """Watches the head key on a thread of its own while it is wanted.

    Args:
        store: The platform's key-value service.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store
        self._lock = threading.Lock()
        self._generation = 0
        self._watch: Watch | None = None

    def start(self, report: _Report) -> None:
        """Begins to follow the key; ends an earlier watch."""
        generation = self._end()
        threading.Thread(
            target=self._run,
            args=(generation, report),
            name="head-watch",
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Ends the watch without a report."""
        self._end()

    def _end(self) -> int:
        with self._lock:
            self._generation += 1
            watch, self._watch = self._watch, None
            generation = self._generation
        if watch is not None:
            watch.cancel()
        return generation

    def _run(self, generation: int, report: _Report) -> None:
        opened = self._store.watch(HEAD_KEY, 0)
        if isinstance(opened, Success):
            with opened.unwrap() as watch:
                if self._adopt(generation, watch):
                    self._follow(generation, watch, report)
        if self._is_current(generation):
            report(WatchEnded())

    def _adopt(self, generation: int, watch: Watch) -> bool:
        with self._lock:
            if generation != self._generation:
                return False
            self._watch = watch
            return True

    def _is_current(self, generation: int) -> bool:
        with self._lock:
            return generation == self._generation

    def _follow(self, generation: int, watch: Watch, report: _Report) -> None:
        while self._is_current(generation):
            received = watch.receive(_WATCH_POLL_MS)
            if not isinstance(received, Success):
                return
            for event in received.unwrap().events:
                if event.key == HEAD_KEY:
                    report(HeadWatched(event.value))


class ReplicaHost:
    """Feeds events to the replica and carries out its actions.

    Args:
        settings: How the replica keeps up.
        clock: Tells the time of each event.
        store: The platform's key-value service.
        transport: Carries messages to peers.
        put_in_force: Takes configurations of higher and higher revisions.
        background: Runs reads of the store.
        head_follower: Follows the head key.
        waiter: Lets commits wait for their confirmation.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        *,
        clock: Clock,
        store: KeyValueStore,
        transport: PeerTransport,
        put_in_force: Callable[[Configuration], bool],
        background: Background,
        head_follower: HeadFollower,
        waiter: Waiter,
    ) -> None:
        self._clock = clock
        self._store = store
        self._transport = transport
        self._put_in_force = put_in_force
        self._lock = threading.RLock()
        self._state = create_replica(settings)
        self._peers: tuple[PeerNode, ...] | None = None
        self._background = background
        self._head_follower = head_follower
        self._waiter = waiter

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._head_follower.stop()
        self._background.close()

    @property
    def state(self) -> ReplicaState:
        """The newest state; immutable."""
        return self._state

    def standing(self) -> Standing:
        """Returns how well the configuration is known to be in force."""
        return standing(self._state, self._clock.now_ms())

    def accepts_changes(self) -> bool:
        """Returns whether operators may commit changes through this node."""
        return may_accept_changes(self._state, self._clock.now_ms())

    def status(self) -> ReplicaStatus:
        """Returns what operators see of the replica."""
        return describe_replica(self._state, self._clock.now_ms())

    def observe_fleet(self, view: MembershipView) -> None:
        """Takes in the other daemons of a view where they changed."""
        peers = _peers(view)
        if peers != self._peers:
            self._peers = peers
            self.handle(PeersChanged(peers))

    def receive(self, message: ReceivedMessage) -> None:
        """Takes in a message of a peer's replica."""
        payload = message.payload
        assert isinstance(payload, ReplicaMessage)
        event = MessageReceived(address=message.address, message=payload)
        self.handle(event)

    def take_in(self, committed: Committed, sent_ms: int) -> None:
        """Takes in a commit of this node that was sent at a time."""
        value = committed.head_value
        self.handle(HeadRead(value=value, sent_ms=sent_ms))

    def confirm(self, committed: Committed, sent_ms: int) -> bool:
        """Takes in a commit of this node and waits for its confirmation.

        Returns:
            Whether most failure domains have heard of it in time.
        """
        self.take_in(committed, sent_ms)
        until_ms = self._clock.now_ms() + _CONFIRM_PATIENCE_MS
        while self._clock.now_ms() < until_ms:
            if is_confirmed(self._state, committed.revision):
                return True
            self._waiter.sleep(_CONFIRM_POLL_MS)
        return False

    def handle(self, event: ReplicaEvent) -> None:
        """Applies an event; safe to call from any thread."""
        with self._lock:
            now_ms = self._clock.now_ms()
            self._state, actions = step(self._state, event, now_ms)
            for action in actions:
                self._carry_out(action)

    def _carry_out(self, action: ReplicaAction) -> None:
        match action:
            case ApplyConfiguration(configuration=configuration):
                self._put_in_force(configuration)
            case SendMessage(address=address, message=message):
                self._transport.send(address, message, urgent=action.is_urgent)
            case StartWatch():
                self._head_follower.start(self.handle)
            case StopWatch():
                self._head_follower.stop()
            case ReadHead():
                self._background.submit(self._read_head)
            case ReadSnapshot():
                self._background.submit(lambda: self._read_snapshot(action))

    def _read_head(self) -> None:
        sent_ms = self._clock.now_ms()
        read = self._store.get(HEAD_KEY)
        if not isinstance(read, Success):
            self.handle(HeadReadFailed())
            return
        entry = read.unwrap()
        value = entry.value if entry else None
        self.handle(HeadRead(value=value, sent_ms=sent_ms))

    def _read_snapshot(self, action: ReadSnapshot) -> None:
        read = self._store.get(action.ref.key)
        if not isinstance(read, Success):
            self.handle(SnapshotReadFailed())
            return
        entry = read.unwrap()
        value = entry.value if entry else None
        self.handle(SnapshotRead(ref=action.ref, value=value))


class ReplicaActor(pykka.ThreadingActor):
    """Feeds ticks, views and peers' messages to the replica.

    Args:
        host: The replica; outlives the actor.
        view: Returns the newest view of the fleet.
    """

    def __init__(
        self, host: ReplicaHost, view: Callable[[], MembershipView]
    ) -> None:
        super().__init__()
        self._host = host
        self._view = view

    def on_receive(self, message: object) -> None:
        """Handles a tick or a peer's message."""
        if isinstance(message, Tick):
            view = self._view()
            if view.is_settled:
                self._host.observe_fleet(view)
            self._host.handle(ReplicaTick())
        elif isinstance(message, ReceivedMessage):
            self._host.receive(message)


def _peers(view: MembershipView) -> tuple[PeerNode, ...]:
    return tuple(
        PeerNode(
            name=member.name,
            failure_domain=member.failure_domain,
            address=member.endpoints.peer_address,
        )
        for member in view.members
        if member.name != view.own_name and member.state is not MemberState.GONE
    )
