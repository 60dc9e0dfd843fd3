"""A simulated fleet of uneven upstreams under uneven demand.

The daemons use the actual dispatcher with its health records, estimates and
remaining work. Upstreams, requests and heartbeats are simulated. Run as a
program, it prints the table of docs/measurements/platform.md.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import random
import statistics
import sys
from collections import Counter, deque
from collections.abc import Callable, Iterator, Mapping

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import (
    Document,
    FleetView,
    ItemBatch,
    Service,
    UpstreamEntry,
)
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
from trefoilpitch.gateway._health import ExpectedLatencies
from trefoilpitch.gateway._peer_work import PeerWorkTable
from trefoilpitch.gateway._peers import heartbeat_interval_ms
from trefoilpitch.gateway._work_tracking import TrackedAttempt, WorkTracker

# Fraction of a request's work until its first event, and at which its daemon
# hears of progress.
_FIRST_PART = 0.3
_MILESTONES = (_FIRST_PART, 0.5, 0.7, 0.9)
_TOKEN_MS = 2.8
_TOKENS_PER_EVENT = 10
# How much longer each request takes beside one other at its upstream.
_GROWTH = 1 / 16
# Work takes this many times as long for this fraction of the time.
_HICCUP = 2.5
_HICCUP_SHARE = 0.15
_HICCUP_MS = 30.0
_LOG_SPREAD = 0.5
_DOMAINS = 3
# Time from which on requests are measured.
_WARM_UP_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnevenLoad:
    """Upstreams and demand of one play."""

    name: str
    daemons: int = 83
    upstreams: int = 72
    slots: int = 16
    # Usual durations of work at the upstreams, in turn.
    durations: tuple[float, ...] = (0.83, 0.83, 1.82, 0.83)
    hiccups: bool = True
    # Whether reports carry the duration of work.
    fourth_figure: bool = True
    # Mean demand relative to the capacity.
    demand: float = 0.55
    mean_ms: float = 600.0
    # Fraction of requests that cost ten times the others.
    large: float = 0.0
    # Fraction of requests with the same prefix.
    hot: float = 0.0
    # Whether only the daemons of one failure domain get requests.
    one_domain: bool = False
    # Tokens that an upstream can keep; 0 for any number.
    memory_tokens: int = 0
    # Tokens of the prompts of large requests.
    large_tokens: int = 2_000
    lost_reports: float = 0.2
    duration_ms: int = 25_000


# Requests in flight, their work and their tokens, as in a heartbeat.
_Published = tuple[dict[int, int], tuple[int, ...], tuple[int, ...]]


class _Others(Mapping[int, int]):
    """What a daemon has heard of all others, without a copy."""

    def __init__(self, total: Counter[int], own: Mapping[int, int]) -> None:
        self._total = total
        self._own = own

    def __getitem__(self, digest: int) -> int:
        return self._total[digest] - self._own.get(digest, 0)

    def __iter__(self) -> Iterator[int]:
        return iter(self._total)

    def __len__(self) -> int:
        return len(self._total)


class Policy:
    """Names of the compared policies."""

    BEFORE = "before"
    WORK = "expected finish"
    LEAST_REQUESTS = "least requests"
    LEAST_WORK = "least work"
    BOUND = "bound"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Times of one play in milliseconds."""

    requests: int
    # Time beyond the one that the request takes alone at the usual speed.
    late_mean_ms: float
    late_p99_ms: float
    # Time in an upstream's queue.
    waited_mean_ms: float
    waited_p99_ms: float


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class _Job:
    number: int
    daemon: int
    request: CallerRequest
    arrived_ms: float
    work_ms: float
    output_tokens: int
    started_ms: float = 0.0
    sent_ms: float = 0.0
    attempt: TrackedAttempt | None = None
    # Progress of its upstream when it was started.
    progress: float = 0.0


class _Upstream:
    """Runs jobs in slots, all at the same pace, and queues the others."""

    def __init__(self, entry: UpstreamEntry, usual: float) -> None:
        self.entry = entry
        self.usual = usual
        self.duration = usual
        self.running: dict[int, _Job] = {}
        self.waiting: deque[_Job] = deque()
        self.tokens = 0
        # Work that each running job has got since the start, and when that was
        # computed.
        self.progress = 0.0
        self.updated_ms = 0.0
        # What happens next at which progress, and the job.
        self.steps: list[tuple[float, int, int]] = []
        # Invalidates steps that were scheduled at another pace.
        self.version = 0

    def pace(self) -> float:
        return 1.0 / (
            self.duration * (1.0 + _GROWTH * max(0, len(self.running) - 1))
        )

    def advance(self, now_ms: float) -> None:
        if self.running:
            self.progress += (now_ms - self.updated_ms) * self.pace()
        self.updated_ms = now_ms

    def left_ms(self) -> float:
        """Work left, exactly."""
        running = sum(
            job.work_ms - (self.progress - job.progress)
            for job in self.running.values()
        )
        return running + sum(job.work_ms for job in self.waiting)

    def finish_ms(self, job: _Job) -> float:
        """Expected time until the end of a job that came now."""
        slots = self.entry.slots
        count = len(self.running) + len(self.waiting)
        slowdown = 1.0 + _GROWTH * min(slots - 1, count)
        ahead = 0.0
        if count >= slots:
            ahead = self.left_ms() / slots
        return self.usual * slowdown * (ahead + job.work_ms)


