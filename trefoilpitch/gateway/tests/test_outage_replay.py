"""Replays of outages of the store with the actual followers of a fleet.

Load pattern: the store goes away at any moment after a change, for any time.
Calls that are sent meanwhile are lost without a word. A configuration is
written as it comes back or soon after. Store, network and time are simulated.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import selectors
from collections.abc import Coroutine
from typing import Any

import pytest

from trefoilpitch.fleet import (
    FleetView,
    Item,
    ItemBatch,
    StoreUnavailableError,
)
from trefoilpitch.fleet.tests.fakes import InMemoryCodec, upstream
from trefoilpitch.gateway._follower import StoreFollower
from trefoilpitch.gateway._peers import (
    heartbeat_interval_ms,
    watch_wait_ms,
    watches_store,
)

_APPLY_MS = 2_000
_CHECK_INTERVAL_MS = 500
_LATENCY_MS = 4
_WATCH_MARGIN_MS = 500
_PEER_AHEAD_DELAY_MS = 250
_FETCH_JITTER_MS = 150
_SEEDS = 25
_MS_PER_S = 1_000


class _SimulatedSelector(selectors.SelectSelector):
    """Passes simulated time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        assert timeout is not None, "nothing is left to happen"
        self.now_s += max(0.0, timeout)
        return super().select(0)


