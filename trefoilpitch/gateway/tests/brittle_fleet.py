"""A simulated fleet whose upstreams fall over when they reject too much.

The daemons use the actual dispatcher; upstreams, requests and heartbeats are
simulated in steps of a millisecond.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable

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
from trefoilpitch.gateway._dispatcher import Dispatcher
from trefoilpitch.gateway._peers import heartbeat_interval_ms

_LOST_DATAGRAMS = 0.03
_ONE_WAY_MS = 1
# Attempts of a request that was rejected, how long it waits for a place, how
# often it looks for one, and when its caller comes back, once.
_ATTEMPTS = 5
_WAIT_MS = 120
_LOOK_MS = 20
_RETURN_MS = 400
# How long a fallen upstream is gone.
_DOWN_MS = 3_000
_SECOND_MS = 1_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class BrittleLoad:
    """The traffic and the upstreams of a play."""

    name: str
    daemons: int
    upstreams: int
    slots: int
    # Requests that wait at an upstream, before and after it becomes brittle.
    queue: int
    short_queue: int
    # Rejections in a second that an upstream withstands.
    limit: int
    # Fraction of the slots that the upstreams' memory is enough for.
    memory: float = 1.0
    # Mean time that a request runs.
    mean_ms: float = 400.0
    # Traffic relative to what the upstreams can run, before and in the burst.
    usual: float = 0.6
    burst: float = 1.5
    # Share of the upstreams that are brittle.
    brittle_share: float = 1.0
    # Share of the requests with the same prefix.
    hot: float = 0.0
    # Share of the daemons that get all requests.
    busy_daemons: float = 1.0
    # When the upstreams announce it, when they let fewer wait, and the burst.
    announced_ms: int = 500
    shrunk_ms: int = 3_500
    burst_ms: tuple[int, int] = (4_000, 7_000)
    end_ms: int = 9_000

    @property
    def permitted_falls(self) -> float:
        """Falls in one time in which the upstreams are brittle."""
        return 2 + self.upstreams / 10


@dataclasses.dataclass(slots=True)
class _Upstream:
    entry: UpstreamEntry
    brittle: bool
    running: int = 0
    waiting: deque[Callable[[], None]] = dataclasses.field(
        default_factory=deque
    )
    rejected_ms: deque[int] = dataclasses.field(default_factory=deque)
    down: bool = False


@dataclasses.dataclass(slots=True)
class SimulatedRequest:
    """A caller's request on its way."""

    request: CallerRequest
    daemon: int
    arrived_ms: int
    attempts: int = 0
    returned: bool = False
    # Whether it counts as waiting at its daemon.
    waiting: bool = False


