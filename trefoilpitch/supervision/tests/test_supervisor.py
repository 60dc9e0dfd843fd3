import threading

import pykka

from trefoilpitch.clock import SystemClock
from trefoilpitch.supervision import (
    INITIAL_DELAY_MS,
    MAX_DELAY_MS,
    STABLE_AFTER_MS,
    ChildPolicy,
    ChildSpec,
    Supervisor,
    Tick,
)

_PATIENCE_S = 10


def test_delays_grow_to_a_limit_and_start_over_when_stable() -> None:
    policy = ChildPolicy()
    for _ in range(20):
        policy.started(0)
        policy.failed(0)
    assert not policy.may_start(MAX_DELAY_MS - 1)
    assert policy.may_start(MAX_DELAY_MS)
    policy.started(0)
    policy.failed(STABLE_AFTER_MS)
    assert policy.may_start(STABLE_AFTER_MS + INITIAL_DELAY_MS)


def test_a_failed_actor_is_restarted_and_the_dump_says_so() -> None:
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
        assert ticked_again.wait(_PATIENCE_S)
        (status,) = supervisor.statuses()
    assert status.restarts == 1
    assert "unhandled exception" in status.last_error