class _SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop in simulated time."""

    def __init__(self) -> None:
        self._simulated = _SimulatedSelector()
        super().__init__(self._simulated)

    def time(self) -> float:
        return self._simulated.now_s


class _LoopClock:
    """The time of the running event loop."""

    def now_ms(self) -> int:
        return int(asyncio.get_running_loop().time() * _MS_PER_S)

    def wall_ms(self) -> int:
        return self.now_ms()


async def _sleep_ms(duration_ms: float) -> None:
    await asyncio.sleep(duration_ms / _MS_PER_S)


class _Store:
    """Loses the calls that are sent while it is away."""

    def __init__(self, *, keeps_watches: bool) -> None:
        self._keeps_watches = keeps_watches
        self._changed = asyncio.Event()
        self.items: dict[str, Item] = {}
        self.era = 0
        self.revision = 0
        self.away = False
        self.outages = 0
        self.calls = 0

    def put(self, item: Item) -> None:
        self.items[item.key] = item
        self.revision = item.revision
        self._changed.set()
        self._changed = asyncio.Event()

    async def read_all(self) -> ItemBatch:
        await self._receive(_LATENCY_MS + _WATCH_MARGIN_MS)
        return ItemBatch(
            items=tuple(self.items.values()),
            revision=self.revision,
            complete=True,
        )

    async def watch(self, after: int, wait_ms: int) -> ItemBatch:
        timeout_ms = wait_ms + _WATCH_MARGIN_MS
        await self._receive(timeout_ms)
        outages = self.outages
        try:
            async with asyncio.timeout(wait_ms / _MS_PER_S):
                while self.revision <= after:
                    await self._changed.wait()
        except TimeoutError:
            pass
        lost = self.outages != outages and not self._keeps_watches
        if self.away or lost:
            await _sleep_ms(_WATCH_MARGIN_MS)
            raise StoreUnavailableError("no response")
        items = [item for item in self.items.values() if item.revision > after]
        return ItemBatch(items=tuple(items), revision=self.revision)

    async def _receive(self, timeout_ms: float) -> None:
        self.calls += 1
        if self.away:
            await _sleep_ms(timeout_ms)
            raise StoreUnavailableError("no response")
        await _sleep_ms(_LATENCY_MS)


class _Daemon:
    """A follower with what connects it to its peers."""

    def __init__(
        self, name: str, store: _Store, fleet: dict[str, _Daemon], seed: int
    ) -> None:
        self._name = name
        self._fleet = fleet
        self._rng = random.Random(f"{seed} {name}")
        self._ahead: set[str] = set()
        self._peer_ahead = asyncio.Event()
        self.view = FleetView(InMemoryCodec(), lambda change: None)
        self.follower = StoreFollower(
            store,  # type: ignore[arg-type]
            self.view,
            _LoopClock(),
            self._rng,
            apply_ms=_APPLY_MS,
            should_watch=self._should_watch,
            watch_wait_ms=lambda in_step: watch_wait_ms(
                name,
                self._reachable(),
                interval_ms=_CHECK_INTERVAL_MS,
                in_step=in_step,
            ),
            fetch_from_peers=self._fetch_nothing,
            on_change=self.send_heartbeat,
        )

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self.follower.run())
            group.create_task(self._send_heartbeats())
            group.create_task(self._catch_up())

    def send_heartbeat(self) -> None:
        loop = asyncio.get_running_loop()
        for name, peer in self._fleet.items():
            if name != self._name:
                loop.call_later(
                    0.001,
                    peer.receive_heartbeat,
                    self._name,
                    self.view.revision,
                    self.follower.confirmed_age_ms,
                )

    def receive_heartbeat(
        self, name: str, revision: int, age_ms: int | None
    ) -> None:
        if age_ms is not None:
            self.follower.record_store_response(age_ms)
            if revision <= self.view.revision:
                self.follower.record_peer_confirmation(age_ms)
        if revision > self.view.revision:
            self._ahead.add(name)
            self._peer_ahead.set()

    def _reachable(self) -> list[str]:
        return [
            name
            for name, peer in self._fleet.items()
            if name != self._name and peer.follower.store_reachable
        ]

    def _should_watch(self) -> bool:
        return watches_store(self._name, self._reachable())

    async def _fetch_nothing(self) -> ItemBatch | None:
        return None

    async def _send_heartbeats(self) -> None:
        interval_ms = heartbeat_interval_ms(len(self._fleet))
        await _sleep_ms(interval_ms * self._rng.random())
        while True:
            self.send_heartbeat()
            await _sleep_ms(interval_ms)

    async def _catch_up(self) -> None:
        while True:
            await self._peer_ahead.wait()
            pause_ms: float = _PEER_AHEAD_DELAY_MS
            if not self._should_watch():
                pause_ms = _FETCH_JITTER_MS * self._rng.random()
            await _sleep_ms(pause_ms)
            peers = [self._fleet[name] for name in sorted(self._ahead)]
            self._ahead.clear()
            self._peer_ahead.clear()
            peer = self._rng.choice(peers)
            if peer.view.revision > self.view.revision:
                await _sleep_ms(_LATENCY_MS)
                batch = peer.view.changes_after(self.view.version)
                self.follower.apply_from_peer(batch, "peer")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Outage:
    """When the store goes away and what is written then, in milliseconds."""

    # Time from a change until the outage begins.
    after_change_ms: int
    length_ms: int
    # Time from its end until a configuration is written.
    until_write_ms: int
    # Whether watches that were received before it are responded to after it.
    keeps_watches: bool


def _outage(seed: int) -> _Outage:
    rng = random.Random(seed)
    return _Outage(
        after_change_ms=rng.choice(
            [rng.randint(0, 400), rng.randint(0, 6_000)]
        ),
        length_ms=rng.choice([rng.randint(50, 800), rng.randint(800, 9_000)]),
        until_write_ms=rng.choice([0, 0, rng.randint(0, 3_000)]),
        keeps_watches=rng.random() < 0.5,
    )


def _item(revision: int) -> Item:
    return InMemoryCodec().item("u", upstream(), revision)


async def _apply_time_ms(daemons: int, outage: _Outage, seed: int) -> int:
    """Returns how late the last daemon applies a change after an outage."""
    store = _Store(keeps_watches=outage.keeps_watches)
    store.put(_item(1))
    fleet: dict[str, _Daemon] = {}
    for number in range(daemons):
        name = f"vm-{number}"
        fleet[name] = _Daemon(name, store, fleet, seed)
    clock = _LoopClock()
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(daemon.run()) for daemon in fleet.values()]
        await _sleep_ms(5_000)
        store.put(_item(2))
        await _sleep_ms(outage.after_change_ms)
        store.away = True
        store.outages += 1
        await _sleep_ms(outage.length_ms)
        store.away = False
        await _sleep_ms(outage.until_write_ms)
        store.put(_item(3))
        written_ms = clock.now_ms()
        while any(daemon.view.revision < 3 for daemon in fleet.values()):
            late = clock.now_ms() - written_ms >= _APPLY_MS
            for daemon in fleet.values():
                if late and daemon.view.revision < 3:
                    assert not daemon.follower.is_current()
            await _sleep_ms(10)
        elapsed_ms = clock.now_ms() - written_ms
        for task in tasks:
            task.cancel()
    return elapsed_ms


def _run(main: Coroutine[Any, Any, int]) -> int:
    with asyncio.Runner(loop_factory=_SimulatedLoop) as runner:
        return runner.run(main)


@pytest.mark.parametrize("daemons", [1, 2, 6, 12])
def test_change_after_any_outage_takes_effect_in_time(daemons: int) -> None:
    late = {
        seed: elapsed_ms
        for seed in range(_SEEDS)
        if (elapsed_ms := _run(_apply_time_ms(daemons, _outage(seed), seed)))
        >= _APPLY_MS
    }
    assert late == {}
