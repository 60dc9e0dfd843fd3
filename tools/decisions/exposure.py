"""Requests exposed to a bad version, with and without the breaker."""

from __future__ import annotations

import dataclasses
import heapq
import random

from trefoilpitch.bundle import RolloutPlan
from trefoilpitch.configuration import RolloutPhase, RolloutState
from trefoilpitch.rollout import (
    Breaker,
    HarmMonitor,
    Move,
    Trials,
    VersionEvidence,
    advise,
    next_state,
)

_NODES = 6
_GAP_MS = 100
_REQUESTS = 60_000
_OLD_ERRORS = 0.005
_OLD_BAD = 0.08
_RATED = 0.1
_MAX_DELAY_MS = 60_000
_ADVICE_EVERY_MS = 10_000
# Time until all nodes know what was decided.
_SPREAD_MS = 5_000
_STEP_MS = 600_000
_GOOD_START = VersionEvidence(
    responses=Trials(count=180, bad=1), ratings=Trials(count=20, bad=1)
)
_PLAN = RolloutPlan(model="small", to_version="2")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Badness:
    """How a new version is bad."""

    # Its name in the table.
    name: str
    # Chance that a request ends in an error, from 0 to 1.
    errors: float
    # Chance that an answer is rated bad, from 0 to 1.
    bad: float
    # Whether it served well up to 25% before.
    turned: bool = False


CASES = (
    Badness(name="20% errors", errors=0.2, bad=_OLD_BAD),
    Badness(name="50% errors", errors=0.5, bad=_OLD_BAD),
    Badness(name="100% errors", errors=1.0, bad=_OLD_BAD),
    Badness(name="20% bad ratings", errors=_OLD_ERRORS, bad=0.2),
    Badness(name="50% bad ratings", errors=_OLD_ERRORS, bad=0.5),
    Badness(name="100% bad ratings", errors=_OLD_ERRORS, bad=1.0),
    Badness(
        name="20% errors after a good start",
        errors=0.2,
        bad=_OLD_BAD,
        turned=True,
    ),
    Badness(
        name="100% errors after a good start",
        errors=1.0,
        bad=_OLD_BAD,
        turned=True,
    ),
    Badness(
        name="50% bad ratings after a good start",
        errors=_OLD_ERRORS,
        bad=0.5,
        turned=True,
    ),
    Badness(name="good version", errors=_OLD_ERRORS, bad=_OLD_BAD),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExposureFigures:
    """What a roll-out of one version did in one run."""

    # How the version is bad.
    version: str
    # What watches the roll-out.
    guard: str
    # Requests that the version got.
    exposed: int
    # Those of them that came out bad.
    harmed: int
    # Percent of new sessions at the end.
    final_percent: int


class _Run:
    """One roll-out under one guard."""

    def __init__(self, seed: int, case: Badness, guard: str) -> None:
        self._rng = random.Random(f"{seed}/{case.name}")
        self._case = case
        self._uses_breaker = guard == "breaker and test"
        self._uses_test = guard != "none"
        self._state = RolloutState(
            model="small",
            to_version="2",
            step=2 if case.turned else 0,
            phase=RolloutPhase.RUNNING,
        )
        self._pending: tuple[int, RolloutState] | None = None
        self._stepped_ms = 0
        self._breakers = [Breaker() for _ in range(_NODES)]
        self._old = VersionEvidence(
            responses=Trials(count=20_000, bad=100),
            ratings=Trials(count=2_000, bad=160),
        )
        self._watch = HarmMonitor()
        self._unwatched = VersionEvidence()
        self._new = _GOOD_START if case.turned else VersionEvidence()
        self._ratings: list[tuple[int, int, int, bool]] = []
        self._exposed = 0
        self._harmed = 0

    def run(self) -> tuple[int, int, int]:
        """Returns exposed, harmed and the final percentage."""
        for number in range(_REQUESTS):
            now_ms = number * _GAP_MS
            self._take_ratings(now_ms)
            self._serve(number, now_ms)
            if now_ms % _ADVICE_EVERY_MS == 0:
                self._consider(now_ms)
        return self._exposed, self._harmed, round(self._share() * 100)

    def _share(self) -> float:
        if self._state.phase is RolloutPhase.ROLLED_BACK:
            return 0.0
        if self._state.phase is RolloutPhase.COMPLETED:
            return 1.0
        return _PLAN.steps_percent[self._state.step] / 100

    def _serve(self, number: int, now_ms: int) -> None:
        node = self._rng.randrange(_NODES)
        share = self._share()
        if self._uses_breaker:
            share *= self._breakers[node].weight_factor(now_ms)
        if self._rng.random() >= share:
            return
        failed = self._rng.random() < self._case.errors
        bad = not failed and self._rng.random() < self._case.bad
        self._exposed += 1
        self._harmed += failed or bad
        self._learn(VersionEvidence(responses=Trials(count=1, bad=int(failed))))
        self._breakers[node] = self._breakers[node].answered(
            self._old, now_ms, failed=failed
        )
        if not failed and self._rng.random() < _RATED:
            due_ms = now_ms + self._rng.randrange(_MAX_DELAY_MS)
            heapq.heappush(self._ratings, (due_ms, number, node, bad))

    def _learn(self, seen: VersionEvidence) -> None:
        self._new += seen
        self._unwatched += seen

    def _take_ratings(self, now_ms: int) -> None:
        while self._ratings and self._ratings[0][0] <= now_ms:
            _, _, node, bad = heapq.heappop(self._ratings)
            self._learn(VersionEvidence(ratings=Trials(count=1, bad=int(bad))))
            self._breakers[node] = self._breakers[node].rated(
                self._old, now_ms, bad=bad
            )

    def _consider(self, now_ms: int) -> None:
        if self._pending is not None and self._pending[0] <= now_ms:
            self._state, self._pending = self._pending[1], None
            self._new = VersionEvidence()
        if self._pending is not None:
            return
        if not self._uses_test:
            if now_ms - self._stepped_ms >= _STEP_MS:
                self._move(Move.ADVANCE, now_ms)
            return
        self._watch = self._watch.updated(_PLAN, self._old, self._unwatched)
        self._unwatched = VersionEvidence()
        advice = advise(
            _PLAN,
            self._state,
            self._old,
            self._new,
            monitor=self._watch,
        )
        if advice.move is not Move.HOLD:
            self._move(advice.move, now_ms)

    def _move(self, move: Move, now_ms: int) -> None:
        self._stepped_ms = now_ms
        state = next_state(_PLAN, self._state, move)
        self._pending = (now_ms + _SPREAD_MS, state)


def measure(seed: int) -> list[ExposureFigures]:
    """Rolls out each version under each guard."""
    figures = []
    for case in CASES:
        for guard in ("none", "test", "breaker and test"):
            exposed, harmed, percent = _Run(seed, case, guard).run()
            figures.append(
                ExposureFigures(
                    version=case.name,
                    guard=guard,
                    exposed=exposed,
                    harmed=harmed,
                    final_percent=percent,
                )
            )
    return figures
