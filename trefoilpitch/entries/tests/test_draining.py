import pytest

from trefoilpitch.entries import create_draining_schedule

SCHEDULE = create_draining_schedule(
    announced_ms=1_000, ttl_ms=5_000, margin_ms=2_000
)


@pytest.mark.parametrize(
    ("now_ms", "in_flight", "may_close"),
    [
        (1_000, 0, False),
        (7_999, 0, False),  # Callers may use the cached address until 8,000 ms.
        (8_000, 1, False),
        (8_000, 0, True),
        (60_000, 1, False),
    ],
)
def test_may_close_only_when_no_request_can_be_lost(
    now_ms: int, in_flight: int, may_close: bool
) -> None:
    assert SCHEDULE.may_close(now_ms, in_flight) is may_close
