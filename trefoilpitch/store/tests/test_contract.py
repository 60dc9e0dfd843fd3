"""Contract tests of `KeyValueStore`, run on each implementation."""

from __future__ import annotations

import threading
from collections.abc import Iterator

import pytest
from returns.pipeline import is_successful
from returns.result import Failure, Success

from trefoilpitch.clock import ManualClock
from trefoilpitch.standins import kv_server
from trefoilpitch.store import (
    ABSENT,
    MAX_VALUE_BYTES,
    CompactedError,
    ConflictError,
    EventKind,
    KeyValueStore,
    LeaseNotFoundError,
    MemoryStore,
    NotAppliedError,
    OutcomeUnknownError,
    StoreCounters,
    StoreError,
    Watch,
    WatchClosedError,
    WatchEvent,
    etcd_store,
    memory_store,
)

_WAIT_MS = 5_000
_MANY_CALLS = 30_000


class _Subject:
    """A store under test and the controls of its faults."""

    def __init__(
        self, store: KeyValueStore, faults: MemoryStore, clock: ManualClock
    ) -> None:
        self.store = store
        self.faults = faults
        self.clock = clock


@pytest.fixture(params=["memory", "etcd"])
def subject(request: pytest.FixtureRequest) -> Iterator[_Subject]:
    clock = ManualClock()
    if request.param == "memory":
        store = memory_store(clock)
        yield _Subject(store, store, clock)
        return
    with (
        kv_server(clock=clock) as server,
        etcd_store(server.host, server.port) as client,
    ):
        yield _Subject(client, server.store, clock)


def _failure(result: object) -> StoreError:
    assert isinstance(result, Failure)
    error = result.failure()
    assert isinstance(error, StoreError)
    return error


def _receive_events(watch: Watch, count: int) -> list[WatchEvent]:
    events: list[WatchEvent] = []
    while len(events) < count:
        batch = watch.receive(_WAIT_MS).unwrap()
        assert batch.events or batch.revision == 0
        events += batch.events
    return events


def test_prefix_is_read_in_pages(subject: _Subject) -> None:
    store = subject.store
    keys = [f"p/{number}" for number in range(5)]
    for key in [*keys, "o", "q/1"]:
        store.put_if(key, key.encode(), ABSENT).unwrap()
    pages: list[list[str]] = []
    after = ""
    while True:
        listing = store.list_page("p/", after, 2).unwrap()
        pages.append([entry.key for entry in listing.entries])
        if len(listing.entries) < 2:
            break
        after = listing.entries[-1].key
    assert pages == [keys[:2], keys[2:4], keys[4:]]


def test_write_at_an_outdated_revision_is_a_conflict(subject: _Subject) -> None:
    store = subject.store
    first = store.put_if("a", b"1", ABSENT).unwrap()
    error = _failure(store.put_if("a", b"2", ABSENT))
    assert error == ConflictError(detail=error.detail, current_revision=first)
    second = store.put_if("a", b"2", first).unwrap()
    assert isinstance(_failure(store.delete_if("a", first)), ConflictError)
    assert is_successful(store.delete_if("a", second))
    assert store.get("a") == Success(None)


def test_prefix_is_read_in_key_order_at_one_revision(subject: _Subject) -> None:
    store = subject.store
    for key in ("p/b", "q/x", "p/a"):
        revision = store.put_if(key, key.encode(), ABSENT).unwrap()
    listing = store.list_prefix("p/").unwrap()
    assert [entry.key for entry in listing.entries] == ["p/a", "p/b"]
    assert listing.revision == revision


def test_write_is_applied_although_its_response_is_lost(
    subject: _Subject,
) -> None:
    subject.faults.lose_replies(1)
    result = subject.store.put_if("a", b"1", ABSENT)
    assert isinstance(_failure(result), OutcomeUnknownError)
    entry = subject.store.get("a").unwrap()
    assert entry is not None
    assert entry.value == b"1"


def test_stale_read_returns_an_older_revision(subject: _Subject) -> None:
    store = subject.store
    first = store.put_if("a", b"1", ABSENT).unwrap()
    store.put_if("a", b"2", first).unwrap()
    subject.faults.set_read_lag(1)
    entry = store.get("a").unwrap()
    assert entry is not None
    assert (entry.value, entry.revision) == (b"1", first)
    assert store.list_prefix("").unwrap().revision == first


def test_expired_lease_deletes_its_keys(subject: _Subject) -> None:
    store = subject.store
    lease = store.grant_lease(2_000).unwrap()
    store.put_if("a", b"1", ABSENT, lease.lease_id).unwrap()
    subject.clock.advance(1_500)
    store.keep_alive(lease.lease_id).unwrap()
    subject.clock.advance(1_500)
    assert store.get("a").unwrap() is not None
    subject.clock.advance(500)
    assert store.get("a") == Success(None)
    for result in (
        store.keep_alive(lease.lease_id),
        store.revoke_lease(lease.lease_id),
        store.put_if("b", b"", ABSENT, lease.lease_id),
    ):
        assert isinstance(_failure(result), LeaseNotFoundError)


