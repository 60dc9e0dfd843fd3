"""Tests of `PrefixFollower` under faults, against a dictionary."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from trefoilpitch.clock import ManualClock
from trefoilpitch.standins import kv_server
from trefoilpitch.store import (
    ABSENT,
    CompactedError,
    EventKind,
    Listing,
    MemoryStore,
    PrefixView,
    StoreError,
    WatchBatch,
    WatchEvent,
    etcd_store,
    memory_store,
    prefix_follower,
)

_WAIT_MS = 2_000
# The response to the watch's creation, two changes and one spare.
_MAX_BATCHES = 4
_KEYS = ("p/a", "p/b", "q/c")
_keys = st.sampled_from(_KEYS)


class FollowerMachine(RuleBasedStateMachine):
    """The view is always a past state of the prefix and never goes back."""

    def __init__(self) -> None:
        super().__init__()
        self.writer = memory_store(ManualClock())
        self.reader = self.writer.new_client()
        self.follower = prefix_follower(self.reader, "p/")
        self.last_view = self.follower.view
        self.contents: dict[str, bytes] = {}
        self.history: dict[int, dict[str, bytes]] = {0: {}}

    @rule(key=_keys, value=st.binary(max_size=2))
    def put(self, key: str, value: bytes) -> None:
        entry = self.writer.get(key).unwrap()
        expected = ABSENT if entry is None else entry.revision
        revision = self.writer.put_if(key, value, expected).unwrap()
        self.contents[key] = value
        self._record_state(revision)

    @rule(key=_keys)
    def delete(self, key: str) -> None:
        entry = self.writer.get(key).unwrap()
        if entry is not None:
            revision = self.writer.delete_if(key, entry.revision).unwrap()
            del self.contents[key]
            self._record_state(revision)

    @rule()
    def receive(self) -> None:
        self.follower.receive(0)

    @rule()
    def cut(self) -> None:
        self.reader.cut_watches()

    @rule(revisions=st.integers(1, 3))
    def redeliver(self, revisions: int) -> None:
        self.reader.redeliver(revisions)

    @rule(revisions=st.integers(0, 3))
    def read_stale(self, revisions: int) -> None:
        self.reader.set_read_lag(revisions)

    @rule(keep=st.integers(0, 2))
    def compact(self, keep: int) -> None:
        self.writer.compact(keep)

    @rule(down=st.booleans())
    def set_down(self, down: bool) -> None:
        self.reader.set_down(down)

    @invariant()
    def view_is_a_past_state(self) -> None:
        view = self.follower.view
        assert view.revision >= self.last_view.revision
        assert _values(view) == self.history[view.revision]
        self.last_view = view

    def teardown(self) -> None:
        """Checks that the view catches up once the faults end."""
        self.reader.set_down(False)
        self.reader.set_read_lag(0)
        for _ in range(4):
            result = self.follower.receive(0)
        assert is_successful(result)
        assert _values(self.follower.view) == self._prefix_contents()

    def _record_state(self, revision: int) -> None:
        self.history[revision] = self._prefix_contents()

    def _prefix_contents(self) -> dict[str, bytes]:
        return {k: v for k, v in self.contents.items() if k.startswith("p/")}


def _values(view: PrefixView) -> dict[str, bytes]:
    return {key: entry.value for key, entry in view.entries.items()}


TestPrefixFollower = FollowerMachine.TestCase
TestPrefixFollower.settings = settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=40
)


class _Replica:
    """Returns listings and changes as a replica that lags behind would."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.listing: Listing | None = None
        self.batches: list[Result[WatchBatch, StoreError]] = []

    def list_prefix(self, prefix: str) -> Result[Listing, StoreError]:
        if self.listing is not None:
            return Success(self.listing)
        return self._store.list_prefix(prefix)

    def watch(self, prefix: str, from_revision: int) -> object:
        watch = self._store.watch(prefix, from_revision).unwrap()
        watch.receive = lambda timeout_ms: self.batches.pop(0)  # type: ignore[method-assign]
        return Success(watch)


def test_view_never_goes_back_to_an_older_listing_or_change() -> None:
    store = memory_store(ManualClock())
    replica = _Replica(store)
    follower = prefix_follower(replica, "p/")  # type: ignore[arg-type]
    first = store.put_if("p/a", b"1", ABSENT).unwrap()
    old_listing = store.list_prefix("p/").unwrap()
    store.put_if("p/a", b"2", first).unwrap()
    old_change = WatchEvent(
        kind=EventKind.PUT, key="p/a", value=b"1", revision=first
    )
    replica.batches = [
        Success(WatchBatch(events=(old_change,), revision=first)),
        Failure(CompactedError(detail="", oldest_revision=9)),
    ]
    for _ in range(2):
        follower.receive(0)
        assert _values(follower.view) == {"p/a": b"2"}
    replica.listing = old_listing
    assert not is_successful(follower.receive(0))
    assert _values(follower.view) == {"p/a": b"2"}


def test_follower_over_http_misses_nothing_after_a_disconnect() -> None:
    with (
        kv_server() as server,
        etcd_store(server.host, server.port) as store,
        prefix_follower(store, "p/") as follower,
    ):
        first = store.put_if("p/a", b"1", ABSENT).unwrap()
        assert _values(follower.receive(0).unwrap()) == {"p/a": b"1"}
        server.store.cut_watches()
        results = (follower.receive(_WAIT_MS) for _ in range(_MAX_BATCHES))
        assert not all(is_successful(result) for result in results)
        store.put_if("p/a", b"2", first).unwrap()
        store.put_if("p/b", b"3", ABSENT).unwrap()
        expected = {"p/a": b"2", "p/b": b"3"}
        for _ in range(_MAX_BATCHES):
            if _values(follower.view) != expected:
                follower.receive(_WAIT_MS).unwrap()
        assert _values(follower.view) == expected
        assert server.store.counters.reads == 1
