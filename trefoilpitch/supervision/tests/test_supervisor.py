import threading

import pykka

from trefoilpitch.clock import SystemClock
from trefoilpitch.supervision import (
    INITIAL_DELAY_MS,
    MAX_DELAY_MS,
    STABLE_AFTER_MS,
    ChildSpec,
    RestartPolicy,
    Supervisor,
    Tick,
)

_TIMEOUT_S = 10


def test_delays_grow_to_a_limit_and_are_reset_after_a_stable_run() -> None:
    policy = RestartPolicy()
    for _ in range(20):
        policy.record_start(0)
        policy.record_failure(0)
    assert not policy.may_start(MAX_DELAY_MS - 1)
    assert policy.may_start(MAX_DELAY_MS)
    policy.record_start(0)
    policy.record_failure(STABLE_AFTER_MS)
    assert policy.may_start(STABLE_AFTER_MS + INITIAL_DELAY_MS)


def test_failed_actor_is_restarted_and_its_status_shows_it() -> None:
    ticked_again = threading.Event()
    started: list[int] = []

    class FailsOnce(pykka.ThreadingActor):
        def __init__(self) -> None:
            super().__init__()
            started.append(1)

        def on_receive(self, message: object) -> None:
            assert isinstance(message, Tick)
            if len(started) == 1:
                raise RuntimeError("first run fails")
            ticked_again.set()

    spec = ChildSpec(name="child", start=FailsOnce.start, tick_ms=1)
    with Supervisor((spec,), SystemClock()) as supervisor:
        assert ticked_again.wait(_TIMEOUT_S)
        (status,) = supervisor.statuses()
    assert status.restarts == 1
    assert "unhandled exception" in status.last_error
