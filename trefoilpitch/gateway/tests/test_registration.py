"""A daemon's registration while responses of the store are lost."""

from __future__ import annotations

import asyncio

import pytest

from trefoilpitch.fleet import (
    Condition,
    FleetStore,
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
        # Whether writes get no response and are executed by `execute_late`.
        self.delays_writes = False
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
                self.entries[write.key] = write

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
        if self.delays_writes:
            self._late.extend(writes)
            raise StoreUnavailableError("no response")
        for write in writes:
            if write.lease_id not in self.leases:
                raise LeaseLostError
            self.entries[write.key] = write
        for key in removals:
            self.entries.pop(key, None)
        return 1

    async def grant_lease(self, ttl_ms: int) -> int:
        self.granted += 1
        self.leases.add(self.granted)
        return self.granted

    async def renew_lease(self, lease_id: int) -> None:
        if lease_id not in self.leases:
            raise LeaseLostError

    async def end_lease(self, lease_id: int) -> None:
        self.leases.discard(lease_id)
        for key, write in list(self.entries.items()):
            if write.lease_id == lease_id:
                del self.entries[key]


def _registration(store: FleetStore, incarnation: str) -> Registration:
    return Registration(store, PlatformDocuments(), _member(incarnation))


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
