"""A daemon's registration while responses of the store are lost."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import (
    Condition,
    FleetStore,
    FleetView,
    Item,
    ItemBatch,
    LeaseLostError,
    Member,
    StoreUnavailableError,
    Write,
)
from trefoilpitch.gateway._registration import Registration
from trefoilpitch.platform._documents import PlatformDocuments


def _member(incarnation: str) -> Member:
    return Member(
        name="vm-1",
        incarnation=incarnation,
        caller_address="10.0.0.1:80",
        peer_host="10.0.0.1",
        peer_port=81,
        heartbeat_port=82,
        failure_domain="zone-a",
    )


def _entry(incarnation: str) -> bytes:
    return PlatformDocuments().encode_member(_member(incarnation), 0).value


class _Store(FleetStore):
    """Keeps entries with their leases; can execute writes late."""

    def __init__(self) -> None:
        self.entries: dict[str, Write] = {}
        self.leases: set[int] = set()
        self.granted = 0
        self.revision = 0
        # Whether writes get no response and are executed by `execute_late`.
        self.delays_writes = False
        self.unavailable = False
        # Number of renewals that were asked for.
        self.renewals = 0
        self._late: list[Write] = []

    @property
    def era(self) -> int:
        return 1

    @property
    def values(self) -> list[bytes]:
        return [write.value for write in self.entries.values()]

    def execute_late(self) -> None:
        for write in self._late:
            if write.lease_id in self.leases:
                self.revision += 1
                self.entries[write.key] = write

    def list_to(self, view: FleetView) -> None:
        items = tuple(
            Item(key=key, value=write.value, revision=self.revision)
            for key, write in self.entries.items()
        )
        view.load(
            ItemBatch(items=items, revision=self.revision, era=self.era), 0
        )

    async def read_all(self) -> ItemBatch:
        raise NotImplementedError

    async def watch(self, after: int, wait_ms: int) -> ItemBatch:
        raise NotImplementedError

    async def commit(
        self,
        *,
        conditions: tuple[Condition, ...] = (),
        writes: tuple[Write, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> int:
        if self.unavailable:
            raise StoreUnavailableError("down")
        if self.delays_writes:
            self._late.extend(writes)
            raise StoreUnavailableError("no response")
        for write in writes:
            if write.lease_id not in self.leases:
                raise LeaseLostError
            self.entries[write.key] = write
        for key in removals:
            self.entries.pop(key, None)
        self.revision += 1
        return self.revision

    async def grant_lease(self, ttl_ms: int) -> int:
        self.granted += 1
        self.leases.add(self.granted)
        return self.granted

    async def renew_lease(self, lease_id: int) -> None:
        self.renewals += 1
        if self.unavailable:
            raise StoreUnavailableError("down")
        if lease_id not in self.leases:
            raise LeaseLostError

    async def end_lease(self, lease_id: int) -> None:
        self.leases.discard(lease_id)
        for key, write in list(self.entries.items()):
            if write.lease_id == lease_id:
                del self.entries[key]


def _view() -> FleetView:
    return FleetView(PlatformDocuments(), lambda change: None)


def _registration(
    store: FleetStore,
    incarnation: str,
    view: FleetView | None = None,
    clock: ManualClock | None = None,
) -> Registration:
    return Registration(
        store,
        PlatformDocuments(),
        _member(incarnation),
        view or _view(),
        clock=clock or ManualClock(),
        rng=_NoSpread(),
    )


class _NoSpread(random.Random):
    """Makes the daemon act at once."""

    def random(self) -> float:
        return 0.0


def test_late_write_of_a_left_daemon_keeps_the_entry_of_the_next_start() -> (
    None
):
    async def scenario() -> None:
        store = _Store()
        old, new = _registration(store, "old"), _registration(store, "new")
        store.delays_writes = True
        await old.renew()
        await old.withdraw()
        store.delays_writes = False
        await new.renew()
        store.execute_late()
        assert store.values == [_entry("new")]

    asyncio.run(scenario())


@pytest.mark.parametrize("late", [False, True])
def test_entry_is_written_again_under_the_lease_that_is_held(
    late: bool,
) -> None:
    async def scenario() -> None:
        store = _Store()
        registration = _registration(store, "new")
        store.delays_writes = True
        await registration.renew()
        store.delays_writes = False
        if late:
            store.execute_late()
        await registration.renew()
        assert store.values == [_entry("new")]
        assert store.granted == 1
        await registration.withdraw()
        assert store.values == []

    asyncio.run(scenario())


def test_entry_is_written_under_a_new_lease_after_the_old_one_has_ended() -> (
    None
):
    async def scenario() -> None:
        store = _Store()
        registration = _registration(store, "new")
        await registration.renew()
        await store.end_lease(1)
        await registration.renew()
        assert store.values == [_entry("new")]
        assert store.leases == {2}

    asyncio.run(scenario())


def test_withdrawal_keeps_what_others_wrote_after_the_lease_ended() -> None:
    async def scenario() -> None:
        store = _Store()
        old, new = _registration(store, "old"), _registration(store, "new")
        await old.renew()
        await store.end_lease(1)
        await new.renew()
        await old.withdraw()
        assert store.values == [_entry("new")]

    asyncio.run(scenario())


def test_late_write_of_a_killed_daemon_does_not_outlast_its_lease() -> None:
    async def scenario() -> None:
        store, view = _Store(), _view()
        old, new = (
            _registration(store, "old"),
            _registration(store, "new", view),
        )
        store.delays_writes = True
        await old.renew()
        store.delays_writes = False
        await new.renew()
        store.list_to(view)
        store.execute_late()
        assert store.values == [_entry("old")]
        store.list_to(view)
        await new.renew()
        await store.end_lease(1)
        assert store.values == [_entry("new")]

    asyncio.run(scenario())


def test_entry_is_written_once_while_the_view_is_behind_or_has_it() -> None:
    async def scenario() -> None:
        store, view = _Store(), _view()
        registration = _registration(store, "new", view)
        await registration.renew()
        await registration.renew()
        store.list_to(view)
        await registration.renew()
        assert store.revision == 1

    asyncio.run(scenario())


def test_entry_that_was_removed_is_written_again() -> None:
    async def scenario() -> None:
        store, view = _Store(), _view()
        registration = _registration(store, "new", view)
        await registration.renew()
        store.list_to(view)
        store.entries.clear()
        store.revision += 1
        store.list_to(view)
        await registration.renew()
        assert store.values == [_entry("new")]

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def _running(registration: Registration) -> AsyncIterator[None]:
    task = asyncio.create_task(registration.run())
    try:
        yield
    finally:
        task.cancel()


async def _wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0)


def test_entry_is_written_soon_after_an_outage_longer_than_the_lease() -> None:
    """The next renewal is due eight seconds later."""

    async def scenario() -> None:
        store, clock = _Store(), ManualClock()
        registration = _registration(store, "new", clock=clock)
        async with _running(registration):
            await _wait_until(lambda: store.values)
            await store.end_lease(1)
            clock.advance(33_000)
            registration.notify_store_returned()
            await _wait_until(lambda: store.values)
            assert store.leases == {2}

    asyncio.run(scenario())


def test_failed_call_after_an_outage_is_repeated_a_few_times() -> None:
    async def scenario() -> None:
        store, clock = _Store(), ManualClock()
        registration = _registration(store, "new", clock=clock)
        async with _running(registration):
            await _wait_until(lambda: store.values)
            store.unavailable = True
            clock.advance(33_000)
            registration.notify_store_returned()
            await _wait_until(lambda: store.renewals == 4)
            for _ in range(100):
                await asyncio.sleep(0)
            assert store.renewals == 4

    asyncio.run(scenario())


def test_short_outage_causes_no_calls_beside_the_usual_ones() -> None:
    async def scenario() -> None:
        store, clock = _Store(), ManualClock()
        registration = _registration(store, "new", clock=clock)
        async with _running(registration):
            await _wait_until(lambda: store.values)
            clock.advance(9_000)
            registration.notify_store_returned()
            for _ in range(100):
                await asyncio.sleep(0)
            assert store.renewals == 0

    asyncio.run(scenario())


def test_removed_entry_is_written_as_soon_as_the_removal_is_seen() -> None:
    async def scenario() -> None:
        store, view = _Store(), _view()
        registration = _registration(store, "new", view)
        async with _running(registration):
            await _wait_until(lambda: store.values)
            store.list_to(view)
            registration.notify_view_changed()
            await store.end_lease(1)
            store.revision += 1
            store.list_to(view)
            registration.notify_view_changed()
            await _wait_until(lambda: store.values)

    asyncio.run(scenario())
