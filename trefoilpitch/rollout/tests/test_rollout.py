from __future__ import annotations

import random

import pytest

from trefoilpitch.bundle import RolloutPlan
from trefoilpitch.configuration import RolloutPhase, RolloutState
from trefoilpitch.rollout import (
    Advice,
    AdviceReason,
    Breaker,
    BreakerPhase,
    HarmMonitor,
    Move,
    Trials,
    VersionEvidence,
    advise,
    evidence_of_harm,
    next_state,
    tolerated_rate,
)

_PLAN = RolloutPlan(model="cheap", to_version="2")
_BASELINE = VersionEvidence(
    responses=Trials(count=20_000, bad=100),
    ratings=Trials(count=2_000, bad=200),
)


def _state(
    step: int = 0, phase: RolloutPhase = RolloutPhase.RUNNING
) -> RolloutState:
    return RolloutState(model="cheap", to_version="2", step=step, phase=phase)


def _outcomes(
    responses: int, errors: int, ratings: int, bad: int
) -> VersionEvidence:
    return VersionEvidence(
        responses=Trials(count=responses, bad=errors),
        ratings=Trials(count=ratings, bad=bad),
    )


@pytest.mark.parametrize(
    ("new", "phase", "expected"),
    [
        (
            _outcomes(10, 8, 0, 0),
            RolloutPhase.RUNNING,
            (Move.ROLL_BACK, AdviceReason.MORE_ERRORS),
        ),
        (
            _outcomes(100, 0, 60, 30),
            RolloutPhase.PAUSED,
            (Move.ROLL_BACK, AdviceReason.WORSE_RATINGS),
        ),
        (
            _outcomes(50, 0, 50, 5),
            RolloutPhase.RUNNING,
            (Move.HOLD, AdviceReason.TOO_FEW_RESPONSES),
        ),
        (
            _outcomes(9_000, 45, 0, 0),
            RolloutPhase.RUNNING,
            (Move.HOLD, AdviceReason.TOO_FEW_RATINGS),
        ),
        (
            _outcomes(9_000, 45, 900, 90),
            RolloutPhase.RUNNING,
            (Move.ADVANCE, AdviceReason.NO_WORSE),
        ),
        (
            _outcomes(9_000, 45, 900, 90),
            RolloutPhase.PAUSED,
            (Move.HOLD, AdviceReason.NOT_RUNNING),
        ),
        (
            _outcomes(9_000, 4_500, 900, 90),
            RolloutPhase.ROLLED_BACK,
            (Move.HOLD, AdviceReason.NOT_RUNNING),
        ),
    ],
)
def test_advice(
    new: VersionEvidence,
    phase: RolloutPhase,
    expected: tuple[Move, AdviceReason],
) -> None:
    advice = advise(_PLAN, _state(phase=phase), _BASELINE, new)
    assert advice == Advice(move=expected[0], reason=expected[1])


def test_withdrawn_version_is_rolled_back_whatever_its_evidence() -> None:
    new = _outcomes(9_000, 45, 900, 90)
    advice = advise(_PLAN, _state(), _BASELINE, new, withdrawn=True)
    assert advice.move is Move.ROLL_BACK


def test_repeated_tests_rarely_roll_back_a_good_version() -> None:
    rng = random.Random(4)
    rolled_back = 0
    for _ in range(200):
        errors = bad = 0
        for count in range(1, 1_500):
            errors += rng.random() < 0.005
            bad += rng.random() < 0.1
            new = _outcomes(count, errors, count, bad)
            if count % 10 == 0 and (
                advise(_PLAN, _state(), _BASELINE, new).move is Move.ROLL_BACK
            ):
                rolled_back += 1
                break
    assert rolled_back <= 2


def test_evidence_at_the_tolerated_rate_rarely_crosses_its_threshold() -> None:
    rng = random.Random(9)
    tolerated = tolerated_rate(_BASELINE.ratings, 0.02)
    crossed = 0
    for _ in range(400):
        bad = 0
        for count in range(1, 400):
            bad += rng.random() < tolerated
            if evidence_of_harm(Trials(count=count, bad=bad), tolerated) >= 20:
                crossed += 1
                break
    assert crossed / 400 <= 0.05


