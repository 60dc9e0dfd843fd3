"""A simulated fleet with less capacity than its callers ask for.

The daemons use the actual dispatcher and waiter on an event loop whose time is
a `ManualClock`; upstreams, callers and heartbeats are simulated. Run as a
module, it prints the figures of all loads.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import heapq
import itertools
import math
import random
import selectors
import sys
from collections import Counter, deque
from collections.abc import Callable, Iterable

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import FleetView, Item, ItemBatch, UpstreamEntry
from trefoilpitch.fleet.tests.fakes import (
    InMemoryCodec,
    configuration,
    upstream,
)
from trefoilpitch.gateway import (
    CallerRequest,
    HttpRequest,
    LoadReport,
    PrefixPart,
)
from trefoilpitch.gateway._admission_control import AdmissionControl
from trefoilpitch.gateway._dispatcher import Dispatcher, NoUpstream
from trefoilpitch.gateway._health import ExpectedLatencies
from trefoilpitch.gateway._peers import heartbeat_interval_ms
from trefoilpitch.gateway._refusals import RETRY_SOON_MS
from trefoilpitch.gateway._service_load import ServiceLoads
from trefoilpitch.gateway._upstream_waiter import UpstreamWaiter
from trefoilpitch.gateway._waiting import WaitTerms
from trefoilpitch.metrics import Metrics

_SERVICE = "s"
_SLOTS = 16
_QUEUE = 48
_LOST_DATAGRAMS = 0.03
_ATTEMPTS = 5
_WORKSPACES = 10
# Work of a request: the bounds of a log-uniform distribution, its mean, and the
# largest tenth.
_MIN_WORK_MS, _MAX_WORK_MS = 150.0, 1_500.0
_MEAN_WORK_MS = (_MAX_WORK_MS - _MIN_WORK_MS) / math.log(10.0)
_LARGE_WORK_MS = _MIN_WORK_MS * 10**0.9
# Callers come back after at most this part of their time left.
_MAX_RETURN_SHARE = 1 / 3
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """Requests of one route."""

    priority: int
    # Share of the traffic.
    share: float
    # Time to the first event that callers expect, and their deadline.
    target_ms: int
    deadline_ms: int
    # Part of the work before the first event.
    first_event_share: float = 0.25


KINDS = (
    Kind(priority=0, share=0.3, target_ms=2_000, deadline_ms=15_000),
    Kind(priority=1, share=0.4, target_ms=2_000, deadline_ms=12_000),
    Kind(
        priority=2,
        share=0.3,
        target_ms=4_000,
        deadline_ms=4_000,
        first_event_share=1.0,
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ScarceLoad:
    """The traffic of a replay."""

    name: str
    # Mean traffic relative to the capacity; the amplitude and period of waves.
    mean: float = 0.7
    amplitude: float = 0.0
    period_ms: int = 15_000
    # When something happens, and by which factor one kind, or one of the
    # workspaces, sends more in that time.
    event_ms: tuple[int, int] = (8_000, 14_000)
    kind_factor: float = 1.0
    workspace_factor: float = 1.0
    # Share of the traffic with the same prefix in that time.
    hot: float = 0.0
    # Share of the upstreams that are gone in that time, and whether the store
    # says so.
    lost: float = 0.0
    store: bool = True
    # Whether callers ignore `Retry-After` and retry up to three times.
    impatient: bool = False
    end_ms: int = 30_000
    daemons: int = 8
    upstreams: int = 6

    def level(self, now_ms: float) -> float:
        """Returns the usual traffic at a time, relative to the capacity."""
        phase = math.tau * now_ms / self.period_ms
        return self.mean * (1.0 + self.amplitude * math.sin(phase))

    def in_event(self, now_ms: float) -> bool:
        """Returns whether it is the time of the event."""
        return self.event_ms[0] <= now_ms < self.event_ms[1]


LOADS = (
    ScarceLoad(name="even", mean=0.7),
    ScarceLoad(name="wave-0.7", mean=0.7, amplitude=0.55),
    ScarceLoad(name="wave-0.9", mean=0.9, amplitude=0.55),
    ScarceLoad(name="wave-1.1", mean=1.1, amplitude=0.55),
    ScarceLoad(name="burst-of-a-kind", mean=0.9, kind_factor=2.5),
    ScarceLoad(name="hot-workspace", mean=0.8, workspace_factor=7.5),
    ScarceLoad(name="hot-key", mean=0.9, amplitude=0.55, hot=0.4),
    ScarceLoad(
        name="impatient-callers", mean=1.1, amplitude=0.55, impatient=True
    ),
    ScarceLoad(name="half-lost", lost=0.5, event_ms=(8_000, 13_000)),
    ScarceLoad(
        name="half-lost-without-store",
        lost=0.5,
        event_ms=(8_000, 13_000),
        store=False,
    ),
)


class Outcome(enum.Enum):
    """What became of a caller's request, over all of its attempts."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    # It ended at its deadline.
    EXPIRED = "expired"


