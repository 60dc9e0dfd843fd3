"""Quarantines that are kept in the store."""

from __future__ import annotations

import asyncio

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import (
    Condition,
    Document,
    FleetView,
    ItemBatch,
    Member,
    StoreUnavailableError,
    Write,
)
from trefoilpitch.fleet.tests.fakes import (
    InMemoryCodec,
    configuration,
    upstream,
)
from trefoilpitch.gateway import CallerRequest, HttpRequest
from trefoilpitch.gateway._crash_evidence import CrashEvidence
from trefoilpitch.gateway._lost_evidence import LostEvidence
from trefoilpitch.gateway._quarantine import Quarantine
from trefoilpitch.gateway._quarantine_records import QuarantineRecords
from trefoilpitch.gateway._request_traits import RequestTraits, request_traits

_NAMES = ("vm-1", "vm-2", "vm-3")
_ENDED_MS = (9_000, 9_200, 9_400)


def _request(body: bytes) -> RequestTraits:
    http = HttpRequest(
        method=b"POST", target=b"/", headers=(), body=body, arrived_ms=0
    )
    request = CallerRequest(
        http=http,
        request_id="id",
        host="",
        path="/",
        api_key=None,
        wait_ms=None,
    )
    return request_traits(request, None)


_DEADLY = _request(b"deadly")
_SOUND = _request(b"sound")


class _Store:
    """Delivers each commit to all views at once."""

    def __init__(self) -> None:
        self.era = 0
        self.codec = InMemoryCodec()
        self.views: list[FleetView] = []
        self.leases: list[int] = []
        self.writes: list[Write] = []
        self.available = True

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
        self._check()
        self.writes.extend(writes)
        revision = len(self.writes)
        for write in writes:
            document = self.codec.decode(write.key, write.value)
            assert document is not None
            item = self.codec.item(write.key, document, revision)
            batch = ItemBatch(items=(item,), revision=revision)
            for view in self.views:
                view.apply(batch, 0)
        return revision

    async def grant_lease(self, ttl_ms: int) -> int:
        self._check()
        self.leases.append(ttl_ms)
        return len(self.leases)

    async def renew_lease(self, lease_id: int) -> None:
        raise NotImplementedError

    async def end_lease(self, lease_id: int) -> None:
        raise NotImplementedError

    def _check(self) -> None:
        if not self.available:
            raise StoreUnavailableError("away")


class _OtherClock(ManualClock):
    """The clock of a VM that started at another time."""

    def __init__(self, uptime_ms: int, reference: ManualClock) -> None:
        super().__init__(uptime_ms)
        self._reference = reference

    def wall_ms(self) -> int:
        return self._reference.wall_ms()


class _Daemon:
    def __init__(self, name: str, clock: ManualClock, store: _Store) -> None:
        peers = set(_NAMES) - {name}
        self._clock = clock
        self.view = FleetView(store.codec, lambda change: None)
        store.views.append(self.view)
        self.evidence = CrashEvidence()
        self.is_cautious = False
        self.quarantine = Quarantine(
            self.evidence,
            clock,
            own_name=name,
            live_peers=lambda: peers,
            is_cautious=lambda: self.is_cautious,
        )
        self.records = QuarantineRecords(
            self.quarantine,
            self.evidence,
            clock,
            view=self.view,
            store=store,
            codec=store.codec,
            own_name=name,
            live_peers=lambda: peers,
        )

    def see_endings(self, count: int = len(_ENDED_MS)) -> None:
        self.evidence.record_sound(_SOUND.digests, 1_000)
        for number, ended_ms in enumerate(_ENDED_MS[:count]):
            self.evidence.record_ending(
                number, _DEADLY.digests, ended_ms, responding=False
            )

    def refuses(self, request: RequestTraits) -> bool:
        return self.quarantine.refused_for_ms(request) is not None


def _synchronize(daemons: list[_Daemon], clock: ManualClock, ms: int) -> None:
    async def steps() -> None:
        for _ in range(0, ms, 500):
            for daemon in daemons:
                await daemon.records.synchronize()
            clock.advance(500)

    asyncio.run(steps())


def _fleet(
    endings: int = len(_ENDED_MS),
) -> tuple[ManualClock, _Store, list[_Daemon]]:
    """Returns three daemons of which each has seen the endings."""
    clock = ManualClock(10_000)
    store = _Store()
    daemons = [_Daemon(name, clock, store) for name in _NAMES]
    for daemon in daemons:
        daemon.see_endings(endings)
    return clock, store, daemons


def test_quarantine_is_written_once_and_expires_with_it() -> None:
    clock, store, daemons = _fleet()
    _synchronize(daemons, clock, 10_000)
    assert len(store.writes) == 1
    assert store.leases == [600_000]


@pytest.mark.parametrize("uptime_ms", [0, 60_000])
def test_daemon_that_starts_alone_adopts_stored_quarantines(
    uptime_ms: int,
) -> None:
    clock, store, daemons = _fleet()
    _synchronize(daemons, clock, 1_000)
    late_clock = _OtherClock(uptime_ms, clock)
    late = _Daemon("vm-4", late_clock, store)
    late.view.quarantines.update(daemons[0].view.quarantines)
    assert not late.refuses(_DEADLY)
    late.records.adopt()
    assert late.refuses(_DEADLY)
    assert not late.refuses(_SOUND)


