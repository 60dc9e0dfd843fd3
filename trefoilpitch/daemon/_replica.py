"""Runs the configuration replica: store reads, watches and peer messages."""

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
_CONFIRM_TIMEOUT_MS = 3_000
_CONFIRM_POLL_MS = 20

_EventCallback = Callable[[ReplicaEvent], None]


class TaskExecutor(Protocol):
    """Runs tasks that block on the store or on upstreams."""

    def submit(self, task: Callable[[], None]) -> None:
        """Schedules a task; drops it after :meth:`close`."""

    def close(self) -> None:
        """Drops tasks that have not started and rejects new ones."""


class HeadWatcher(Protocol):
    """Watches the head key of the configuration between start and stop."""

    def start(self, on_event: _EventCallback) -> None:
        """Starts a watch that reports to a callback; ends an earlier one."""

    def stop(self) -> None:
        """Ends the watch without reporting its end."""


class ThreadTaskExecutor:
    """Runs tasks on a thread pool.

    Args:
        name: Prefix of the threads' names.
        threads: Size of the pool.
    """

    def __init__(self, name: str = "store", threads: int = 2) -> None:
        self._pool = concurrent.futures.ThreadPoolExecutor(
            threads, thread_name_prefix=name
        )

    def submit(self, task: Callable[[], None]) -> None:
        """Schedules a task; drops it after :meth:`close`."""
        # The pool raises RuntimeError once it is shut down.
        with contextlib.suppress(RuntimeError):
            self._pool.submit(task)

    def close(self) -> None:
        """Drops tasks that have not started and rejects new ones."""
        self._pool.shutdown(wait=False, cancel_futures=True)


class ThreadHeadWatcher:
    """Watches the head key, each time on a new thread.

    A generation number identifies the current watch, so that the thread of an
    earlier one reports nothing.

    Args:
        store: The platform's key-value service.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store
        self._lock = threading.Lock()
        self._generation = 0
        self._watch: Watch | None = None

    def start(self, on_event: _EventCallback) -> None:
        """Starts a watch that reports to a callback; ends an earlier one."""
        generation = self._cancel_watch()
        threading.Thread(
            target=self._run,
            args=(generation, on_event),
            name="head-watch",
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Ends the watch without reporting its end."""
        self._cancel_watch()

    def _cancel_watch(self) -> int:
        with self._lock:
            self._generation += 1
            watch, self._watch = self._watch, None
            generation = self._generation
        if watch is not None:
            watch.cancel()
        return generation

    def _run(self, generation: int, on_event: _EventCallback) -> None:
        opened = self._store.watch(HEAD_KEY, 0)
        if isinstance(opened, Success):
            with opened.unwrap() as watch:
                if self._register_watch(generation, watch):
                    self._forward_events(generation, watch, on_event)
        if self._is_current(generation):
            on_event(WatchEnded())

    def _register_watch(self, generation: int, watch: Watch) -> bool:
        with self._lock:
            if generation != self._generation:
                return False
            self._watch = watch
            return True

    def _is_current(self, generation: int) -> bool:
        with self._lock:
            return generation == self._generation

    def _forward_events(
        self, generation: int, watch: Watch, on_event: _EventCallback
    ) -> None:
        while self._is_current(generation):
            received = watch.receive(_WATCH_POLL_MS)
            if not isinstance(received, Success):
                return
            for event in received.unwrap().events:
                if event.key == HEAD_KEY:
                    on_event(HeadWatched(event.value))


class ReplicaHost:
    """Applies events to the replica's state and executes its actions.

    Args:
        settings: The replica's settings.
        clock: Timestamps events.
        store: The platform's key-value service.
        transport: Carries messages to peers.
        apply_configuration: Called with configurations in order of revision.
        store_executor: Runs reads of the store.
        head_watcher: Watches the head key.
        waiter: Sleeps while a commit waits for its confirmation.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        *,
        clock: Clock,
        store: KeyValueStore,
        transport: PeerTransport,
        apply_configuration: Callable[[Configuration], bool],
        store_executor: TaskExecutor,
        head_watcher: HeadWatcher,
        waiter: Waiter,
    ) -> None:
        self._clock = clock
        self._store = store
        self._transport = transport
        self._apply_configuration = apply_configuration
        self._lock = threading.RLock()
        self._state = create_replica(settings)
        self._peers: tuple[PeerNode, ...] | None = None
        self._store_executor = store_executor
        self._head_watcher = head_watcher
        self._waiter = waiter

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._head_watcher.stop()
        self._store_executor.close()

    @property
    def state(self) -> ReplicaState:
        """The current state; immutable."""
        return self._state

    def standing(self) -> Standing:
        """Returns how well the configuration is known to be current."""
        return standing(self._state, self._clock.now_ms())

    def accepts_changes(self) -> bool:
        """Returns whether operators may commit changes through this node."""
        return may_accept_changes(self._state, self._clock.now_ms())

    def status(self) -> ReplicaStatus:
        """Returns the replica's status for operators."""
        return describe_replica(self._state, self._clock.now_ms())

    def observe_fleet(self, view: MembershipView) -> None:
        """Updates the replica's peers if they changed in a view."""
        peers = _peers(view)
        if peers != self._peers:
            self._peers = peers
            self.handle(PeersChanged(peers))

    def receive(self, message: ReceivedMessage) -> None:
        """Handles a message of a peer's replica."""
        payload = message.payload
        assert isinstance(payload, ReplicaMessage)
        event = MessageReceived(address=message.address, message=payload)
        self.handle(event)

    def apply_commit(self, committed: Committed, sent_ms: int) -> None:
        """Applies a commit of this node, given its send time."""
        value = committed.head_value
        self.handle(HeadRead(value=value, sent_ms=sent_ms))

    def confirm(self, committed: Committed, sent_ms: int) -> bool:
        """Applies a commit of this node and waits for its confirmation.

        Returns:
            Whether most failure domains confirmed it within the time-out.
        """
        self.apply_commit(committed, sent_ms)
        deadline_ms = self._clock.now_ms() + _CONFIRM_TIMEOUT_MS
        while self._clock.now_ms() < deadline_ms:
            if is_confirmed(self._state, committed.revision):
                return True
            self._waiter.sleep(_CONFIRM_POLL_MS)
        return False

    def handle(self, event: ReplicaEvent) -> None:
        """Applies an event; safe to call from any thread."""
        with self._lock:
            now_ms = self._clock.now_ms()
            state, actions = step(self._state, event, now_ms)
            # Requests read the standing without the lock. It may admit them
            # only when the configuration that it stands for is in force.
            for action in actions:
                if isinstance(action, ApplyConfiguration):
                    self._apply_configuration(action.configuration)
            self._state = state
            for action in actions:
                self._execute(action)

    def _execute(self, action: ReplicaAction) -> None:
        match action:
            case ApplyConfiguration():
                pass  # Applied before the state was replaced.
            case SendMessage(address=address, message=message):
                self._transport.send(address, message, urgent=action.is_urgent)
            case StartWatch():
                self._head_watcher.start(self.handle)
            case StopWatch():
                self._head_watcher.stop()
            case ReadHead():
                self._store_executor.submit(self._read_head)
            case ReadSnapshot():
                self._store_executor.submit(lambda: self._read_snapshot(action))

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
    """Passes ticks, views and peers' messages to the replica.

    Args:
        host: The replica; outlives the actor.
        view: Returns the latest membership view.
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