def test_largest_value_is_stored_and_a_larger_one_rejected(
    subject: _Subject,
) -> None:
    store = subject.store
    value = b"\xff" * MAX_VALUE_BYTES
    revision = store.put_if("a", value, ABSENT).unwrap()
    entry = store.get("a").unwrap()
    assert entry is not None
    assert entry.value == value
    error = _failure(store.put_if("a", value + b"x", revision))
    assert isinstance(error, NotAppliedError)


def test_disconnected_watch_resumes_without_a_gap(subject: _Subject) -> None:
    store = subject.store
    first = store.put_if("p/a", b"1", ABSENT).unwrap()
    with store.watch("p/", first).unwrap() as watch:
        assert [event.revision for event in _receive_events(watch, 1)] == [
            first
        ]
        subject.faults.cut_watches()
        assert isinstance(_end_reason(watch), OutcomeUnknownError)
    store.put_if("q", b"", ABSENT).unwrap()
    second = store.put_if("p/a", b"2", first).unwrap()
    third = store.delete_if("p/a", second).unwrap()
    with store.watch("p/", first + 1).unwrap() as watch:
        events = _receive_events(watch, 2)
    assert [(event.kind, event.revision) for event in events] == [
        (EventKind.PUT, second),
        (EventKind.DELETE, third),
    ]


def _end_reason(watch: Watch) -> StoreError:
    while True:
        result = watch.receive(_WAIT_MS)
        if not is_successful(result):
            return result.failure()


def test_redelivered_changes_are_received_again(subject: _Subject) -> None:
    store = subject.store
    revision = store.put_if("a", b"1", ABSENT).unwrap()
    with store.watch("", revision).unwrap() as watch:
        _receive_events(watch, 1)
        subject.faults.redeliver(1)
        assert _receive_events(watch, 1)[0].revision == revision


def test_watch_from_a_compacted_revision_fails(subject: _Subject) -> None:
    store = subject.store
    revision = ABSENT
    for _ in range(3):
        revision = store.put_if("a", b"", revision).unwrap()
    subject.faults.compact(1)
    with store.watch("", 1).unwrap() as watch:
        error = _end_reason(watch)
    assert isinstance(error, CompactedError)
    assert error.oldest_revision == revision


def test_cancel_from_another_thread_ends_a_blocked_receive(
    subject: _Subject,
) -> None:
    with subject.store.watch("a", 1).unwrap() as watch:
        canceller = threading.Thread(target=watch.cancel)
        canceller.start()
        assert isinstance(_end_reason(watch), WatchClosedError)
        canceller.join()


def test_cancelled_watch_is_removed_under_concurrent_calls(
    subject: _Subject,
) -> None:
    with subject.store.watch("a", 1).unwrap():
        assert subject.faults.counters.watches_waiting == 1
    for _ in range(_MANY_CALLS):
        if not subject.faults.counters.watches_waiting:
            return
        subject.store.get("b")
    pytest.fail("the store still counts the cancelled watch")


def test_receive_times_out_under_concurrent_calls(subject: _Subject) -> None:
    with subject.store.watch("a", 1).unwrap() as watch:
        receiver = threading.Thread(target=watch.receive, args=(1,))
        receiver.start()
        for _ in range(_MANY_CALLS):
            if not receiver.is_alive():
                return
            subject.store.get("b")
    pytest.fail("receive did not time out under concurrent calls")


def test_counters_count_calls_by_kind_and_outcome(subject: _Subject) -> None:
    store = subject.store
    with store.watch("a", 1).unwrap():
        store.put_if("a", b"", ABSENT)
        store.put_if("a", b"", ABSENT)
        subject.faults.lose_replies(1)
        store.get("a")
        lease = store.grant_lease(1_000).unwrap()
        subject.faults.lose_replies(1)
        store.keep_alive(lease.lease_id)
        assert store.counters == StoreCounters(
            reads=1,
            writes=4,
            watches_opened=1,
            watches_waiting=1,
            outcome_unknown=2,
            conflicts=1,
        )
    assert store.counters.watches_waiting == 0


def test_store_that_is_down_fails_calls_until_it_recovers(
    subject: _Subject,
) -> None:
    subject.faults.set_down(True)
    assert not is_successful(subject.store.put_if("a", b"", ABSENT))
    assert not is_successful(subject.store.get("a"))
    subject.faults.set_down(False)
    assert subject.store.get("a") == Success(None)