def test_interrupted_roll_out_resumes_at_its_step() -> None:
    state = _state(step=2)
    paused = _state(step=2, phase=RolloutPhase.PAUSED)
    assert next_state(_PLAN, paused, Move.ADVANCE) == paused
    assert next_state(_PLAN, state, Move.ADVANCE).step == 3
    last = next_state(_PLAN, _state(step=3), Move.ADVANCE)
    assert last.phase is RolloutPhase.COMPLETED
    back = next_state(_PLAN, paused, Move.ROLL_BACK)
    assert back.phase is RolloutPhase.ROLLED_BACK


def test_breaker_opens_after_a_few_errors_despite_earlier_successes() -> None:
    breaker = Breaker()
    for _ in range(5_000):
        breaker = breaker.after_response(_BASELINE, 0, failed=False)
    failures = 0
    while breaker.phase is BreakerPhase.CLOSED:
        breaker = breaker.after_response(_BASELINE, 0, failed=True)
        failures += 1
    assert failures <= 5
    assert breaker.weight_factor(0) == 0.0


def test_breaker_probes_with_a_small_share_and_doubles_its_open_time() -> None:
    breaker = _opened(Breaker(), 0)
    assert breaker.weight_factor(29_999) == 0.0
    assert breaker.weight_factor(30_000) == 0.1
    again = _opened(breaker, 30_000)
    assert again.weight_factor(89_999) == 0.0
    for _ in range(20):
        again = again.after_response(_BASELINE, 90_000, failed=False)
    assert again.phase is BreakerPhase.CLOSED


def test_breaker_opened_by_ratings_is_not_closed_by_responses() -> None:
    breaker = Breaker()
    while breaker.phase is BreakerPhase.CLOSED:
        breaker = breaker.after_rating(_BASELINE, 0, bad=True)
    for _ in range(100):
        breaker = breaker.after_response(_BASELINE, 40_000, failed=False)
    assert breaker.phase is BreakerPhase.PROBING


def _opened(breaker: Breaker, now_ms: int) -> Breaker:
    for _ in range(50):
        breaker = breaker.after_response(_BASELINE, now_ms, failed=True)
    assert breaker.phase is BreakerPhase.OPEN
    return breaker


def test_version_that_becomes_harmful_after_a_good_start_is_rolled_back() -> (
    None
):
    monitor = HarmMonitor()
    for _ in range(100):
        monitor = monitor.updated(_PLAN, _BASELINE, _outcomes(100, 0, 10, 1))
    responses = 0
    while responses < 200:
        responses += 1
        monitor = monitor.updated(
            _PLAN, _BASELINE, _outcomes(1, responses % 5 == 0, 0, 0)
        )
        advice = advise(
            _PLAN,
            _state(step=2),
            _BASELINE,
            _outcomes(9_000, 45, 900, 90),
            monitor=monitor,
        )
        if advice.move is Move.ROLL_BACK:
            break
    assert responses <= 60


def test_breaker_is_not_closed_by_probes_that_fail_one_time_in_five() -> None:
    breaker = _opened(Breaker(), 0)
    for index in range(200):
        breaker = breaker.after_response(
            _BASELINE, 40_000, failed=index % 5 == 0
        )
    assert breaker.phase is not BreakerPhase.CLOSED
    assert breaker.openings >= 2


def test_clear_harm_is_detected_without_outcomes_of_the_old_version() -> None:
    breaker = Breaker()
    for _ in range(8):
        breaker = breaker.after_response(VersionEvidence(), 0, failed=True)
    assert breaker.phase is BreakerPhase.OPEN


def test_monitor_raises_no_false_alarm_for_a_good_version() -> None:
    rng = random.Random(12)
    alarms = 0
    for _ in range(10):
        monitor = HarmMonitor()
        for _ in range(4_000):
            failed = rng.random() < 0.0155
            monitor = monitor.updated(
                _PLAN, _BASELINE, _outcomes(1, failed, 0, 0)
            )
            advice = advise(
                _PLAN,
                _state(),
                _BASELINE,
                _outcomes(0, 0, 0, 0),
                monitor=monitor,
            )
            if failed and advice.move is Move.ROLL_BACK:
                alarms += 1
                break
    assert not alarms
