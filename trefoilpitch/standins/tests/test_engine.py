from collections.abc import Iterator

import msgspec
import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.standins import EngineSettings
from trefoilpitch.standins._engine_state import (
    EngineState,
    RefusalError,
)
from trefoilpitch.standins._engine_types import Prompt

_VERSION = "small@1"


def _state(clock: ManualClock, **changes: object) -> EngineState:
    settings = msgspec.convert(
        {
            "versions": [_VERSION],
            "warm_after": 0,
            "prefill_ms": 0,
            "token_ms": 1,
            **changes,
        },
        EngineSettings,
    )
    return EngineState(settings, clock)


def _prompt(request_id: str, *, text: str = "prompt", rank: int = 0) -> Prompt:
    return Prompt(
        request_id=request_id,
        version=_VERSION,
        text=text,
        prefix=text,
        max_tokens=5,
        rank=rank,
    )


def _admit(state: EngineState, count: int) -> Iterator[str]:
    for number in range(count):
        completion = state.admit(_prompt(f"r{number}"))
        yield completion.state.value if completion is not None else "crashed"


def test_requests_above_capacity_wait_and_are_refused_if_queue_is_full() -> (
    None
):
    clock = ManualClock()
    state = _state(clock, capacity=2, max_waiting=1)
    assert list(_admit(state, 3)) == ["running", "running", "waiting"]
    with pytest.raises(RefusalError, match="overloaded"):
        state.admit(_prompt("r3"))
    assert len(state.runs) == 2
    clock.advance(5)
    assert state.load_report().running == 1
    assert [run.request_id for run in state.runs] == ["r0", "r1", "r2"]


def test_waiting_requests_start_in_order_of_rank() -> None:
    clock = ManualClock()
    state = _state(clock, capacity=1)
    state.admit(_prompt("r0"))
    state.admit(_prompt("batch", rank=2))
    state.admit(_prompt("interactive", rank=0))
    clock.advance(5)
    state.load_report()
    assert [run.request_id for run in state.runs] == ["r0", "interactive"]


def test_overloaded_cold_engine_crashes_and_restarts_cold() -> None:
    clock = ManualClock()
    state = _state(clock, warm_after=2, cold_capacity=2, capacity=8)
    before = state.incarnation
    assert list(_admit(state, 3)) == ["running", "running", "crashed"]
    assert (state.incarnation != before, state.warm) == (True, False)
    assert state.load_report().running == 0
    list(_admit(state, 2))
    clock.advance(5)
    assert state.load_report().warm
    assert list(_admit(state, 3)) == ["running"] * 3
    assert state.counts["falls"] == 1
    assert state.counts["peak_cold"] == 2


def test_abandoned_completion_is_cancelled_after_hold_ms() -> None:
    clock = ManualClock()
    state = _state(clock, token_ms=1000, hold_ms=100)
    completion = state.admit(_prompt("r0"))
    assert completion is not None
    state.detach(completion)
    clock.advance(100)
    assert state.attach("r0") is completion
    state.detach(completion)
    clock.advance(101)
    assert state.attach("r0") is None
    assert state.counts["cancelled"] == 1


def test_holds_answers_pauses_completions_after_first_chunk() -> None:
    clock = ManualClock()
    state = _state(clock, holds_answers=True)
    completion = state.admit(_prompt("r0"))
    assert completion is not None
    clock.advance(60_000)
    assert state.available(completion) == 1
    state.settings.holds_answers = False
    assert state.available(completion) == len(completion.texts)
    assert state.counts["finished"] == 1


def test_delayed_reports_hide_a_restart() -> None:
    clock = ManualClock()
    state = _state(clock, load_lag_ms=100)
    before = state.incarnation
    clock.advance(50)
    state.load_report()
    state.restart()
    clock.advance(60)
    assert state.load_report().incarnation == before
    clock.advance(100)
    assert state.load_report().incarnation == state.incarnation


def test_a_version_serves_only_once_loaded() -> None:
    clock = ManualClock()
    state = _state(clock, versions=[], load_ms=100)
    state.load(_VERSION)
    clock.advance(99)
    with pytest.raises(RefusalError, match="version_not_loaded"):
        state.admit(_prompt("r0"))
    clock.advance(1)
    assert state.admit(_prompt("r0")) is not None
    state.unload(_VERSION)
    with pytest.raises(RefusalError, match="version_not_loaded"):
        state.admit(_prompt("r1"))


def test_quality_is_the_share_of_good_completions() -> None:
    state = _state(ManualClock(), capacity=4000, quality={_VERSION: 0.8})
    confidences = []
    for number in range(1000):
        completion = state.admit(_prompt(f"r{number}", text=f"prompt {number}"))
        assert completion is not None
        confidences.append(completion.confidence)
    # The confidence is above 0.5 for 7 of 8 good completions and for 3 of 10
    # bad ones.
    confident = sum(value > 0.5 for value in confidences)
    assert 700 < confident < 820
