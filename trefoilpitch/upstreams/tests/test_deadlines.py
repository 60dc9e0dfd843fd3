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


def test_an_item_expires_at_its_current_due_time() -> None:
    clock = MonitoredClock()
    with DeadlineMonitor(clock) as monitor:
        postponed, ended, far = _Item(10), _Item(10), _Item(10**6)
        for item in (postponed, ended, far):
            monitor.add(item)
        postponed.due_ms = 30
        ended.due_ms = None
        clock.advance_and_wait(29)
        assert not postponed.expired.is_set()
        clock.advance_and_wait(1)
        assert postponed.expired.is_set()
        assert not ended.expired.is_set()
        assert not far.expired.is_set()


def test_an_unused_item_is_freed_before_its_due_time() -> None:
    with DeadlineMonitor(ManualClock()) as monitor:
        item = _Item(10**6)
        monitor.add(item)
        reference = weakref.ref(item)
        del item
        assert reference() is None
