from __future__ import annotations

from trefoilpitch.limits import ConcurrencyLimit, concurrency_limit


def _converge(capacity: int, start: int) -> ConcurrencyLimit:
    """Simulates an upstream whose latency rises above ``capacity`` requests."""
    limit = concurrency_limit(start)
    for _ in range(40_000):
        in_flight = limit.requests
        latency_ms = 10.0 * max(1.0, (in_flight / capacity) ** 2)
        limit = limit.finished(latency_ms, in_flight)
    return limit


def test_limit_converges_to_the_capacity_from_either_side() -> None:
    for start in (2, 100):
        assert 15 <= _converge(20, start).requests <= 30


def test_failures_of_concurrent_requests_lower_the_limit_once() -> None:
    limit = concurrency_limit(20)
    for _ in range(10):
        limit = limit.failed()
    assert limit.requests == 14
    for _ in range(200):
        limit = limit.failed()
    assert limit.requests >= 1


def test_idle_upstream_does_not_raise_its_limit() -> None:
    limit = concurrency_limit(20)
    for _ in range(500):
        limit = limit.finished(10.0, 1)
    assert limit.requests == 20
