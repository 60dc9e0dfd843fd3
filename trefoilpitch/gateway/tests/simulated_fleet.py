"""A simulated fleet whose upstreams end under requests.

The daemons use the actual evidence, decisions and reports; upstreams, requests
and datagrams are simulated in steps of a millisecond.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Mapping

from trefoilpitch.clock import ManualClock
from trefoilpitch.gateway import CallerRequest, HttpRequest, PrefixPart
from trefoilpitch.gateway._crash_evidence import (
    CrashEvidence,
    EvidenceReport,
)
from trefoilpitch.gateway._quarantine import Quarantine
from trefoilpitch.gateway._request_traits import RequestTraits, request_traits

_DAEMONS = 9
# Requests that an upstream runs or lets wait, per slot.
_MAX_LOAD_PER_SLOT = 3
_HEARTBEAT_MS = 400
_URGENT_GAP_MS = 100
# Time for which a daemon that has just started may send without the evidence of
# others, and by which all must have agreed after an ending.
AGREEMENT_MS = 3_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SimulatedService:
    """The upstreams of a service."""

    upstreams: int
    slots: int
    # Shortest and longest time until an upstream that ended is back.
    restart_ms: tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SimulatedRequest:
    """A request; each arrival of it has the same traits."""

    service: str
    traits: RequestTraits
    max_attempts: int
    min_response_ms: int = 50
    # Mean of the time beyond that.
    mean_response_ms: int
    # Whether its upstream begins to respond at once.
    responds_early: bool = False
    # Name of the trait that ends its upstreams; None for a sound request.
    culprit: str | None = None
    # Shortest and longest time until it ends an upstream.
    crash_ms: tuple[int, int] = (30, 70)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Send:
    """A request with a culprit that was sent to an upstream."""

    time_ms: int
    culprit: str
    # Whether the daemon has run for long enough to know what others know.
    in_touch: bool


class _Daemon:
    def __init__(
        self, number: int, clock: ManualClock, started_ms: int
    ) -> None:
        names = {f"vm-{n}" for n in range(_DAEMONS)}
        name = f"vm-{number}"
        self.evidence = CrashEvidence()
        self.quarantine = Quarantine(
            self.evidence,
            clock,
            own_name=name,
            live_peers=lambda: names - {name},
        )
        self.started_ms = started_ms
        self.sent_ms = -_URGENT_GAP_MS
        self.urgent = False


@dataclasses.dataclass(slots=True, kw_only=True)
class _Attempt:
    daemon: int
    # The run of the daemon that sent it.
    sender: _Daemon
    request: SimulatedRequest
    # Upstreams that it was sent to, the present one included.
    tried: tuple[int, ...]
    started: bool = False


class _Upstream:
    def __init__(self, run: int, service: SimulatedService) -> None:
        self.run = run
        self.service = service
        self.running: list[_Attempt] = []
        self.waiting: list[_Attempt] = []

    @property
    def full(self) -> bool:
        load = len(self.running) + len(self.waiting)
        return load >= _MAX_LOAD_PER_SLOT * self.service.slots


class SimulatedFleet:
    """Simulates daemons and upstreams from a seed.

    Args:
        services: The services by name.
        seed: Determines all that happens.
        lost_datagrams: Share of the heartbeats that are lost.
    """

    def __init__(
        self,
        services: Mapping[str, SimulatedService],
        seed: int,
        *,
        lost_datagrams: float,
    ) -> None:
        self.rng = random.Random(seed)
        # Times at which upstreams ended, by culprit; None for other reasons.
        self.endings_ms: dict[str | None, list[int]] = {}
        # Number of sound requests, and those of them that were refused.
        self.sound = 0
        self.refused: list[SimulatedRequest] = []
        # Upstreams that ended while they had a sound request, by fingerprint.
        self.cuts: dict[int, set[int]] = {}
        self._lost_datagrams = lost_datagrams
        self._sends: list[_Send] = []
        self._clock = ManualClock()
        self._now_ms = 0
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._daemons = [
            _Daemon(n, self._clock, -AGREEMENT_MS) for n in range(_DAEMONS)
        ]
        self._upstreams: dict[str, list[_Upstream | None]] = {
            name: [
                _Upstream(next(self._numbers), service)
                for _ in range(service.upstreams)
            ]
            for name, service in services.items()
        }
        for number in range(_DAEMONS):
            self.after(self.rng.uniform(0, _HEARTBEAT_MS), self._beats(number))

    def play(self, end_ms: int) -> None:
        """Plays what was planned until a time."""
        while self._queue[0][0] <= end_ms:
            time_ms, _, action = heapq.heappop(self._queue)
            self._clock.advance(time_ms - self._now_ms)
            self._now_ms = time_ms
            action()

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Plans an action."""
        entry = (self._now_ms + int(delay_ms), next(self._numbers), action)
        heapq.heappush(self._queue, entry)

    def repeat(
        self, start_ms: float, per_s: float, action: Callable[[], None]
    ) -> None:
        """Plans an action from a time on, again and again at random times."""

        def act() -> None:
            action()
            self.after(1_000 * self.rng.expovariate(per_s), act)

        self.after(start_ms, act)

    def create_traits(
        self, *parts: str, body: bytes | None = None
    ) -> RequestTraits:
        """Returns the traits of a request.

        Args:
            *parts: Shared parts of its prompt.
            body: Its body; None for one that no other request has.
        """
        if body is None:
            body = b"%d" % next(self._numbers)
        http = HttpRequest(
            method=b"POST", target=b"/", headers=(), body=body, arrived_ms=0
        )
        prompt = (*parts, "own") if parts else ()
        request = CallerRequest(
            http=http,
            request_id="id",
            host="",
            path="/",
            api_key=None,
            wait_ms=None,
            prefix=tuple(PrefixPart(part_id=k, tokens=1) for k in prompt),
        )
        return request_traits(request, None)

    def arrive(self, request: SimulatedRequest) -> None:
        """Sends a request to any of the daemons."""
        if request.culprit is None:
            self.sound += 1
        self._attempt(self.rng.randrange(_DAEMONS), request, ())

    def restart_daemons(self, count: int) -> None:
        """Restarts some daemons, which forget all they know."""
        for number in range(count):
            self._daemons[number] = _Daemon(number, self._clock, self._now_ms)

    def end_upstream(self, service: str) -> None:
        """Ends an upstream for a reason that is in no request."""
        running = [k for k in self._upstreams[service] if k is not None]
        if running:
            self._end(service, self.rng.choice(running), None)

    def late_sends(
        self, culprit: str, endings: int, *, in_touch: bool = False
    ) -> int:
        """Returns how often requests were sent after they were known.

        Args:
            culprit: What ends upstreams.
            endings: The number of endings that tell the daemons.
            in_touch: Whether to count only what daemons sent that have run
                for a while.
        """
        endings_ms = self.endings_ms.get(culprit, [])
        if len(endings_ms) < endings:
            return 0
        agreed_ms = endings_ms[endings - 1] + AGREEMENT_MS
        return sum(
            send.culprit == culprit
            and (send.in_touch or not in_touch)
            and send.time_ms > agreed_ms
            for send in self._sends
        )

    def _attempt(
        self, number: int, request: SimulatedRequest, tried: tuple[int, ...]
    ) -> None:
        daemon = self._daemons[number]
        if not daemon.quarantine.start_attempt(request.traits):
            if request.culprit is None:
                self.refused.append(request)
            return
        free = [
            upstream
            for upstream in self._upstreams[request.service]
            if upstream is not None
            and upstream.run not in tried
            and not upstream.full
        ]
        if not free or len(tried) >= request.max_attempts:
            return
        upstream = min(free, key=lambda u: (len(u.running), self.rng.random()))
        if request.culprit is not None:
            self._sends.append(
                _Send(
                    time_ms=self._now_ms,
                    culprit=request.culprit,
                    in_touch=self._now_ms - daemon.started_ms >= AGREEMENT_MS,
                )
            )
        upstream.waiting.append(
            _Attempt(
                daemon=number,
                sender=daemon,
                request=request,
                tried=(*tried, upstream.run),
            )
        )
        self._start_waiting(upstream)

    def _start_waiting(self, upstream: _Upstream) -> None:
        while (
            upstream.waiting and len(upstream.running) < upstream.service.slots
        ):
            attempt = upstream.waiting.pop(0)
            attempt.started = True
            upstream.running.append(attempt)
            request = attempt.request
            if request.culprit is not None:
                delay_ms = self.rng.uniform(*request.crash_ms)
                self.after(delay_ms, self._crash(upstream, request))
            else:
                mean_ms = request.mean_response_ms
                delay_ms = request.min_response_ms
                delay_ms += self.rng.expovariate(1 / mean_ms)
                self.after(delay_ms, self._completion(upstream, attempt))

    def _is_running(self, upstream: _Upstream, service: str) -> bool:
        return upstream in self._upstreams[service]

    def _completion(
        self, upstream: _Upstream, attempt: _Attempt
    ) -> Callable[[], None]:
        def complete() -> None:
            if not self._is_running(upstream, attempt.request.service):
                return
            upstream.running.remove(attempt)
            digests = attempt.request.traits.digests
            if attempt.sender.evidence.record_sound(digests, self._now_ms):
                self._beat_soon(attempt.daemon)
            self._start_waiting(upstream)

        return complete

    def _crash(
        self, upstream: _Upstream, request: SimulatedRequest
    ) -> Callable[[], None]:
        def crash() -> None:
            if self._is_running(upstream, request.service):
                self._end(request.service, upstream, request.culprit)

        return crash

    def _end(
        self, service: str, upstream: _Upstream, culprit: str | None
    ) -> None:
        places = self._upstreams[service]
        place = places.index(upstream)
        places[place] = None
        self.endings_ms.setdefault(culprit, []).append(self._now_ms)

        def start_again() -> None:
            run = next(self._numbers)
            places[place] = _Upstream(run, upstream.service)

        delay_ms = self.rng.uniform(*upstream.service.restart_ms)
        self.after(delay_ms, start_again)
        for attempt in (*upstream.running, *upstream.waiting):
            self.after(self.rng.uniform(2, 6), self._cut(upstream, attempt))

    def _cut(
        self, upstream: _Upstream, attempt: _Attempt
    ) -> Callable[[], None]:
        def cut() -> None:
            request = attempt.request
            if request.culprit is None:
                fingerprint = request.traits.fingerprint
                self.cuts.setdefault(fingerprint, set()).add(upstream.run)
            if attempt.sender is not self._daemons[attempt.daemon]:
                return
            attempt.sender.evidence.record_ending(
                upstream.run,
                request.traits.digests,
                self._now_ms,
                responding=attempt.started and request.responds_early,
            )
            self._beat_soon(attempt.daemon)
            self._attempt(attempt.daemon, request, attempt.tried)

        return cut

    def _beats(self, number: int) -> Callable[[], None]:
        def beat() -> None:
            self._beat(number)
            self.after(_HEARTBEAT_MS, beat)

        return beat

    def _beat_soon(self, number: int) -> None:
        daemon = self._daemons[number]
        if not daemon.urgent:
            daemon.urgent = True
            gap_ms = daemon.sent_ms + _URGENT_GAP_MS - self._now_ms
            self.after(max(0, gap_ms), lambda: self._beat(number))

    def _beat(self, number: int) -> None:
        daemon = self._daemons[number]
        daemon.urgent = False
        daemon.sent_ms = self._now_ms
        report = daemon.quarantine.report()
        for other in range(_DAEMONS):
            if other == number:
                continue
            if self.rng.random() >= self._lost_datagrams:
                delay_ms = self.rng.uniform(1, 8)
                self.after(delay_ms, self._delivery(other, report))

    def _delivery(
        self, number: int, report: EvidenceReport
    ) -> Callable[[], None]:
        return lambda: self._daemons[number].quarantine.merge(report)
