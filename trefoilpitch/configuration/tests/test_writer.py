from __future__ import annotations

import itertools

from returns.result import Failure, Result

from trefoilpitch.clock import ManualClock
from trefoilpitch.configuration import (
    HEAD_KEY,
    KEY_PREFIX,
    ChangeRefusedError,
    CommitError,
    CommitUnknownError,
    Refusal,
    RevisionConflictError,
    StaleStoreError,
    StoreCorruptedError,
    StoreUnavailableError,
    configuration_writer,
)
from trefoilpitch.configuration.tests.examples import (
    many_changes,
    sign_off,
    vm_out,
)
from trefoilpitch.configuration.tests.stores import HookedStore, Put
from trefoilpitch.store import (
    OutcomeUnknownError,
    StoreError,
    memory_store,
)

_LOST: Result[int, StoreError] = Failure(OutcomeUnknownError(detail="lost"))


def _store() -> HookedStore:
    store = HookedStore(memory_store(ManualClock()))
    configuration_writer(store).commit(sign_off()).unwrap()
    return store


def _revision_before_probe(store: HookedStore) -> int:
    """Commits one more change and returns the revision before it."""
    writer = configuration_writer(store.inner.new_client())
    return writer.commit(vm_out("probe")).unwrap().revision - 1


def _lose_response(put: Put) -> Result[int, StoreError]:
    put()
    return _LOST


def _lose_request(_: Put) -> Result[int, StoreError]:
    return _LOST


def test_lost_response_commits_once() -> None:
    store = _store()
    store.hooks = [_lose_response]
    committed = configuration_writer(store).commit(vm_out("a")).unwrap()
    assert committed.revision == 2
    assert _revision_before_probe(store) == 2


def test_lost_request_is_retried() -> None:
    store = _store()
    store.hooks = [_lose_request, _lose_request]
    assert configuration_writer(store).commit(vm_out("a")).unwrap()
    assert _revision_before_probe(store) == 2


def test_write_delayed_past_its_retry_commits_once() -> None:
    store = _store()
    delayed: list[Put] = []

    def delay(put: Put) -> Result[int, StoreError]:
        delayed.append(put)
        return _LOST

    def overtaken(put: Put) -> Result[int, StoreError]:
        delayed[0]()
        return put()

    store.hooks = [delay, overtaken]
    committed = configuration_writer(store).commit(vm_out("a")).unwrap()
    assert committed.revision == 2
    assert _revision_before_probe(store) == 2


def test_unknown_outcome_is_resolved_by_a_retry() -> None:
    store = _store()

    def lose_store(put: Put) -> Result[int, StoreError]:
        put()
        store.inner.set_down(True)
        return _LOST

    store.hooks = [lose_store]
    writer = configuration_writer(store)
    error = writer.commit(vm_out("a")).failure()
    assert isinstance(error, CommitUnknownError)
    store.inner.set_down(False)
    settled = writer.commit(vm_out("a")).unwrap()
    assert (settled.revision, settled.is_repeated) == (2, True)
    assert _revision_before_probe(store) == 2


def test_conflict_lists_what_changed() -> None:
    store = _store()
    other_writer = configuration_writer(store.inner.new_client())

    def race(put: Put) -> Result[int, StoreError]:
        other_writer.commit(vm_out("b", author="josefa")).unwrap()
        return put()

    store.hooks = [race]
    error = configuration_writer(store).commit(vm_out("a")).failure()
    assert isinstance(error, RevisionConflictError)
    assert error.changed_since == (
        "revision 2: josefa took out VM b (change id out-b)",
    )
    assert configuration_writer(store).commit(vm_out("a")).unwrap()


def test_conflict_is_reported_despite_lagging_reads() -> None:
    store = _store()
    other_writer = configuration_writer(store.inner.new_client())

    def race(put: Put) -> Result[int, StoreError]:
        other_writer.commit(vm_out("b")).unwrap()
        store.inner.set_read_lag(1)
        return put()

    store.hooks = [race]
    error = configuration_writer(store).commit(vm_out("a")).failure()
    assert isinstance(error, RevisionConflictError)