@dataclasses.dataclass(kw_only=True)
class Call:
    """A caller's request."""

    kind: Kind
    workspace: int
    work_ms: float
    arrived_ms: int
    request: CallerRequest
    outcome: Outcome = Outcome.EXPIRED
    first_event_ms: int | None = None
    # Time from the arrival of an attempt until its refusal.
    refused_after_ms: list[int] = dataclasses.field(default_factory=list)

    @property
    def large(self) -> bool:
        """Whether it is among the largest tenth."""
        return self.work_ms >= _LARGE_WORK_MS


class _SkippingSelector(selectors.SelectSelector):
    """Advances a clock in place of waiting."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "nothing is scheduled"
        self._clock.advance(max(0, math.ceil(timeout * _MS_PER_S - 1e-6)))
        return []


class _ManualLoop(asyncio.SelectorEventLoop):
    def __init__(self, clock: ManualClock) -> None:
        super().__init__(_SkippingSelector(clock))
        self._manual_clock = clock

    def time(self) -> float:
        return self._manual_clock.now_ms() / _MS_PER_S


class _NotRunError(Exception):
    """An upstream had no room, or was gone."""


class _Upstream:
    def __init__(self, entry: UpstreamEntry) -> None:
        self.entry = entry
        self.running = 0
        self.queue: deque[asyncio.Future[None]] = deque()
        self.gone = False
        # In the order of their start.
        self.tasks: dict[asyncio.Task[None], None] = {}

    @property
    def report(self) -> LoadReport:
        return LoadReport(
            running=self.running, waiting=len(self.queue), slots=_SLOTS
        )

    async def run(self, call: Call, on_event: Callable[[], None]) -> None:
        await self._take_slot()
        try:
            share = call.kind.first_event_share
            await asyncio.sleep(call.work_ms * share / _MS_PER_S)
            on_event()
            rest = 1.0 - share
            await asyncio.sleep(call.work_ms * rest / _MS_PER_S)
        finally:
            self._release_slot()

    async def _take_slot(self) -> None:
        if self.running < _SLOTS:
            self.running += 1
            return
        if len(self.queue) >= _QUEUE:
            raise _NotRunError
        granted = asyncio.get_running_loop().create_future()
        self.queue.append(granted)
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self._release_slot()
            raise

    def _release_slot(self) -> None:
        while self.queue:
            granted = self.queue.popleft()
            if not granted.done():
                granted.set_result(None)
                return
        self.running -= 1


class _Daemon:
    def __init__(self, fleet: ScarceFleet, number: int) -> None:
        self._fleet = fleet
        self._number = number
        self.heard: Counter[int] = Counter()
        self.last: dict[int, dict[int, int]] = {}
        names = frozenset(f"vm-{n}" for n in range(fleet.load.daemons))
        self.dispatcher = Dispatcher(
            fleet.view,
            fleet.clock,
            random.Random(f"{fleet.seed}-{number}"),
            own_name=f"vm-{number}",
            failure_domain=f"domain-{number % 3}",
            members=lambda: names,
            peers_in_flight=lambda: self.heard,
        )
        # Demand of the peers as of their last heartbeats.
        self.demands: dict[int, int] = {}
        self.loads = ServiceLoads(
            fleet.view,
            self.dispatcher,
            fleet.clock,
            lambda service: self.demands.values(),
        )
        self.waiter = UpstreamWaiter(
            fleet.clock,
            AdmissionControl(
                self.loads,
                fleet.clock,
                random.Random(f"{fleet.seed}/{number}"),
                Metrics(),
            ),
        )
        self.latencies = ExpectedLatencies()

    async def serve(self, call: Call, left_ms: int) -> int | None:
        """Serves an attempt of a caller, as `RequestRun` does.

        Returns:
            `Retry-After` if it is refused; None if it is served.
        """
        excess = self.waiter.record_arrival(
            _SERVICE, call.kind.priority, f"w{call.workspace}"
        )
        sent_ms = self._fleet.clock.now_ms()
        for _ in range(_ATTEMPTS):
            found = await self._find(call, sent_ms, left_ms, excess=excess)
            if isinstance(found, NoUpstream):
                return max(RETRY_SOON_MS, found.available_in_ms or 0)
            if await self._run(call, found):
                return None
        return RETRY_SOON_MS

    async def _find(
        self, call: Call, sent_ms: int, left_ms: int, *, excess: bool
    ) -> UpstreamEntry | NoUpstream:
        key = f"p{call.kind.priority}"
        need_ms = int(self.latencies.expected_ms(key, default_ms=0.0))
        until_ms = sent_ms + left_ms - 2 * need_ms
        return await self.waiter.wait(
            _SERVICE,
            lambda: self.dispatcher.choose(
                call.request, _SERVICE, model=None, excluded=()
            ),
            WaitTerms(
                priority=call.kind.priority,
                workspace=f"w{call.workspace}",
                until_ms=until_ms,
                due_ms=min(until_ms, sent_ms + call.kind.target_ms - need_ms),
                since_ms=sent_ms,
                review_ms=self._fleet.clock.now_ms() + call.kind.target_ms // 8,
                excess=excess,
                subject=call.request.prefix[0].part_id,
                group="same",
            ),
        )

    async def _run(self, call: Call, entry: UpstreamEntry) -> bool:
        target = self._fleet.upstreams[entry.upstream_id]
        health = self.dispatcher.health(entry.upstream_id)
        clock = self._fleet.clock
        sent_ms = clock.now_ms()

        def on_event() -> None:
            call.first_event_ms = clock.now_ms() - call.arrived_ms
            health.record_success(None, clock.now_ms())
            self.latencies.record(
                f"p{call.kind.priority}", clock.now_ms() - sent_ms
            )
            self.dispatcher.record_load(entry, target.report)

        health.in_flight += 1
        task = asyncio.ensure_future(target.run(call, on_event))
        target.tasks[task] = None
        try:
            if target.gone:
                task.cancel()
            await task
            self.waiter.record_completion(_SERVICE, clock.now_ms() - sent_ms)
        except _NotRunError:
            self.dispatcher.record_load(entry, target.report)
            return False
        except asyncio.CancelledError:
            if not target.gone:
                raise
            call.first_event_ms = None
            health.record_failure(clock.now_ms(), unreachable=True)
            return False
        finally:
            del target.tasks[task]
            health.in_flight -= 1
            self.waiter.offer_places(_SERVICE)
        return True

    async def beat(self) -> None:
        interval_ms = heartbeat_interval_ms(self._fleet.load.daemons)
        rng = self._fleet.rng
        await asyncio.sleep(rng.uniform(0, interval_ms) / _MS_PER_S)
        while True:
            published = self.dispatcher.own_in_flight()
            demand = self.loads.own_in_flight(_SERVICE)
            demand += self.waiter.waiting().get(_SERVICE, 0)
            for peer in self._fleet.daemons:
                if peer is not self and rng.random() > _LOST_DATAGRAMS:
                    peer.heard.subtract(peer.last.get(self._number, {}))
                    peer.heard.update(published)
                    peer.last[self._number] = published
                    peer.demands[self._number] = demand
            await asyncio.sleep(interval_ms / _MS_PER_S)


class ScarceFleet:
    """Plays a load on a fleet.

    Args:
        load: The traffic.
        seed: Determines all that happens.
    """

    def __init__(self, load: ScarceLoad, seed: int = 1) -> None:
        self.load = load
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = ManualClock(0)
        self.calls: list[Call] = []
        # Refusals while under half of the slots were taken and nothing waited
        # at an upstream.
        self.needless_refusals = 0
        self._codec = InMemoryCodec()
        self.view = FleetView(self._codec, lambda change: None)
        self._revisions = itertools.count(1)
        self._put("config", configuration())
        self.upstreams: dict[str, _Upstream] = {}
        for number in range(load.upstreams):
            entry = upstream(
                f"u{number}",
                slots=_SLOTS,
                failure_domain=f"domain-{number % 3}",
            )
            self.upstreams[entry.upstream_id] = _Upstream(entry)
            self._put(entry.upstream_id, entry)
        self.daemons = [_Daemon(self, n) for n in range(load.daemons)]

    @property
    def slots(self) -> int:
        """Slots of all upstreams."""
        return self.load.upstreams * _SLOTS

    def play(self) -> ScarceFleet:
        """Plays the load until its end."""
        with asyncio.Runner(
            loop_factory=lambda: _ManualLoop(self.clock)
        ) as runner:
            runner.run(self._play())
        return self

    def count(
        self, *outcomes: Outcome, of: Callable[[Call], bool] | None = None
    ) -> float:
        """Returns the share of the calls, or of some, that ended so."""
        calls = [c for c in self.calls if of is None or of(c)]
        ended = sum(call.outcome in outcomes for call in calls)
        return ended / max(1, len(calls))

    @property
    def value(self) -> float:
        """Mean value of a call, where a late response counts less."""
        return self.count(Outcome.IN_TIME) + 0.3 * self.count(Outcome.LATE)

    @property
    def late_refusals(self) -> float:
        """Refusals after an eighth of the objective, per call."""
        late = [
            after_ms > call.kind.target_ms / 8
            for call in self.calls
            for after_ms in call.refused_after_ms
        ]
        return sum(late) / max(1, len(self.calls))

    def planned(self) -> float:
        """Returns the share of calls in time by a plan that knows them all.

        Slots can be divided at will. In the order of their due times, calls are
        added to the plan; where one would be late, the largest one since the
        slots were last idle is left out.
        """
        end = 0.0
        left_out = 0
        block: list[float] = []
        for call in sorted(self.calls, key=_due_ms):
            start = self._capacity_until(call.arrived_ms)
            if end < start:
                end = start
                block = []
            heapq.heappush(block, -call.work_ms)
            end += call.work_ms
            if end > self._capacity_until(_due_ms(call)):
                end += heapq.heappop(block)
                left_out += 1
        return 1.0 - left_out / max(1, len(self.calls))

    def _capacity_until(self, time_ms: float) -> float:
        """Returns what the slots can do until a time, in ms of one slot."""
        start_ms, end_ms = self.load.event_ms
        lost_ms = min(max(0.0, time_ms - start_ms), end_ms - start_ms)
        return self.slots * (time_ms - self.load.lost * lost_ms)

    def _put(self, key: str, document: UpstreamEntry | object) -> None:
        revision = next(self._revisions)
        item = self._codec.item(key, document, revision)  # type: ignore[arg-type]
        batch = ItemBatch(items=(item,), revision=revision)
        self.view.apply(batch, self.clock.now_ms())

    def _remove(self, key: str) -> None:
        revision = next(self._revisions)
        item = Item(key=key, value=None, revision=revision)
        batch = ItemBatch(items=(item,), revision=revision)
        self.view.apply(batch, self.clock.now_ms())

    async def _play(self) -> None:
        async with asyncio.TaskGroup() as calls:
            background = [
                asyncio.create_task(daemon.beat()) for daemon in self.daemons
            ]
            background.append(asyncio.create_task(self._lose_upstreams()))
            while self.clock.now_ms() < self.load.end_ms:
                for call in self._arrivals():
                    self.calls.append(call)
                    calls.create_task(self._call(call))
                await asyncio.sleep(1 / _MS_PER_S)
        for task in background:
            task.cancel()

    async def _lose_upstreams(self) -> None:
        lost = list(self.upstreams.values())
        lost = lost[: round(self.load.lost * len(lost))]
        start_ms, end_ms = self.load.event_ms
        await asyncio.sleep(start_ms / _MS_PER_S)
        for target in lost:
            target.gone = True
            for task in list(target.tasks):
                task.cancel()
            if self.load.store:
                self._remove(target.entry.upstream_id)
        await asyncio.sleep((end_ms - start_ms) / _MS_PER_S)
        for target in lost:
            target.gone = False
            if self.load.store:
                self._put(target.entry.upstream_id, target.entry)

    def _arrivals(self) -> Iterable[Call]:
        """Draws the calls that arrive in this millisecond."""
        load, now_ms = self.load, self.clock.now_ms()
        per_ms = load.level(now_ms) * self.slots / _MEAN_WORK_MS
        event = load.in_event(now_ms)
        for kind in KINDS:
            for workspace in range(_WORKSPACES):
                rate = per_ms * kind.share / _WORKSPACES
                if event and kind.priority == 1:
                    rate *= load.kind_factor
                if event and workspace == 0:
                    rate *= load.workspace_factor
                if self.rng.random() < rate:
                    yield self._draw(kind, workspace, hot=event)

    def _draw(self, kind: Kind, workspace: int, *, hot: bool) -> Call:
        number = len(self.calls)
        shared = hot and self.rng.random() < self.load.hot
        prefix = (
            PrefixPart(part_id="hot" if shared else f"p{number}", tokens=500),
            PrefixPart(part_id=f"own{number}", tokens=100),
        )
        now_ms = self.clock.now_ms()
        http = HttpRequest(
            method=b"GET",
            target=b"/a/x",
            headers=(),
            body=b"",
            arrived_ms=now_ms,
        )
        ratio = _MAX_WORK_MS / _MIN_WORK_MS
        return Call(
            kind=kind,
            workspace=workspace,
            work_ms=_MIN_WORK_MS * ratio ** self.rng.random(),
            arrived_ms=now_ms,
            request=CallerRequest(
                http=http,
                request_id=f"id-{number}",
                host="host.example",
                path="/a/x",
                api_key="key",
                wait_ms=kind.deadline_ms,
                prefix=prefix,
            ),
        )

    async def _call(self, call: Call) -> None:
        deadline_ms = call.arrived_ms + call.kind.deadline_ms
        try:
            async with asyncio.timeout(call.kind.deadline_ms / _MS_PER_S):
                await self._attempt(call, deadline_ms)
        except TimeoutError:
            call.outcome = Outcome.EXPIRED

    async def _attempt(self, call: Call, deadline_ms: int) -> None:
        for returns in range(3, -1, -1):
            sent_ms = self.clock.now_ms()
            left_ms = deadline_ms - sent_ms
            daemon = self.rng.choice(self.daemons)
            retry_ms = await daemon.serve(call, left_ms)
            now_ms = self.clock.now_ms()
            if retry_ms is None:
                in_time = (call.first_event_ms or 0) <= call.kind.target_ms
                call.outcome = Outcome.IN_TIME if in_time else Outcome.LATE
                return
            call.outcome = Outcome.REFUSED
            call.refused_after_ms.append(now_ms - sent_ms)
            self._check_refusal()
            if self.load.impatient:
                retry_ms = 1
            elif returns < 3 or retry_ms > _MAX_RETURN_SHARE * (
                deadline_ms - now_ms
            ):
                return
            await asyncio.sleep(retry_ms / _MS_PER_S)

    def _check_refusal(self) -> None:
        sound = [u for u in self.upstreams.values() if not u.gone]
        running = sum(u.running for u in sound)
        if 2 * running < _SLOTS * len(sound) and not any(
            u.queue for u in sound
        ):
            self.needless_refusals += 1


def _due_ms(call: Call) -> float:
    """Returns when a call must end for its first event to be in time."""
    rest_ms = (1.0 - call.kind.first_event_share) * call.work_ms
    return call.arrived_ms + call.kind.target_ms + rest_ms


def describe(fleet: ScarceFleet) -> str:
    """Returns a line with the figures of a replay."""
    parts = [
        f"{fleet.load.name:24} calls {len(fleet.calls)}"
        f" value {fleet.value:.3f} plan {fleet.planned():.3f}"
    ]
    parts += [f"{o.value} {fleet.count(o):.3f}" for o in Outcome]
    served = (Outcome.IN_TIME, Outcome.LATE)
    for kind in KINDS:
        of = [c for c in fleet.calls if c.kind is kind]
        in_time = sum(c.outcome is Outcome.IN_TIME for c in of) / len(of)
        all_served = sum(c.outcome in served for c in of) / len(of)
        parts.append(f"p{kind.priority} {in_time:.3f}/{all_served:.3f}")
    large = fleet.count(*served, of=lambda c: c.large)
    hot = fleet.count(*served, of=lambda c: c.workspace == 0)
    others = fleet.count(*served, of=lambda c: c.workspace != 0)
    parts.append(f"large {large:.3f} w0 {hot:.3f} others {others:.3f}")
    parts.append(f"late refusals {fleet.late_refusals:.3f}")
    parts.append(f"needless {fleet.needless_refusals}")
    return "; ".join(parts)


def main() -> None:
    """Prints the figures; arguments are the daemons and upstreams."""
    sizes = [int(argument) for argument in sys.argv[1:3]] or [8, 6]
    for load in LOADS:
        sized = dataclasses.replace(load, daemons=sizes[0], upstreams=sizes[1])
        print(describe(ScarceFleet(sized).play()), flush=True)


if __name__ == "__main__":
    main()
