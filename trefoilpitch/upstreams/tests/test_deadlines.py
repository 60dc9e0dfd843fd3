import threading
import weakref

from trefoilpitch.clock import ManualClock
from trefoilpitch.upstreams import DeadlineMonitor
from trefoilpitch.upstreams.tests.harness import MonitoredClock


class _Item:
    def __init__(self, due_ms: int | None) -> None:
        self.due_ms = due_ms
        self.expired = threading.Event()

    def expire(self) -> None:
        self.expired.set()


def test_an_item_expires_at_the_due_time_in_force_by_then() -> None:
    clock = MonitoredClock()
    with DeadlineMonitor(clock) as deadline_monitor:
        moved, ended, far = _Item(10), _Item(10), _Item(10**6)
        for item in (moved, ended, far):
            deadline_monitor.add(item)
        moved.due_ms = 30
        ended.due_ms = None
        clock.advance_and_wait(29)
        assert not moved.expired.is_set()
        clock.advance_and_wait(1)
        assert moved.expired.is_set()
        assert not ended.expired.is_set()
        assert not far.expired.is_set()


def test_an_ended_item_is_not_kept_until_its_due_time() -> None:
    with DeadlineMonitor(ManualClock()) as deadline_monitor:
        item = _Item(10**6)
        deadline_monitor.add(item)
        reference = weakref.ref(item)
        del item
        assert reference() is None