class UnevenFleet:
    """Plays a load with one policy."""

    def __init__(self, load: UnevenLoad, policy: str, seed: int) -> None:
        self._load = load
        self._policy = policy
        self._rng = random.Random(seed)
        # The demand is the same with each policy.
        self._demand = random.Random(f"demand {seed}")
        self._clock = ManualClock(1)
        self._now_ms = 0.0
        self._numbers = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._codec = InMemoryCodec()
        self._view = FleetView(self._codec, lambda change: None)
        service = Service(
            name="s",
            cold_start_ms=0,
            cold_rate_per_s=0.0,
            memory_tokens=(load.memory_tokens or None)
            if policy == Policy.WORK
            else None,
        )
        self._put("config", configuration(services={"s": service}))
        self._upstreams: dict[str, _Upstream] = {}
        for number in range(load.upstreams):
            entry = upstream(
                f"u{number}",
                slots=load.slots,
                failure_domain=f"domain-{number % _DOMAINS}",
            )
            # Slow upstreams are spread over the failure domains.
            turn = number // _DOMAINS % len(load.durations)
            self._upstreams[entry.upstream_id] = _Upstream(
                entry, load.durations[turn]
            )
            self._put(entry.upstream_id, entry)
        self._in_flight: Counter[int] = Counter()
        self._published: list[_Published] = []
        self._peers_work = PeerWorkTable()
        self._dispatchers = [self._daemon(n) for n in range(load.daemons)]
        self._latencies = [ExpectedLatencies() for _ in self._dispatchers]
        self._late_ms: list[float] = []
        self._waited_ms: list[float] = []

    def play(self) -> Outcome:
        """Plays the load until its end."""
        load = self._load
        interval_ms = heartbeat_interval_ms(load.daemons)
        for number in range(load.daemons):
            self._after(self._rng.uniform(0, interval_ms), self._beat(number))
        if load.hiccups:
            for target in self._upstreams.values():
                self._after(self._rng.uniform(0, 200), self._hiccup(target))
        self._after(0, self._arrive)
        while self._queue:
            time_ms, _, action = heapq.heappop(self._queue)
            if time_ms > load.duration_ms:
                break
            self._now_ms = time_ms
            self._clock.advance(int(time_ms) + 1 - self._clock.now_ms())
            action()
        return Outcome(
            requests=len(self._late_ms),
            late_mean_ms=statistics.fmean(self._late_ms),
            late_p99_ms=_p99(self._late_ms),
            waited_mean_ms=statistics.fmean(self._waited_ms),
            waited_p99_ms=_p99(self._waited_ms),
        )

    def _daemon(self, number: int) -> Dispatcher:
        self._published.append(({}, (), ()))
        names = {f"vm-{n}" for n in range(self._load.daemons)}
        return Dispatcher(
            self._view,
            self._clock,
            random.Random(f"{self._policy}-{number}"),
            own_name=f"vm-{number}",
            failure_domain=f"domain-{number % _DOMAINS}",
            members=lambda: names,
            peers_in_flight=lambda: self._heard(number),
            work=WorkTracker(self._clock, self._peers_work.by_digest),
        )

    def _heard(self, number: int) -> Mapping[int, int]:
        # All daemons hear a heartbeat at the same time.
        return _Others(self._in_flight, self._published[number][0])

    def _put(self, key: str, document: Document) -> None:
        item = self._codec.item(key, document, 1 + len(self._view.upstreams))
        batch = ItemBatch(items=(item,), revision=item.revision)
        self._view.apply(batch, 1)

    def _after(self, delay_ms: float, action: Callable[[], None]) -> None:
        due = (self._now_ms + delay_ms, next(self._numbers), action)
        heapq.heappush(self._queue, due)

    def _beat(self, number: int) -> Callable[[], None]:
        def beat() -> None:
            dispatcher = self._dispatchers[number]
            self._in_flight.subtract(self._published[number][0])
            self._peers_work.subtract(*self._published[number])
            in_flight = dispatcher.own_in_flight()
            published = (
                in_flight,
                dispatcher.own_work(),
                dispatcher.own_kilotokens(),
            )
            self._published[number] = published
            self._in_flight.update(in_flight)
            self._peers_work.add(*published)
            durations = dispatcher.work.speeds.take_unshared()
            for other in self._dispatchers:
                if other is not dispatcher:
                    other.work.speeds.adopt(durations, self._clock.now_ms())
            self._after(heartbeat_interval_ms(self._load.daemons), beat)

        return beat

    def _hiccup(self, target: _Upstream) -> Callable[[], None]:
        def toggle() -> None:
            slow = target.duration > target.usual
            mean_ms = _HICCUP_MS
            if slow:
                mean_ms *= (1 - _HICCUP_SHARE) / _HICCUP_SHARE
            target.advance(self._now_ms)
            target.duration = target.usual * (1.0 if slow else _HICCUP)
            self._schedule(target)
            self._after(self._rng.expovariate(1 / mean_ms), toggle)

        return toggle

    def _arrive(self) -> None:
        load = self._load
        full = 1.0 + _GROWTH * (load.slots - 1)
        hiccups = 1.0 + load.hiccups * _HICCUP_SHARE * (_HICCUP - 1.0)
        per_ms = sum(
            load.slots / (u.usual * hiccups * full)
            for u in self._upstreams.values()
        )
        mean_ms = load.mean_ms
        gap_ms = mean_ms / (per_ms * load.demand)
        self._after(self._demand.expovariate(1 / gap_ms), self._arrive)
        self._place(self._new_job())

    def _new_job(self) -> _Job:
        load, rng = self._load, self._demand
        number = next(self._numbers)
        daemon = rng.randrange(load.daemons)
        if load.one_domain:
            daemon -= daemon % _DOMAINS
        large = rng.random() < load.large
        hot = rng.random() < load.hot
        small_ms = load.mean_ms / (1.0 + 9.0 * load.large)
        drawn = rng.lognormvariate(-(_LOG_SPREAD**2) / 2, _LOG_SPREAD)
        work_ms = small_ms * (10.0 if large else 1.0) * drawn
        tokens = int((1 - _FIRST_PART) * work_ms / _TOKEN_MS)
        hint = tokens * rng.lognormvariate(0, 0.3)
        shared = PrefixPart(part_id="hot", tokens=500)
        own = PrefixPart(part_id=f"own-{number}", tokens=100)
        http = HttpRequest(
            method=b"POST", target=b"/", headers=(), body=b"", arrived_ms=0
        )
        request = CallerRequest(
            http=http,
            request_id=f"id-{number}",
            host="h",
            path="/",
            api_key=None,
            wait_ms=None,
            model="m",
            prompt_tokens=load.large_tokens if large else 600,
            expected_output_tokens=int(hint),
            prefix=(shared, own) if hot else (),
        )
        return _Job(
            number=number,
            daemon=daemon,
            request=request,
            arrived_ms=self._now_ms,
            work_ms=work_ms,
            output_tokens=tokens,
        )

    def _place(self, job: _Job) -> None:
        target = self._choose(job)
        if target is None:
            self._after(20.0, lambda: self._place(job))
            return
        job.sent_ms = self._now_ms
        dispatcher = self._dispatchers[job.daemon]
        entry = target.entry
        load = dispatcher.load(entry.upstream_id)
        dispatcher.health(entry.upstream_id).in_flight += 1
        if self._policy == Policy.WORK:
            cost = dispatcher.work.cost(job.request, "s", "", None)
            job.attempt = dispatcher.work.begin(entry, cost, load)
        target.advance(self._now_ms)
        target.waiting.append(job)
        self._start(target)

    def _choose(self, job: _Job) -> _Upstream | None:
        upstreams = list(self._upstreams.values())
        self._rng.shuffle(upstreams)
        if self._policy in (Policy.BEFORE, Policy.WORK):
            found = self._dispatchers[job.daemon].choose(
                job.request, "s", model=None, excluded=()
            )
            if not isinstance(found, UpstreamEntry):
                return None
            return self._upstreams[found.upstream_id]
        for target in upstreams:
            target.advance(self._now_ms)
        if self._policy == Policy.LEAST_REQUESTS:
            return min(upstreams, key=lambda u: len(u.running) + len(u.waiting))
        if self._policy == Policy.LEAST_WORK:
            return min(upstreams, key=_Upstream.left_ms)
        return min(upstreams, key=lambda u: u.finish_ms(job))

    def _start(self, target: _Upstream) -> None:
        """Starts the jobs for which there are slots and memory, in order."""
        memory = self._load.memory_tokens or math.inf
        while target.waiting and len(target.running) < target.entry.slots:
            job = target.waiting[0]
            tokens = job.request.prompt_tokens + job.output_tokens
            if target.running and target.tokens + tokens > memory:
                break
            target.waiting.popleft()
            target.tokens += tokens
            target.running[job.number] = job
            job.started_ms = self._now_ms
            job.progress = target.progress
            for part in (*_MILESTONES, 1.0):
                step = (job.progress + part * job.work_ms, job.number)
                heapq.heappush(target.steps, (*step, int(part * 100)))
        self._schedule(target)

    def _schedule(self, target: _Upstream) -> None:
        target.version += 1
        if not target.steps:
            return
        version = target.version
        left = max(0.0, target.steps[0][0] - target.progress)
        self._after(left / target.pace(), lambda: self._step(target, version))

    def _step(self, target: _Upstream, version: int) -> None:
        if version != target.version:
            return
        target.advance(self._now_ms)
        _, number, percent = heapq.heappop(target.steps)
        job = target.running[number]
        if percent == int(_FIRST_PART * 100):
            self._respond(target, job)
        dispatcher = self._dispatchers[job.daemon]
        if percent < 100:
            if job.attempt is not None:
                done = (percent / 100 - _FIRST_PART) / (1 - _FIRST_PART)
                events = int(done * job.output_tokens / _TOKENS_PER_EVENT)
                new = max(0, events - job.attempt.ticket.events)
                load = dispatcher.load(target.entry.upstream_id)
                dispatcher.work.responded(job.attempt, load)
                job.attempt.ticket.events += new
            self._schedule(target)
            return
        del target.running[number]
        target.tokens -= job.request.prompt_tokens + job.output_tokens
        dispatcher.health(target.entry.upstream_id).in_flight -= 1
        if job.attempt is not None:
            dispatcher.work.complete(job.attempt, job.output_tokens)
        if job.arrived_ms >= _WARM_UP_MS:
            took_ms = self._now_ms - job.arrived_ms
            self._late_ms.append(took_ms - job.work_ms)
            self._waited_ms.append(job.started_ms - job.arrived_ms)
        self._start(target)

    def _respond(self, target: _Upstream, job: _Job) -> None:
        """Delivers the head of a response with its load report."""
        dispatcher = self._dispatchers[job.daemon]
        latency_ms = self._now_ms - job.sent_ms
        kind = str(job.request.prompt_tokens)
        ratio = self._latencies[job.daemon].record(kind, latency_ms)
        health = dispatcher.health(target.entry.upstream_id)
        health.record_success(ratio, self._clock.now_ms())
        if self._rng.random() < self._load.lost_reports:
            return
        percent = None
        if self._policy == Policy.WORK and self._load.fourth_figure:
            percent = round(100 * target.duration)
        report = LoadReport(
            running=len(target.running),
            waiting=len(target.waiting),
            slots=target.entry.slots,
            duration_percent=percent,
        )
        dispatcher.record_load(target.entry, report)


