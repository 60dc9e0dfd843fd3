from __future__ import annotations

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.leases import LeaseManager, lease_manager, lease_terms
from trefoilpitch.store import MemoryStore, memory_store

_KEY = "leases/orders"
_VALIDITY_MS = 3_000
_STEP_MS = 100


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def store(clock: ManualClock) -> MemoryStore:
    return memory_store(clock)


def _manager(store: MemoryStore, clock: ManualClock, name: str) -> LeaseManager:
    return lease_manager(
        store=store,
        clock=clock,
        key=_KEY,
        terms=lease_terms(name, validity_ms=_VALIDITY_MS),
    )


def _run(clock: ManualClock, for_ms: int, *managers: LeaseManager) -> None:
    for _ in range(for_ms // _STEP_MS):
        clock.advance(_STEP_MS)
        for manager in managers:
            manager.poll()


def test_lease_of_a_paused_holder_expires(
    store: MemoryStore, clock: ManualClock
) -> None:
    paused = _manager(store, clock, "a")
    successor = _manager(store.new_client(), clock, "b")
    paused.poll()
    successor.poll()
    first = paused.fencing_number()
    assert first is not None
    _run(clock, 2 * _VALIDITY_MS, successor)
    second = successor.fencing_number()
    assert paused.fencing_number() is None
    assert second is not None
    assert second > first
    paused.poll()
    assert paused.fencing_number() is None


def test_successor_waits_for_the_validity_to_pass(
    store: MemoryStore, clock: ManualClock
) -> None:
    holder = _manager(store, clock, "a")
    successor = _manager(store.new_client(), clock, "b")
    holder.poll()
    clock.advance(500)
    successor.poll()
    _run(clock, _VALIDITY_MS, successor)
    assert successor.fencing_number() is None
    _run(clock, 500, successor)
    assert successor.fencing_number() is not None


def test_released_lease_is_acquired_without_waiting(
    store: MemoryStore, clock: ManualClock
) -> None:
    with _manager(store, clock, "a") as holder:
        holder.poll()
        assert holder.fencing_number() is not None
    assert holder.fencing_number() is None
    successor = _manager(store.new_client(), clock, "b")
    successor.poll()
    assert successor.fencing_number() is not None


def test_lost_reply_to_an_acquiring_write_is_resolved_by_a_read(
    store: MemoryStore, clock: ManualClock
) -> None:
    _manager(store, clock, "a").poll()
    successor_store = store.new_client()
    successor = _manager(successor_store, clock, "b")
    successor.poll()
    _run(clock, _VALIDITY_MS + _STEP_MS, successor)
    successor_store.lose_replies(1)
    _run(clock, _STEP_MS, successor)
    assert successor_store.counters.outcome_unknown == 1
    won = store.get(_KEY).unwrap()
    assert won is not None
    assert successor.fencing_number() is None
    _run(clock, 300, successor)
    assert successor.fencing_number() == won.revision


def test_lost_reply_to_a_renewal_does_not_end_the_term(
    store: MemoryStore, clock: ManualClock
) -> None:
    manager = _manager(store, clock, "a")
    manager.poll()
    first = manager.fencing_number()
    for _ in range(5):
        store.lose_replies(1)
        _run(clock, _VALIDITY_MS // 2, manager)
    assert store.counters.outcome_unknown == 5
    assert manager.fencing_number() == first


def test_term_ends_in_an_outage_and_another_begins_on_recovery(
    store: MemoryStore, clock: ManualClock
) -> None:
    manager = _manager(store, clock, "a")
    manager.poll()
    first = manager.fencing_number()
    store.set_down(True)
    _run(clock, _VALIDITY_MS // 2, manager)
    assert manager.fencing_number() == first
    _run(clock, _VALIDITY_MS // 2, manager)
    assert manager.fencing_number() is None
    store.set_down(False)
    _run(clock, _VALIDITY_MS // 2, manager)
    second = manager.fencing_number()
    assert first is not None
    assert second is not None
    assert second > first


def test_stale_reads_after_a_conflict_wait_for_the_retry_interval(
    store: MemoryStore, clock: ManualClock
) -> None:
    """Guards against a busy loop of reads after a conflict.

    It comes about when an earlier write of the same holder is applied late
    and reads don't show it yet.
    """
    manager = _manager(store, clock, "a")
    manager.poll()
    _run(clock, _VALIDITY_MS, manager)
    entry = store.get(_KEY).unwrap()
    assert entry is not None
    store.put_if(_KEY, entry.value, entry.revision).unwrap()
    store.set_read_lag(1)
    reads_before = store.counters.reads
    _run(clock, _VALIDITY_MS, manager)
    assert store.counters.reads - reads_before <= _VALIDITY_MS // _STEP_MS
    store.set_read_lag(0)
    _run(clock, 500, manager)
    assert manager.fencing_number() is not None


def test_deleted_record_is_rewritten_after_the_validity(
    store: MemoryStore, clock: ManualClock
) -> None:
    manager = _manager(store, clock, "a")
    manager.poll()
    store.delete_if(_KEY, store.revision).unwrap()
    _run(clock, _VALIDITY_MS, manager)
    assert manager.fencing_number() is None
    _run(clock, 2 * _VALIDITY_MS, manager)
    assert manager.fencing_number() is not None


def test_renewals_cost_few_writes_and_no_reads(
    store: MemoryStore, clock: ManualClock
) -> None:
    manager = _manager(store, clock, "a")
    manager.poll()
    reads = store.counters.reads
    _run(clock, 10 * _VALIDITY_MS, manager)
    assert store.counters.reads == reads
    assert store.counters.writes <= 31
    assert manager.state.counters.terms == 1


def test_validity_counts_from_when_the_write_was_sent(
    clock: ManualClock,
) -> None:
    store = memory_store(clock, sleep_ms=clock.advance, timeout_ms=2_000)
    store.set_delay_ms(1_000)
    manager = _manager(store, clock, "a")
    sent_ms = 1_000
    manager.poll()
    assert clock.now_ms() == 2_000
    margin_ms = manager.state.terms.margin_ms
    clock.advance(sent_ms + _VALIDITY_MS - margin_ms - 1 - clock.now_ms())
    assert manager.fencing_number() is not None
    clock.advance(1)
    assert manager.fencing_number() is None
