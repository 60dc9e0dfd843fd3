from returns.result import Success

from trefoilpitch.callers import Registration
from trefoilpitch.clock import ManualClock
from trefoilpitch.daemon._key_register import (
    REGISTER_PREFIX,
    RETENTION_MS,
    StoreKeyRegister,
    sweep_shard,
)
from trefoilpitch.requests import KeyedRequestId
from trefoilpitch.store import memory_store
from trefoilpitch.web import Outcome

_KEYED_ID = KeyedRequestId("suva-parish", "loan-7")
_DEADLINE_MS = 10_000


def test_first_registration_wins_if_its_response_is_lost() -> None:
    clock = ManualClock()
    store = memory_store(clock)
    store.lose_replies(1)
    first = StoreKeyRegister("a", store, clock)
    second = StoreKeyRegister("b", store.new_client(), clock)
    assert first.register(_KEYED_ID, _DEADLINE_MS) == Success(
        Registration(home="a", is_new=True)
    )
    assert second.register(_KEYED_ID, _DEADLINE_MS) == Success(
        Registration(home="a", is_new=False)
    )


def test_registration_outlives_the_leases() -> None:
    clock = ManualClock()
    store = memory_store(clock)
    StoreKeyRegister("a", store, clock).register(_KEYED_ID, _DEADLINE_MS)
    store.lapse_leases()
    second = StoreKeyRegister("b", store, clock).register(
        _KEYED_ID, _DEADLINE_MS
    )
    assert second.unwrap().home == "a"


def test_outcome_is_unknown_while_the_store_is_down() -> None:
    clock = ManualClock()
    store = memory_store(clock)
    store.set_down(True)
    refused = StoreKeyRegister("a", store, clock).register(
        _KEYED_ID, _DEADLINE_MS
    )
    assert refused.failure().outcome is Outcome.UNKNOWN


def test_only_old_registrations_are_swept() -> None:
    clock = ManualClock()
    store = memory_store(clock)
    register = StoreKeyRegister("a", store, clock)
    register.register(_KEYED_ID, _DEADLINE_MS)
    (entry,) = store.list_prefix(REGISTER_PREFIX).unwrap().entries
    shard = entry.key.removeprefix(REGISTER_PREFIX)[:2]
    assert sweep_shard(store, shard, RETENTION_MS) == 0
    assert sweep_shard(store, shard, RETENTION_MS + 1) == 1