def _p99(values: list[float]) -> float:
    return sorted(values)[int(0.99 * len(values))]


EVEN = UnevenLoad(
    name="even, three figures",
    durations=(1.0,),
    hiccups=False,
    fourth_figure=False,
)
LOADS = (
    EVEN,
    dataclasses.replace(EVEN, name="even", fourth_figure=True),
    UnevenLoad(name="a quarter slow"),
    UnevenLoad(name="a quarter slow, busy", demand=0.8),
    UnevenLoad(name="0.5 to 2", durations=(0.5, 0.8, 1.25, 2.0)),
    UnevenLoad(name="one kind costs ten times", large=0.1),
    UnevenLoad(name="one hot prefix", hot=0.35),
    UnevenLoad(name="one failure domain", one_domain=True),
    UnevenLoad(
        name="scarce memory",
        slots=64,
        large=0.1,
        large_tokens=12_000,
        memory_tokens=60_000,
        demand=0.2,
    ),
    UnevenLoad(name="9 daemons", daemons=9),
    UnevenLoad(name="195 daemons", daemons=195),
)
POLICIES = (
    Policy.BEFORE,
    Policy.WORK,
    Policy.LEAST_REQUESTS,
    Policy.LEAST_WORK,
    Policy.BOUND,
)


def main() -> None:
    """Prints the outcome of the named loads, or of all, with each policy."""
    print(f"| load | {' | '.join(POLICIES)} |")
    print("| --- |" + " --- |" * len(POLICIES))
    chosen = [load for load in LOADS if load.name in sys.argv[1:]] or LOADS
    for load in chosen:
        cells = []
        for policy in POLICIES:
            found = UnevenFleet(load, policy, 1).play()
            cells.append(
                f"{found.late_mean_ms:.0f}, {found.late_p99_ms:.0f};"
                f" {found.waited_mean_ms:.0f}, {found.waited_p99_ms:.0f}"
            )
        print(f"| {load.name} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
