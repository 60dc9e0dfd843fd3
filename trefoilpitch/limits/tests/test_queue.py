from __future__ import annotations

import itertools
from collections import Counter

import pytest

from trefoilpitch.bundle import Priority
from trefoilpitch.limits import (
    AdmissionQueue,
    Queued,
    QueueSettings,
    RefusalReason,
    Refused,
    Ticket,
)

_IDS = itertools.count()


def _ticket(
    workspace: str = "small",
    priority: Priority = Priority.STANDARD,
    deadline_ms: int = 1_000_000,
    weight: int = 1,
    run_ms: int = 100,
) -> Ticket:
    return Ticket(
        request_id=f"request-{next(_IDS)}",
        workspace=workspace,
        weight=weight,
        priority=priority,
        deadline_ms=deadline_ms,
        expected_run_ms=run_ms,
    )


def _fill(queue: AdmissionQueue, count: int, workspace: str) -> None:
    for _ in range(count):
        assert isinstance(queue.offer(_ticket(workspace), 0), Queued)


def _take(queue: AdmissionQueue, count: int) -> list[Ticket]:
    taken = [queue.take(0) for _ in range(count)]
    return [ticket for ticket in taken if ticket is not None]


def test_workspace_that_fills_the_queue_does_not_block_another() -> None:
    queue = AdmissionQueue(4, QueueSettings(max_waiting=100))
    _fill(queue, 100, "large")
    refused = queue.offer(_ticket("large"), 0)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.QUEUE_FULL
    admitted = queue.offer(_ticket("small"), 0)
    assert isinstance(admitted, Queued)
    assert admitted.displaced is not None
    assert admitted.displaced.ticket.workspace == "large"
    assert "small" in {ticket.workspace for ticket in _take(queue, 2)}


def test_workspaces_are_served_in_proportion_to_their_weights() -> None:
    queue = AdmissionQueue(4)
    for _ in range(80):
        queue.offer(_ticket("heavy", weight=3), 0)
        queue.offer(_ticket("light", weight=1), 0)
    counts = Counter(ticket.workspace for ticket in _take(queue, 80))
    assert counts["heavy"] == pytest.approx(60, abs=2)


def test_workspace_gets_no_credit_for_idle_time() -> None:
    queue = AdmissionQueue(4)
    _fill(queue, 50, "busy")
    _take(queue, 40)
    _fill(queue, 40, "late")
    counts = Counter(ticket.workspace for ticket in _take(queue, 10))
    assert counts["busy"] >= 4


def test_interactive_goes_first_and_batch_is_not_starved() -> None:
    queue = AdmissionQueue(8, QueueSettings(max_passed_over=10))
    queue.offer(_ticket("archive", Priority.BATCH), 0)
    order = []
    for _ in range(30):
        queue.offer(_ticket("bench", Priority.INTERACTIVE), 0)
        queue.offer(_ticket("bench", Priority.INTERACTIVE), 0)
        order += [ticket.workspace for ticket in _take(queue, 1)]
    assert order[:10] == ["bench"] * 10
    assert order.count("archive") == 1


def test_request_is_refused_at_once_if_its_wait_exceeds_the_deadline() -> None:
    queue = AdmissionQueue(1)
    _fill(queue, 50, "large")
    refused = queue.offer(_ticket("large", deadline_ms=2_000), 0)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.DEADLINE
    assert refused.retry_after_ms == pytest.approx(3_100, abs=200)


def test_waiting_request_is_refused_after_its_latest_start() -> None:
    queue = AdmissionQueue(1)
    ticket = _ticket(deadline_ms=1_000, run_ms=300)
    queue.offer(ticket, 0)
    assert queue.next_expiry_ms == 700
    assert queue.expire(700) == ()
    (refused,) = queue.expire(701)
    assert refused.ticket == ticket
    assert queue.take(701) is None


def test_capacity_drop_refuses_requests_that_miss_their_deadline() -> None:
    queue = AdmissionQueue(10)
    for _ in range(40):
        queue.offer(_ticket(deadline_ms=1_000), 0)
    refused = queue.set_concurrency(2, 0)
    assert 15 <= len(refused) <= 25
    assert len(refused) + len(queue) == 40
    assert {one.reason for one in refused} == {RefusalReason.DEADLINE}


def test_outage_refuses_requests_long_before_their_deadline() -> None:
    queue = AdmissionQueue(4)
    queue.offer(_ticket("bench", deadline_ms=1_500), 0)
    queue.offer(_ticket("archive", deadline_ms=100_100), 0)
    (bench,) = queue.set_concurrency(0, 0)
    assert bench.reason is RefusalReason.NO_CAPACITY
    assert queue.next_expiry_ms == 50_000
    (archive,) = queue.expire(50_001)
    assert archive.ticket.workspace == "archive"
    assert archive.reason is RefusalReason.NO_CAPACITY


def test_waiting_requests_are_served_when_capacity_recovers_in_time() -> None:
    queue = AdmissionQueue(4)
    queue.offer(_ticket("archive", deadline_ms=100_100), 0)
    queue.set_concurrency(0, 0)
    queue.set_concurrency(2, 30_000)
    assert queue.expire(60_000) == ()
    assert queue.take(60_000) is not None


def test_cancelled_request_is_removed() -> None:
    queue = AdmissionQueue(1)
    ticket = _ticket()
    queue.offer(ticket, 0)
    assert queue.cancel(ticket.request_id)
    assert not queue.cancel(ticket.request_id)
    assert queue.next_expiry_ms is None
    assert queue.take(0) is None


def test_fluctuating_capacity_does_not_count_waiting_work_twice() -> None:
    queue = AdmissionQueue(10)
    for _ in range(20):
        queue.offer(_ticket("bench", Priority.INTERACTIVE), 0)
    for _ in range(200):
        assert queue.set_concurrency(5, 0) == ()
        assert queue.set_concurrency(10, 0) == ()
    offered = queue.offer(_ticket("archive", deadline_ms=2_000), 0)
    assert isinstance(offered, Queued)
    assert offered.expected_wait_ms < 1_000


def test_waits_longer_than_estimated_make_the_queue_refuse_earlier() -> None:
    queue = AdmissionQueue(10)
    now_ms = 0
    for _ in range(100):
        queue.offer(_ticket(deadline_ms=now_ms + 60_000), now_ms)
        now_ms += 1_000
        queue.expire(now_ms)
        queue.take(now_ms)
    _fill(queue, 60, "large")
    late = _ticket("large", deadline_ms=now_ms + 2_000)
    assert isinstance(queue.offer(late, now_ms), Refused)
