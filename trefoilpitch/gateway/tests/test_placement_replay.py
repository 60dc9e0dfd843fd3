"""Replays of placement by many daemons with outdated views of the load.

Each daemon knows its own in-flight requests at once and those of the others
as of its peers' last heartbeats. Upstreams have few slots, more of which are
free than are needed, so that a queue anywhere is a fault of the placement.
"""

from __future__ import annotations

import dataclasses
import heapq
import random

import pytest

from trefoilpitch.gateway._placement import Candidate, choose
from trefoilpitch.gateway._prefix_traffic import PrefixTraffic
from trefoilpitch.rendezvous import rank

_UPSTREAMS = 45
_SLOTS = 24
_DAEMONS = 58
_HEARTBEAT_MS = 1_200
_REQUESTS_PER_S = 150
_DURATION_MS = 20_000
# Time that a request takes alone, and how it grows with the upstream's load.
_ALONE_MS = 1_400.0
_GROWTH = 1 / 12


@dataclasses.dataclass(frozen=True)
class _Load:
    """Shares of the traffic by prefix; the rest has a prefix of its own."""

    name: str
    hot_prefixes: tuple[float, ...]
    # Whether the rest has no prefix that could be shared.
    plain: bool = False
    # Time between upstreams that lose all their requests and are idle at once.
    restart_ms: int = 0


class _Replay:
    def __init__(self, load: _Load, seed: int) -> None:
        self._load = load
        self._rng = random.Random(seed)
        self._names = [f"u{number}" for number in range(_UPSTREAMS)]
        self._in_flight = dict.fromkeys(self._names, 0)
        self._own = [dict.fromkeys(self._names, 0) for _ in range(_DAEMONS)]
        # What each daemon last heard of the others together.
        self._heard = [dict.fromkeys(self._names, 0) for _ in range(_DAEMONS)]
        self._traffic = [PrefixTraffic() for _ in range(_DAEMONS)]
        self._ends: list[tuple[float, int, str]] = []
        self.arrivals = 0
        self.queued = 0
        # Requests with a prefix that was read before, and those of them that
        # went to an upstream which had read it.
        self.warm = 0
        self.cached = 0
        self._readers: dict[str, set[str]] = {}

    def run(self) -> None:
        gap_ms = 1_000 / _REQUESTS_PER_S
        for number in range(int(_DURATION_MS / gap_ms)):
            now_ms = number * gap_ms
            self._finish(now_ms)
            restart_ms = self._load.restart_ms
            if restart_ms and now_ms % restart_ms < gap_ms:
                self._restart(self._rng.choice(self._names))
            self._exchange(now_ms, gap_ms)
            self._place(now_ms, number)

    def _finish(self, now_ms: float) -> None:
        while self._ends and self._ends[0][0] <= now_ms:
            _, daemon, name = heapq.heappop(self._ends)
            self._in_flight[name] -= 1
            self._own[daemon][name] -= 1

    def _restart(self, name: str) -> None:
        self._ends = [end for end in self._ends if end[2] != name]
        heapq.heapify(self._ends)
        self._in_flight[name] = 0
        for daemon in range(_DAEMONS):
            self._own[daemon][name] = 0
            self._heard[daemon][name] = 0

    def _exchange(self, now_ms: float, gap_ms: float) -> None:
        for daemon in range(_DAEMONS):
            phase_ms = daemon * _HEARTBEAT_MS / _DAEMONS
            if (now_ms - phase_ms) % _HEARTBEAT_MS < gap_ms:
                own = self._own[daemon]
                self._heard[daemon] = {
                    name: count - own[name]
                    for name, count in self._in_flight.items()
                }

    def _prefix(self, number: int) -> str | None:
        drawn = self._rng.random()
        for index, share in enumerate(self._load.hot_prefixes):
            drawn -= share
            if drawn < 0:
                return f"hot-{index}"
        return None if self._load.plain else f"own-{number}"

    def _ranked(self, prefix: str) -> list[str]:
        return rank(prefix, self._names)

    def _place(self, now_ms: float, number: int) -> None:
        daemon = self._rng.randrange(_DAEMONS)
        prefix = self._prefix(number)
        ranks: dict[str, int] = {}
        share = 0.0
        if prefix is not None:
            ranks = {n: index for index, n in enumerate(self._ranked(prefix))}
            self._traffic[daemon].record(prefix, int(now_ms))
            share = self._traffic[daemon].share(prefix, int(now_ms))
        own, heard = self._own[daemon], self._heard[daemon]
        candidates = [
            Candidate(
                upstream_id=name,
                load=max(0, own[name] + heard[name]),
                slots=_SLOTS,
                failure_rate=0.0,
                latency_ratio=1.0,
                local=index % 4 == daemon % 4,
                prefix_rank=ranks.get(name),
            )
            for index, name in enumerate(self._names)
        ]
        chosen = choose(candidates, self._rng, prefix_share=share)
        assert chosen is not None
        name = chosen.upstream_id
        self.arrivals += 1
        self.queued += self._in_flight[name] >= _SLOTS
        if prefix is not None:
            readers = self._readers.setdefault(prefix, set())
            self.warm += bool(readers)
            self.cached += name in readers
            readers.add(name)
        self._in_flight[name] += 1
        own[name] += 1
        took_ms = _ALONE_MS * (1 + _GROWTH * self._in_flight[name])
        heapq.heappush(self._ends, (now_ms + took_ms, daemon, name))


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "load",
    [
        _Load("no prefixes", (), plain=True),
        _Load("restarts", (), plain=True, restart_ms=1_000),
        _Load("all prefixes differ", ()),
        _Load("some hot prefixes", (0.08, 0.06, 0.05, 0.04, 0.04, 0.03)),
        _Load("one hot prefix", (0.35,)),
    ],
    ids=lambda load: load.name,
)
def test_no_queue_at_an_upstream_while_others_have_free_slots(
    load: _Load, seed: int
) -> None:
    replay = _Replay(load, seed)
    replay.run()
    assert replay.queued <= 0.01 * replay.arrivals


def test_warm_prefixes_are_mostly_read_where_they_are_cached() -> None:
    replay = _Replay(_Load("many warm prefixes", (0.02,) * 40), 1)
    replay.run()
    assert replay.cached >= 0.75 * replay.warm