def test_expected_revision_refuses_later_ones() -> None:
    store = _store()
    writer = configuration_writer(store)
    writer.commit(vm_out("a"), expected_revision=1).unwrap()
    error = writer.commit(vm_out("b"), expected_revision=1).failure()
    assert isinstance(error, RevisionConflictError)
    assert error.current_revision == 2
    assert "took out VM a" in str(error)


def test_unavailable_store_changes_nothing() -> None:
    store = _store()
    store.inner.set_down(True)
    error = configuration_writer(store).commit(vm_out("a")).failure()
    assert isinstance(error, StoreUnavailableError)
    store.inner.set_down(False)
    assert _revision_before_probe(store) == 1


def test_stale_read_below_the_revision_in_force_is_refused() -> None:
    store = _store()
    configuration_writer(store).commit(vm_out("a")).unwrap()
    store.inner.set_read_lag(1)
    writer = configuration_writer(store)
    error = writer.commit(vm_out("b"), known_revision=2).failure()
    assert isinstance(error, StaleStoreError)


def test_change_id_of_another_change_is_refused() -> None:
    store = _store()
    writer = configuration_writer(store)
    writer.commit(vm_out("a")).unwrap()
    error = writer.commit(vm_out("a", author="josefa")).failure()
    assert isinstance(error, ChangeRefusedError)
    assert error.refusal is Refusal.CHANGE_ID_REUSED
    assert writer.commit(sign_off()).unwrap().is_repeated


def test_faulty_bundle_and_refused_change_write_nothing() -> None:
    store = _store()
    writer = configuration_writer(store)
    for change, refusal in (
        (sign_off(version=0), Refusal.FAULTY_BUNDLE),
        (sign_off(version=1, author="josefa"), Refusal.CHANGE_ID_REUSED),
    ):
        error: CommitError = writer.commit(change).failure()
        assert isinstance(error, ChangeRefusedError)
        assert error.refusal is refusal
    assert _revision_before_probe(store) == 1


def test_any_writer_continues_after_many_changes() -> None:
    store = _store()
    changes = itertools.islice(many_changes(), 1, 200)
    for revision, change in enumerate(changes, start=2):
        writer = configuration_writer(store)
        assert writer.commit(change).unwrap().revision == revision
    listing = store.inner.list_prefix(KEY_PREFIX).unwrap()
    sizes = {entry.key: len(entry.value) for entry in listing.entries}
    assert len(sizes) == 3, "the head and two snapshots"
    assert sizes[HEAD_KEY] < 5_000


def test_corrupted_store_is_reported_and_not_written() -> None:
    store = _store()
    listing = store.inner.list_prefix(KEY_PREFIX).unwrap()
    (snapshot,) = (e for e in listing.entries if e.key != HEAD_KEY)
    store.inner.put_if(snapshot.key, b"x", snapshot.revision).unwrap()
    error = configuration_writer(store).commit(vm_out("a")).failure()
    assert isinstance(error, StoreCorruptedError)
    head = store.inner.get(HEAD_KEY).unwrap()
    assert head is not None
    store.inner.put_if(HEAD_KEY, b"x", head.revision).unwrap()
    error = configuration_writer(store).commit(vm_out("a")).failure()
    assert isinstance(error, StoreCorruptedError)


def test_change_missing_from_the_head_has_an_unknown_outcome() -> None:
    store = _store()
    other_writer = configuration_writer(store.inner.new_client())

    def overtake(put: Put) -> Result[int, StoreError]:
        put().unwrap()
        for number in range(60):
            other_writer.commit(vm_out(f"rival-{number}")).unwrap()
        return _LOST

    store.hooks = [overtake]
    error = configuration_writer(store).commit(vm_out("a")).failure()
    assert isinstance(error, CommitUnknownError)


def test_write_hidden_by_lagging_reads_has_an_unknown_outcome() -> None:
    store = _store()

    def hide(put: Put) -> Result[int, StoreError]:
        put().unwrap()
        store.inner.set_read_lag(1)
        return _LOST

    store.hooks = [hide]
    error = configuration_writer(store).commit(vm_out("a")).failure()
    assert isinstance(error, CommitUnknownError)
    store.inner.set_read_lag(0)
    assert configuration_writer(store).commit(vm_out("a")).unwrap().is_repeated
