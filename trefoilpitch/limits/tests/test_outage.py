"""Tests of the bound on waiting while no upstream is reachable."""

import pytest

from trefoilpitch.limits import (
    OUTAGE_WAIT_MS,
    OutageTracker,
    outage_retry_after_ms,
)


@pytest.mark.parametrize(
    ("outage_ms", "retry_after_ms"),
    [
        (0, None),
        (OUTAGE_WAIT_MS - 1, None),
        (OUTAGE_WAIT_MS, 1_000),
        (5_000, 5_000),
        (600_000, 30_000),
    ],
)
def test_requests_are_refused_after_a_brief_wait(
    outage_ms: int, retry_after_ms: int | None
) -> None:
    assert outage_retry_after_ms(outage_ms) == retry_after_ms


def test_outage_without_upstreams_starts_at_the_first_request() -> None:
    outages = OutageTracker()
    assert outages.record_unreachable("tag", None, 1_000) == 0
    assert outages.record_unreachable("tag", None, 2_500) == 1_500
    assert outages.record_unreachable("other", None, 2_500) == 0


def test_outage_starts_when_the_last_upstream_became_unreachable() -> None:
    assert OutageTracker().record_unreachable("tag", 400, 1_000) == 600


@pytest.mark.parametrize("ended", [True, False])
def test_outage_that_ended_or_may_have_ended_is_discarded(
    ended: bool,
) -> None:
    outages = OutageTracker()
    outages.record_unreachable("tag", None, 1_000)
    if ended:
        outages.record_reachable("tag")
    assert (
        outages.record_unreachable("tag", None, 3_000 if ended else 9_000) == 0
    )
