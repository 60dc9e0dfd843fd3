"""Replays of a fleet whose upstreams end under a part of the prompts.

The daemons use the actual evidence, decisions and reports; upstreams, requests
and datagrams are simulated in steps of a millisecond.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.gateway import CallerRequest, HttpRequest, PrefixPart
from trefoilpitch.gateway._crash_evidence import (
    CrashEvidence,
    EvidenceReport,
)
from trefoilpitch.gateway._quarantine import Quarantine
from trefoilpitch.gateway._request_traits import RequestTraits, request_traits

_DAEMONS = 9
_UPSTREAMS = 6
_SLOTS = 8
_MAX_LOAD = 3 * _SLOTS
_MAX_ATTEMPTS = 3
_HEARTBEAT_MS = 400
_URGENT_GAP_MS = 100
_CRASHING = "p"
_AGREEMENT_MS = 3_000
_LATE_REQUESTS = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Load:
    """What a fleet is exposed to."""

    name: str
    sound_per_s: float = 25.0
    crashing_per_s: float = 3.0
    response_ms: int = 1_200
    # Whether the prompts with the crashing part have a beginning of their own.
    own_beginning: bool = False
    lost_datagrams: float = 0.03
    # When four daemons restart; None if none does.
    restart_ms: int | None = None


class _Daemon:
    def __init__(self, number: int, clock: ManualClock) -> None:
        names = {f"vm-{n}" for n in range(_DAEMONS)}
        name = f"vm-{number}"
        self.evidence = CrashEvidence()
        self.quarantine = Quarantine(
            self.evidence,
            clock,
            own_name=name,
            live_peers=lambda: names - {name},
        )
        self.sent_ms = -_URGENT_GAP_MS
        self.urgent = False


@dataclasses.dataclass(slots=True, kw_only=True)
class _Attempt:
    daemon: int
    # The run of the daemon that sent it.
    sender: _Daemon
    traits: RequestTraits
    crashing: bool
    # Upstreams that it was sent to, the present one included.
    tried: tuple[int, ...]
    started: bool = False


class _Upstream:
    def __init__(self, run: int) -> None:
        self.run = run
        self.running: list[_Attempt] = []
        self.waiting: list[_Attempt] = []


class _Fleet:
    """Simulates daemons and upstreams from a seed."""

    def __init__(self, load: _Load, seed: int) -> None:
        self._load = load
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._now_ms = 0
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._daemons = [_Daemon(n, self._clock) for n in range(_DAEMONS)]
        self._upstreams: list[_Upstream | None] = [
            _Upstream(next(self._numbers)) for _ in range(_UPSTREAMS)
        ]
        self.crashes_ms: list[int] = []
        self.crashing_sent_ms: list[int] = []
        self.sound = 0
        self.sound_refused = 0

    def play(self, start_crashing_ms: int, end_ms: int) -> None:
        """Plays sound requests, and from a time on also crashing ones."""
        for number in range(_DAEMONS):
            self._after(
                self._rng.uniform(0, _HEARTBEAT_MS), self._beats(number)
            )
        self._after(0, self._send_sound)
        self._after(start_crashing_ms, self._send_crashing)
        if self._load.restart_ms is not None:
            self._after(self._load.restart_ms, self._restart_daemons)
        while self._queue[0][0] <= end_ms:
            time_ms, _, action = heapq.heappop(self._queue)
            self._clock.advance(time_ms - self._now_ms)
            self._now_ms = time_ms
            action()

    def _after(self, delay_ms: float, action: Callable[[], None]) -> None:
        entry = (self._now_ms + int(delay_ms), next(self._numbers), action)
        heapq.heappush(self._queue, entry)

    def _restart_daemons(self) -> None:
        for number in range(4):
            self._daemons[number] = _Daemon(number, self._clock)

    def _send_sound(self) -> None:
        topic = min(int(self._rng.paretovariate(0.7)), 60)
        self._arrive(False, self._beginning(), f"t{topic}")
        delay_s = self._rng.expovariate(self._load.sound_per_s)
        self._after(1_000 * delay_s, self._send_sound)

    def _send_crashing(self) -> None:
        own = self._load.own_beginning
        beginning = "own" if own else self._beginning()
        self._arrive(True, beginning, _CRASHING)
        delay_s = self._rng.expovariate(self._load.crashing_per_s)
        self._after(1_000 * delay_s, self._send_crashing)

    def _beginning(self) -> str:
        return f"b{min(int(self._rng.paretovariate(1)), 3)}"

    def _arrive(self, crashing: bool, *parts: str) -> None:
        http = HttpRequest(
            method=b"POST",
            target=b"/",
            headers=(),
            body=b"%d" % next(self._numbers),
            arrived_ms=0,
        )
        request = CallerRequest(
            http=http,
            request_id="id",
            host="",
            path="/",
            api_key=None,
            wait_ms=None,
            prefix=tuple(
                PrefixPart(part_id=part, tokens=1) for part in (*parts, "own")
            ),
        )
        if not crashing:
            self.sound += 1
        traits = request_traits(request, None)
        self._attempt(self._rng.randrange(_DAEMONS), traits, crashing, ())

    def _attempt(
        self,
        number: int,
        traits: RequestTraits,
        crashing: bool,
        tried: tuple[int, ...],
    ) -> None:
        daemon = self._daemons[number]
        if not daemon.quarantine.start_attempt(traits):
            self.sound_refused += not crashing
            return
        free = [
            upstream
            for upstream in self._upstreams
            if upstream is not None
            and upstream.run not in tried
            and len(upstream.running) + len(upstream.waiting) < _MAX_LOAD
        ]
        if not free or len(tried) >= _MAX_ATTEMPTS:
            return
        upstream = min(free, key=lambda u: (len(u.running), self._rng.random()))
        if crashing:
            self.crashing_sent_ms.append(self._now_ms)
        upstream.waiting.append(
            _Attempt(
                daemon=number,
                sender=daemon,
                traits=traits,
                crashing=crashing,
                tried=(*tried, upstream.run),
            )
        )
        self._start_waiting(upstream)

    def _start_waiting(self, upstream: _Upstream) -> None:
        while upstream.waiting and len(upstream.running) < _SLOTS:
            attempt = upstream.waiting.pop(0)
            attempt.started = True
            upstream.running.append(attempt)
            if attempt.crashing:
                delay_ms = self._rng.uniform(30, 70)
                self._after(delay_ms, lambda: self._crash(upstream))
            else:
                mean_ms = self._load.response_ms
                delay_ms = 50 + self._rng.expovariate(1 / mean_ms)
                self._after(delay_ms, self._completion(upstream, attempt))

    def _completion(
        self, upstream: _Upstream, attempt: _Attempt
    ) -> Callable[[], None]:
        def complete() -> None:
            if upstream not in self._upstreams:
                return
            upstream.running.remove(attempt)
            digests = attempt.traits.digests
            if attempt.sender.evidence.record_sound(digests, self._now_ms):
                self._beat_soon(attempt.daemon)
            self._start_waiting(upstream)

        return complete

    def _crash(self, upstream: _Upstream) -> None:
        if upstream not in self._upstreams:
            return
        place = self._upstreams.index(upstream)
        self._upstreams[place] = None
        self.crashes_ms.append(self._now_ms)

        def start_again() -> None:
            self._upstreams[place] = _Upstream(next(self._numbers))

        self._after(self._rng.uniform(5_000, 6_000), start_again)
        for attempt in (*upstream.running, *upstream.waiting):
            self._after(self._rng.uniform(2, 6), self._cut(upstream, attempt))

    def _cut(
        self, upstream: _Upstream, attempt: _Attempt
    ) -> Callable[[], None]:
        def cut() -> None:
            if attempt.sender is not self._daemons[attempt.daemon]:
                return
            attempt.sender.evidence.record_ending(
                upstream.run,
                attempt.traits.digests,
                self._now_ms,
                responding=attempt.started,
            )
            self._beat_soon(attempt.daemon)
            self._attempt(
                attempt.daemon,
                attempt.traits,
                attempt.crashing,
                attempt.tried,
            )

        return cut

    def _beats(self, number: int) -> Callable[[], None]:
        def beat() -> None:
            self._beat(number)
            self._after(_HEARTBEAT_MS, beat)

        return beat

    def _beat_soon(self, number: int) -> None:
        daemon = self._daemons[number]
        if not daemon.urgent:
            daemon.urgent = True
            gap_ms = daemon.sent_ms + _URGENT_GAP_MS - self._now_ms
            self._after(max(0, gap_ms), lambda: self._beat(number))

    def _beat(self, number: int) -> None:
        daemon = self._daemons[number]
        daemon.urgent = False
        daemon.sent_ms = self._now_ms
        report = daemon.quarantine.report()
        for other in range(_DAEMONS):
            if other == number:
                continue
            if self._rng.random() >= self._load.lost_datagrams:
                delay_ms = self._rng.uniform(1, 8)
                self._after(delay_ms, self._delivery(other, report))

    def _delivery(
        self, number: int, report: EvidenceReport
    ) -> Callable[[], None]:
        return lambda: self._daemons[number].quarantine.merge(report)


# With the last three, upstreams ended within 25 ms of each other.
@pytest.mark.parametrize("seed", [0, 111, 112, 115])
@pytest.mark.parametrize(
    "load",
    [
        _Load(name="usual"),
        _Load(name="few sound requests", sound_per_s=4.0),
        _Load(name="many crashing requests", crashing_per_s=10.0),
        _Load(name="rare crashing requests", crashing_per_s=0.5),
        _Load(name="long responses", response_ms=3_000),
        _Load(name="own beginning", own_beginning=True),
        _Load(name="lost datagrams", lost_datagrams=0.3),
        _Load(name="restarted daemons", restart_ms=11_500),
    ],
    ids=lambda load: load.name,
)
def test_crashing_part_is_refused_in_time_and_no_other(
    load: _Load, seed: int
) -> None:
    fleet = _Fleet(load, seed)
    fleet.play(start_crashing_ms=10_000, end_ms=30_000)
    if len(fleet.crashes_ms) >= 5:
        agreed_ms = fleet.crashes_ms[4] + _AGREEMENT_MS
        late = [t for t in fleet.crashing_sent_ms if t > agreed_ms]
        assert len(late) <= _LATE_REQUESTS
    assert len(fleet.crashes_ms) >= 3
    assert fleet.sound > 50
    assert fleet.sound_refused == 0
