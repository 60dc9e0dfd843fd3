"""Requests exposed to a bad version, with and without a guard."""

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
_ARRIVAL_INTERVAL_MS = 100
_REQUESTS = 60_000
_OLD_ERROR_SHARE = 0.005
_OLD_BAD_SHARE = 0.08
_RATING_SHARE = 0.1
_MAX_RATING_DELAY_MS = 60_000
_ADVICE_INTERVAL_MS = 10_000
# Time until a decision is in force on all nodes.
_PROPAGATION_MS = 5_000
_FIXED_STEP_MS = 600_000
_GOOD_EVIDENCE = VersionEvidence(
    responses=Trials(count=180, bad=1), ratings=Trials(count=20, bad=1)
)
_PLAN = RolloutPlan(model="small", to_version="2")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionCase:
    """Error and rating behaviour of a new version."""

    # Label in the table.
    name: str
    # Probability that a request fails, from 0 to 1.
    error_share: float
    # Probability that a response is rated bad, from 0 to 1.
    bad_share: float
    # Whether it served well at first and degraded at 25% of new sessions.
    degrades: bool = False


CASES = (
    VersionCase(name="20% errors", error_share=0.2, bad_share=_OLD_BAD_SHARE),
    VersionCase(name="50% errors", error_share=0.5, bad_share=_OLD_BAD_SHARE),
    VersionCase(name="100% errors", error_share=1.0, bad_share=_OLD_BAD_SHARE),
    VersionCase(
        name="20% bad ratings", error_share=_OLD_ERROR_SHARE, bad_share=0.2
    ),
    VersionCase(
        name="50% bad ratings", error_share=_OLD_ERROR_SHARE, bad_share=0.5
    ),
    VersionCase(
        name="100% bad ratings", error_share=_OLD_ERROR_SHARE, bad_share=1.0
    ),
    VersionCase(
        name="20% errors after a good start",
        error_share=0.2,
        bad_share=_OLD_BAD_SHARE,
        degrades=True,
    ),
    VersionCase(
        name="100% errors after a good start",
        error_share=1.0,
        bad_share=_OLD_BAD_SHARE,
        degrades=True,
    ),
    VersionCase(
        name="50% bad ratings after a good start",
        error_share=_OLD_ERROR_SHARE,
        bad_share=0.5,
        degrades=True,
    ),
    VersionCase(
        name="good version",
        error_share=_OLD_ERROR_SHARE,
        bad_share=_OLD_BAD_SHARE,
    ),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExposureFigures:
    """Result of the roll-out of one version under one guard."""

    # Label of the version's behaviour.
    version: str
    # The mechanism that may stop the roll-out.
    guard: str
    # Number of requests sent to the version.
    exposed: int
    # Number of these that failed or had a bad response.
    harmed: int
    # Percentage of new sessions that use the version at the end.
    final_percent: int


class _Run:
    """One roll-out under one guard."""

    def __init__(self, seed: int, case: VersionCase, guard: str) -> None:
        self._rng = random.Random(f"{seed}/{case.name}")
        self._case = case
        self._uses_breaker = guard == "breaker and test"
        self._uses_test = guard != "none"
        self._state = RolloutState(
            model="small",
            to_version="2",
            step=2 if case.degrades else 0,
            phase=RolloutPhase.RUNNING,
        )
        self._pending: tuple[int, RolloutState] | None = None
        self._last_move_ms = 0
        self._breakers = [Breaker() for _ in range(_NODES)]
        self._old = VersionEvidence(
            responses=Trials(count=20_000, bad=100),
            ratings=Trials(count=2_000, bad=160),
        )
        self._monitor = HarmMonitor()
        self._unmonitored = VersionEvidence()
        self._new = _GOOD_EVIDENCE if case.degrades else VersionEvidence()
        self._ratings: list[tuple[int, int, int, bool]] = []
        self._exposed = 0
        self._harmed = 0

    def run(self) -> tuple[int, int, int]:
        """Returns exposed and harmed requests and the final percentage."""
        for number in range(_REQUESTS):
            now_ms = number * _ARRIVAL_INTERVAL_MS
            self._apply_due_ratings(now_ms)
            self._serve(number, now_ms)
            if now_ms % _ADVICE_INTERVAL_MS == 0:
                self._update_rollout(now_ms)
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
        failed = self._rng.random() < self._case.error_share
        bad = not failed and self._rng.random() < self._case.bad_share
        self._exposed += 1
        self._harmed += failed or bad
        self._add_evidence(
            VersionEvidence(responses=Trials(count=1, bad=int(failed)))
        )
        self._breakers[node] = self._breakers[node].after_response(
            self._old, now_ms, failed=failed
        )
        if not failed and self._rng.random() < _RATING_SHARE:
            due_ms = now_ms + self._rng.randrange(_MAX_RATING_DELAY_MS)
            heapq.heappush(self._ratings, (due_ms, number, node, bad))

    def _add_evidence(self, evidence: VersionEvidence) -> None:
        self._new += evidence
        self._unmonitored += evidence

    def _apply_due_ratings(self, now_ms: int) -> None:
        while self._ratings and self._ratings[0][0] <= now_ms:
            _, _, node, bad = heapq.heappop(self._ratings)
            self._add_evidence(
                VersionEvidence(ratings=Trials(count=1, bad=int(bad)))
            )
            self._breakers[node] = self._breakers[node].after_rating(
                self._old, now_ms, bad=bad
            )

    def _update_rollout(self, now_ms: int) -> None:
        if self._pending is not None and self._pending[0] <= now_ms:
            self._state, self._pending = self._pending[1], None
            self._new = VersionEvidence()
        if self._pending is not None:
            return
        if not self._uses_test:
            if now_ms - self._last_move_ms >= _FIXED_STEP_MS:
                self._move(Move.ADVANCE, now_ms)
            return
        self._monitor = self._monitor.updated(
            _PLAN, self._old, self._unmonitored
        )
        self._unmonitored = VersionEvidence()
        advice = advise(
            _PLAN,
            self._state,
            self._old,
            self._new,
            monitor=self._monitor,
        )
        if advice.move is not Move.HOLD:
            self._move(advice.move, now_ms)

    def _move(self, move: Move, now_ms: int) -> None:
        self._last_move_ms = now_ms
        state = next_state(_PLAN, self._state, move)
        self._pending = (now_ms + _PROPAGATION_MS, state)


def measure(seed: int) -> list[ExposureFigures]:
    """Simulates the roll-out of each version under each guard."""
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
