from __future__ import annotations

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.retries import WindowedRetryBudget


def _budget(clock: ManualClock) -> WindowedRetryBudget:
    return WindowedRetryBudget(clock, share=0.5, slack=2.0, window_ms=10_000)


def test_empty_window_allows_exactly_the_slack() -> None:
    budget = _budget(ManualClock())
    assert [budget.spend() for _ in range(3)] == [True, True, False]


def test_credit_of_the_whole_window_may_be_spent_at_once() -> None:
    clock = ManualClock()
    budget = _budget(clock)
    for _ in range(100):
        budget.record_first_attempt()
        clock.advance(50)
    # All upstreams fail after five seconds without failures.
    assert sum(budget.spend() for _ in range(100)) == 52


def test_extra_attempts_never_exceed_the_limit_in_any_window() -> None:
    clock = ManualClock()
    budget = _budget(clock)
    firsts: list[int] = []
    extras: list[int] = []
    for step in range(600):
        clock.advance(100)
        if step % 3 == 0:
            budget.record_first_attempt()
            firsts.append(clock.now_ms())
        if budget.spend():
            extras.append(clock.now_ms())
    for end in extras:
        extra = sum(end - 10_000 < at <= end for at in extras)
        first = sum(end - 10_000 < at <= end for at in firsts)
        assert extra <= 0.5 * first + 2.0


@pytest.mark.parametrize(
    ("share", "slack", "window_ms"), [(-1.0, 1.0, 1), (1.0, -1.0, 1), (1, 1, 0)]
)
def test_invalid_settings_are_rejected(
    share: float, slack: float, window_ms: int
) -> None:
    with pytest.raises(ValueError, match="out of range"):
        WindowedRetryBudget(
            ManualClock(), share=share, slack=slack, window_ms=window_ms
        )


def test_smaller_slack_applies_to_the_window_in_progress() -> None:
    """The fleet has grown since, so that this daemon's share is smaller."""
    clock = ManualClock()
    budget = _budget(clock)
    assert budget.spend()
    budget.slack = 1.0
    assert not budget.affords()
    clock.advance(10_000)
    assert budget.spend()
    assert not budget.spend()


def test_reservation_that_outlasts_the_window_is_released_only_once() -> None:
    clock = ManualClock()
    budget = _budget(clock)
    assert budget.reserve()
    clock.advance(10_001)
    assert budget.spend()
    budget.release()
    assert [budget.spend() for _ in range(2)] == [True, False]


def test_reserved_attempt_counts_in_the_window_in_which_it_is_made() -> None:
    clock = ManualClock()
    budget = _budget(clock)
    assert budget.reserve()
    clock.advance(9_999)
    budget.spend_reserved()
    clock.advance(2)
    assert [budget.spend() for _ in range(2)] == [True, False]