def test_another_daemon_writes_if_the_first_one_cannot() -> None:
    clock, store, daemons = _fleet()
    store.available = False
    _synchronize(daemons, clock, 500)
    store.available = True
    # The daemon whose turn it was tries again later.
    _synchronize(daemons, clock, 2_000)
    assert len(store.writes) == 1


def test_record_is_written_again_after_another_ending() -> None:
    clock, store, daemons = _fleet()
    _synchronize(daemons, clock, 10_000)
    for daemon in daemons:
        daemon.evidence.record_ending(
            7, _DEADLY.digests, clock.now_ms(), responding=False
        )
    clock.advance(1_000)
    _synchronize(daemons, clock, 10_000)
    assert len(store.writes) == 2
    (record,) = daemons[0].view.quarantines.values()
    assert len(record.endings) == 4


def test_sound_response_outweighs_a_stored_quarantine() -> None:
    clock, store, daemons = _fleet()
    _synchronize(daemons, clock, 1_000)
    late = _Daemon("vm-4", clock, store)
    late.view.quarantines.update(daemons[0].view.quarantines)
    late.evidence.record_sound(_DEADLY.digests, clock.now_ms())
    late.records.adopt()
    assert not late.refuses(_DEADLY)


def test_second_ending_is_stored_so_that_the_third_one_suffices() -> None:
    """All daemons are killed before the request ends a third upstream."""
    clock, store, daemons = _fleet(endings=2)
    _synchronize(daemons, clock, 1_000)
    assert len(store.writes) == 1
    late = _Daemon("vm-4", clock, store)
    late.view.quarantines.update(daemons[0].view.quarantines)
    late.evidence.record_sound(_SOUND.digests, clock.now_ms())
    late.records.adopt()
    assert not late.refuses(_DEADLY)
    late.evidence.record_ending(
        7, _DEADLY.digests, clock.now_ms(), responding=False
    )
    clock.advance(500)
    assert late.refuses(_DEADLY)
    assert not late.refuses(_SOUND)


def test_sound_request_that_was_cut_off_with_it_is_not_stored_for_long() -> (
    None
):
    clock, store, daemons = _fleet(endings=2)
    for daemon in daemons:
        daemon.evidence.record_sound(_DEADLY.digests, clock.now_ms())
    _synchronize(daemons, clock, 1_000)
    assert store.writes == []


def test_records_are_written_as_soon_as_the_store_is_back() -> None:
    clock, store, daemons = _fleet()
    store.available = False
    _synchronize(daemons[:1], clock, 5_000)
    store.available = True
    for daemon in daemons:
        daemon.records.notify_store_returned()
    _synchronize(daemons, clock, 500)
    assert len(store.writes) == 1


def test_cautious_daemon_refuses_after_two_endings_for_a_while() -> None:
    """Evidence may have been lost with the daemons that had it."""
    clock = ManualClock(10_000)
    store = _Store()
    usual, cautious = (_Daemon(name, clock, store) for name in _NAMES[:2])
    cautious.is_cautious = True
    for daemon in (usual, cautious):
        daemon.see_endings(2)
    assert not usual.refuses(_DEADLY)
    assert cautious.refuses(_DEADLY)
    assert not cautious.refuses(_SOUND)
    clock.advance(119_000)
    assert cautious.refuses(_DEADLY)


@pytest.mark.parametrize(
    ("in_outage", "former", "started_wall_ms", "cautious"),
    [
        (False, "start-1", [0, 200_000], False),
        (False, "start-1", [100_000, 200_000], False),
        (True, "start-1", [100_000, 200_000], True),
        # A power loss may have ended them, or a request.
        (False, "start-1", [150_000, 200_000], True),
        # The whole site has just started.
        (False, "start-2", [150_000, 200_000], False),
        (False, "start-1", [], False),
    ],
)
def test_daemon_is_cautious_if_others_may_have_known_more(
    in_outage: bool, former: str, started_wall_ms: list[int], cautious: bool
) -> None:
    clock = ManualClock(200_000)
    codec = InMemoryCodec()
    view = FleetView(codec, lambda change: None)
    lost = LostEvidence(
        view,
        clock,
        lambda: in_outage,
        own_name="vm-1",
        incarnation="start-2",
    )
    documents: dict[str, Document] = {
        f"u{number}": upstream(
            f"u{number}", port=number, started_wall_ms=wall_ms
        )
        for number, wall_ms in enumerate(started_wall_ms)
    }
    documents["config"] = configuration()
    documents["vm-1"] = Member(
        name="vm-1",
        incarnation=former,
        caller_address="10.0.0.1:80",
        peer_host="10.0.0.1",
        peer_port=81,
        heartbeat_port=82,
        failure_domain="zone-a",
    )
    items = tuple(codec.item(k, d, 1) for k, d in documents.items())
    view.load(ItemBatch(items=items, revision=1), 0)
    lost.record_view()
    assert lost.is_likely() is cautious
    clock.advance(600_000)
    assert not lost.is_likely()