class BrittleFleet:
    """Plays a load on a fleet.

    Args:
        load: The traffic and the upstreams.
        seed: Determines all that happens.
        falls: Whether upstreams fall over, and announce that.
    """

    def __init__(
        self, load: BrittleLoad, seed: int, *, falls: bool = True
    ) -> None:
        self._load = load
        self._falls = falls
        self._rng = random.Random(seed)
        self._clock = ManualClock(0)
        self._codec = InMemoryCodec()
        self._view = FleetView(self._codec, lambda change: None)
        self._revision = 0
        self._numbers = itertools.count()
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._upstreams: dict[str, _Upstream] = {}
        self.arrived = 0
        self.served = 0
        self.rejected = 0
        # Times at which upstreams fell over.
        self.fallen_ms: list[int] = []
        self._put("config", configuration())
        for number in range(load.upstreams):
            self._start(brittle=number < load.brittle_share * load.upstreams)
        names = [f"vm-{number}" for number in range(load.daemons)]
        members = frozenset(names)
        self._published: list[dict[int, int]] = [{} for _ in names]
        self._heard: list[Counter[int]] = [Counter() for _ in names]
        self._last: list[list[dict[int, int]]] = [
            [{} for _ in names] for _ in names
        ]
        # Requests that wait for a place, and the demands in heartbeats.
        self._waiting = [0 for _ in names]
        self._demands: list[dict[str, int]] = [{} for _ in names]
        self._dispatchers = [
            Dispatcher(
                self._view,
                self._clock,
                random.Random(f"{seed}-{name}"),
                own_name=name,
                failure_domain=f"domain-{number % 3}",
                members=lambda: members,
                peers_in_flight=self._in_flight_heard_by(number),
                peers_demand=self._demand_heard_by(number),
                waiting=self._waiting_at(number),
            )
            for number, name in enumerate(names)
        ]

    def play(self) -> None:
        """Plays the load until its end."""
        load = self._load
        interval_ms = heartbeat_interval_ms(load.daemons)
        for number in range(load.daemons):
            self._after(self._rng.uniform(0, interval_ms), self._beats(number))
        self._after(0, self._arrive)
        while self._queue[0][0] <= load.end_ms:
            time_ms, _, action = heapq.heappop(self._queue)
            self._clock.advance(time_ms - self._clock.now_ms())
            action()

    def _in_flight_heard_by(self, number: int) -> Callable[[], Counter[int]]:
        return lambda: self._heard[number]

    def _demand_heard_by(self, number: int) -> Callable[[str], dict[str, int]]:
        return lambda service: self._demands[number]

    def _waiting_at(self, number: int) -> Callable[[], dict[str, int]]:
        return lambda: {"s": self._waiting[number]}

    def _put(self, key: str, document: object) -> None:
        self._revision += 1
        item = self._codec.item(key, document, self._revision)  # type: ignore[arg-type]
        batch = ItemBatch(items=(item,), revision=self._revision)
        self._view.apply(batch, self._clock.now_ms())

    def _after(self, delay_ms: float, action: Callable[[], None]) -> None:
        time_ms = self._clock.now_ms() + int(delay_ms)
        heapq.heappush(self._queue, (time_ms, next(self._numbers), action))

    def _start(self, *, brittle: bool) -> None:
        number = next(self._numbers)
        entry = upstream(
            f"u{number}",
            slots=self._load.slots,
            failure_domain=f"domain-{number % 3}",
        )
        self._upstreams[entry.upstream_id] = _Upstream(entry, brittle)
        self._put(entry.upstream_id, entry)

    def _beats(self, number: int) -> Callable[[], None]:
        def beat() -> None:
            published = self._dispatchers[number].own_in_flight()
            demand = self._dispatchers[number].report_demand().get("s", 0)
            for other in range(self._load.daemons):
                if other != number and self._rng.random() > _LOST_DATAGRAMS:
                    heard = self._heard[other]
                    heard.subtract(self._last[other][number])
                    heard.update(published)
                    self._last[other][number] = published
                    self._demands[other][f"vm-{number}"] = demand
                    self._share_limits(number, other)
            self._after(heartbeat_interval_ms(self._load.daemons), beat)

        return beat

    def _share_limits(self, number: int, other: int) -> None:
        self._dispatchers[other].rejection_limits.adopt(
            self._dispatchers[number].rejection_limits.announced()
        )
        self._dispatchers[other].rate_limits.adopt(
            self._dispatchers[number].rate_limits.reports()
        )

    def _arrive(self) -> None:
        load = self._load
        now_ms = self._clock.now_ms()
        start_ms, end_ms = load.burst_ms
        level = load.burst if start_ms <= now_ms < end_ms else load.usual
        slots = load.memory * load.upstreams * load.slots
        per_ms = level * slots / load.mean_ms
        self._after(max(1.0, self._rng.expovariate(per_ms)), self._arrive)
        # Several requests in the same millisecond.
        for _ in range(max(1, round(per_ms))):
            self._send_new()

    def _send_new(self) -> None:
        number = next(self._numbers)
        hot = self._rng.random() < self._load.hot
        prefix = (
            PrefixPart(part_id="hot" if hot else f"p{number}", tokens=500),
            PrefixPart(part_id=f"own{number}", tokens=100),
        )
        http = HttpRequest(
            method=b"GET", target=b"/a/x", headers=(), body=b"", arrived_ms=0
        )
        request = CallerRequest(
            http=http,
            request_id=f"id-{number}",
            host="host.example",
            path="/a/x",
            api_key="key",
            wait_ms=1_000,
            prefix=prefix,
        )
        daemons = max(1, round(self._load.busy_daemons * self._load.daemons))
        self.arrived += 1
        self._try(
            SimulatedRequest(
                request, self._rng.randrange(daemons), self._clock.now_ms()
            )
        )

    def _try(self, request: SimulatedRequest) -> None:
        dispatcher = self._dispatchers[request.daemon]
        found = dispatcher.choose(request.request, "s", model=None, excluded=())
        waited_ms = self._clock.now_ms() - request.arrived_ms
        self._set_waiting(
            request,
            waiting=not isinstance(found, UpstreamEntry)
            and waited_ms < _WAIT_MS,
        )
        if not isinstance(found, UpstreamEntry):
            if request.waiting:
                self._after(_LOOK_MS, lambda: self._try(request))
            else:
                self._refuse(request)
            return
        dispatcher.health(found.upstream_id).in_flight += 1
        self._after(_ONE_WAY_MS, lambda: self._reach(request, found))

    def _set_waiting(self, request: SimulatedRequest, *, waiting: bool) -> None:
        self._waiting[request.daemon] += waiting - request.waiting
        request.waiting = waiting

    def _refuse(self, request: SimulatedRequest) -> None:
        if request.returned:
            return
        again = SimulatedRequest(
            request.request,
            self._rng.randrange(
                max(1, round(self._load.busy_daemons * self._load.daemons))
            ),
            self._clock.now_ms() + _RETURN_MS,
            returned=True,
        )
        self._after(
            _RETURN_MS * self._rng.uniform(0.7, 1.3), lambda: self._try(again)
        )

    def _reach(self, request: SimulatedRequest, entry: UpstreamEntry) -> None:
        load = self._load
        target = self._upstreams[entry.upstream_id]
        if target.down:
            self._after(
                _ONE_WAY_MS, lambda: self._fail(request, entry, refused=False)
            )
        elif target.running < load.memory * entry.slots:
            target.running += 1
            self._run(request, target)
        elif len(target.waiting) < self._queue_of(target):
            target.waiting.append(lambda: self._run(request, target))
        else:
            self._reject(target)
            report = self._report(target)
            self._after(
                _ONE_WAY_MS,
                lambda: self._fail(request, entry, refused=True, report=report),
            )

    def _queue_of(self, target: _Upstream) -> int:
        shrunk = self._clock.now_ms() >= self._load.shrunk_ms
        if target.brittle and shrunk:
            return self._load.short_queue
        return self._load.queue

    def _reject(self, target: _Upstream) -> None:
        now_ms = self._clock.now_ms()
        self.rejected += 1
        target.rejected_ms.append(now_ms)
        while target.rejected_ms[0] <= now_ms - _SECOND_MS:
            target.rejected_ms.popleft()
        brittle = target.brittle and now_ms >= self._load.shrunk_ms
        if (
            self._falls
            and brittle
            and len(target.rejected_ms) > self._load.limit
        ):
            self._fall(target)

    def _fall(self, target: _Upstream) -> None:
        self.fallen_ms.append(self._clock.now_ms())
        target.down = True
        upstream_id = target.entry.upstream_id
        self._after(_SECOND_MS, lambda: self._remove(upstream_id))
        self._after(_DOWN_MS, lambda: self._start(brittle=target.brittle))

    def _remove(self, upstream_id: str) -> None:
        self._revision += 1
        batch = ItemBatch(
            items=(Item(key=upstream_id, value=None, revision=self._revision),),
            revision=self._revision,
        )
        self._view.apply(batch, self._clock.now_ms())

    def _run(self, request: SimulatedRequest, target: _Upstream) -> None:
        duration_ms = self._rng.expovariate(1 / self._load.mean_ms)
        self._after(duration_ms, lambda: self._complete(request, target))

    def _report(self, target: _Upstream) -> LoadReport:
        return LoadReport(
            running=target.running,
            waiting=len(target.waiting),
            slots=target.entry.slots,
        )

    def _complete(self, request: SimulatedRequest, target: _Upstream) -> None:
        if target.down:
            self._fail(request, target.entry, refused=False)
            return
        if target.waiting:
            target.waiting.popleft()()
        else:
            target.running -= 1
        report = self._report(target)
        self._after(_ONE_WAY_MS, lambda: self._receive(request, target, report))

    def _receive(
        self, request: SimulatedRequest, target: _Upstream, report: LoadReport
    ) -> None:
        dispatcher = self._dispatchers[request.daemon]
        health = dispatcher.health(target.entry.upstream_id)
        health.in_flight -= 1
        self._hear(request.daemon, target.entry, report)
        health.record_success(None, self._clock.now_ms())
        self.served += 1

    def _hear(
        self, daemon: int, entry: UpstreamEntry, report: LoadReport
    ) -> None:
        """Records what a response of an upstream says."""
        now_ms = self._clock.now_ms()
        dispatcher = self._dispatchers[daemon]
        announced = (
            self._falls
            and self._upstreams[entry.upstream_id].brittle
            and now_ms >= self._load.announced_ms
        )
        dispatcher.rejection_limits.announce(
            entry.service,
            entry.upstream_id,
            self._load.limit if announced else None,
        )
        dispatcher.record_load(entry, report)

    def _fail(
        self,
        request: SimulatedRequest,
        entry: UpstreamEntry,
        *,
        refused: bool,
        report: LoadReport | None = None,
    ) -> None:
        dispatcher = self._dispatchers[request.daemon]
        health = dispatcher.health(entry.upstream_id)
        health.in_flight -= 1
        if report is not None:
            self._hear(request.daemon, entry, report)
        if refused:
            dispatcher.record_rejection(entry)
        else:
            health.record_failure(self._clock.now_ms(), unreachable=True)
        request.attempts += 1
        if request.attempts < _ATTEMPTS:
            self._try(request)
        else:
            self._refuse(request)
